"""
tests.test_docs
~~~~~~~~~~~~~~~

Guards against undocumented settings, metrics and error codes.
"""

from pathlib import Path

import testtools

from eelgrassfork.errors import CODES
from eelgrassfork.metrics import METRICS_BY_NAME
from eelgrassfork.settings import RouterSettings

DOCS = Path(__file__).parent.parent / 'docs'


class DocsTests(testtools.TestCase):
    def test_pages_document_all_names(self):
        cases = (
            ('OPERATIONS.md', RouterSettings._fields),
            ('OPERATIONS.md', METRICS_BY_NAME),
            ('design.md', CODES),
        )
        for page, names in cases:
            text = (DOCS / page).read_text()
            missing = [name for name in names if f'`{name}`' not in text]
            self.assertEqual([], missing, page)
