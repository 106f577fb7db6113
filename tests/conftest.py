"""
tests.conftest
~~~~~~~~~~~~~~

Marks the tests listed in KNOWN-RED.txt as expected failures; the ``-rxX`` of
pytest prints their outcomes.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def pytest_collection_modifyitems(items):
    """Mark listed tests as xfail: they run, but do not fail the session."""
    known = set(KNOWN_RED.read_text().split())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason='in KNOWN-RED.txt'))
