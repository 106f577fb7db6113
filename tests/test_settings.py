"""
tests.test_settings
~~~~~~~~~~~~~~~~~~~

Guards against invalid settings that are accepted or reported imprecisely.
"""

import json
import subprocess
import sys
from pathlib import Path

import testtools
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from eelgrassfork import settings
from eelgrassfork.json_comments import parse_document
from eelgrassfork.options import OptionsError

KEY_ID = '66687aadf862bd77'
EXAMPLES = Path(__file__).parent.parent / 'examples'
VALID = {
    'vm': 'vm-1',
    'fleet': 'pazlen',
    'failure_domain': 'pazlen/plovdiv-a',
    'region': 'bg-south',
    'callers': {'host': '127.0.0.1', 'port': 8080},
    'peers': {'host': '127.0.0.1', 'port': 8081},
    'operators': {'host': '127.0.0.1', 'port': 8082},
    'platform': '127.0.0.1:9000',
    'peer_key': 'p' * 16,
    'operator_key_hash': 'a' * 64,
    'trusted_keys': {KEY_ID: 'A' * 43 + '='},
}

any_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def check(**changes):
    text = json.dumps({**VALID, **changes}, indent=1)
    return settings.check_settings(parse_document(text, 'router.json'))


class SettingsTests(testtools.TestCase):
    def test_defaults(self):
        self.assertEqual(1000, check().heartbeat_ms)

    def test_problems_contain_file_line_and_option(self):
        cases = (
            ('vm', 'UPPER'),
            ('fleet', 'a/b'),
            ('failure_domain', 'threadlantern/kandy-a'),
            ('failure_domain', 'plovdiv-a'),
            ('callers', {'host': 'localhost', 'port': 1}),
            ('peers', {'host': '127.0.0.1', 'port': 8080}),
            ('operators.port', {'host': '127.0.0.1', 'port': 99999}),
            ('platform', '127.0.0.1:' + '9' * 5000),
            ('seed_peers', ['127.0.0.1']),
            ('heartbeat_ms', 0),
            ('weight_reads_per_s', 0),
            ('servers_per_service', 3),
            ('engine_reads_per_s', '4'),
            ('log_format', 'xml'),
            ('peer_key', 'short'),
            ('operator_key_hash', 'A' * 64),
            ('trusted_keys', {}),
            (f'trusted_keys.{KEY_ID}', {KEY_ID: 'AAAA'}),
            ('trusted_keys.0000', {'0000': 'A' * 43 + '='}),
            ('hearbeat_ms', 1000),
        )
        for field, wrong in cases:
            with self.subTest(field=field):
                name = field.partition('.')[0]
                error = self.assertRaises(OptionsError, check, **{name: wrong})
                problem = error.problems[0]
                self.assertEqual(
                    ('router.json', field), (problem.file, problem.field)
                )
                self.assertIsNotNone(problem.line)

    def test_dump_contains_no_secrets(self):
        dumped = settings.public_settings(check())
        self.assertEqual(
            set(VALID) - set(dumped), {'peer_key', 'operator_key_hash'}
        )

    def test_examples_are_valid(self):
        paths = sorted(EXAMPLES.glob('*/router-*.json'))
        failure_domains = {
            settings.load_settings(str(path)).failure_domain for path in paths
        }
        self.assertEqual(8, len(failure_domains))

    def test_daemon_does_not_import_command_line_dependencies(self):
        # json5 and defopt would count towards the router's 32 MB.
        code = (
            'import sys, eelgrassfork.settings, eelgrassfork.rollout;'
            'print(sorted({"json5", "defopt", "grpc"} & set(sys.modules)))'
        )
        completed = subprocess.run(
            [sys.executable, '-c', code],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual('[]', completed.stdout.strip())

    @hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.sampled_from(sorted(settings.RouterSettings._fields)), any_json)
    def test_only_own_errors(self, name, wrong):
        document = parse_document('{}')._replace(content={**VALID, name: wrong})
        try:
            settings.check_settings(document)
        except OptionsError:
            return
