"""
tests.test_platform_boot_file
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that start with invalid settings, and against errors that
don't name the invalid field.
"""

import tempfile

import testtools

from eelgrassfork.platform.boot_file import (
    BootFileError,
    parse_settings,
    read_settings,
)

TEXT = """
node=edge-1
zone=d0
ip=10.1.0.19
listen.front=10.1.0.19:8740
listen.ready=10.1.0.19:8749
listen.control=10.1.0.19:8748
internalPorts=7200,7215
seeds=10.1.0.19:8748,10.2.0.13:8748
bootstrap=true
unheard.of=1
provider.address=10.200.1.7:8742
provider.writesPerS=400
provider.readsPerS=2000
limits.linkMbps=200.0
bounds.drainMs=2500
bounds.graceS=9
bounds.retryBudgetRatio=0.3
"""


class BootFileTests(testtools.TestCase):
    def error_message(self, text):
        return self.assertRaises(BootFileError, parse_settings, text).message

    def test_parses_settings_file_of_the_platform(self):
        settings = parse_settings(TEXT)
        self.assertEqual('edge-1', settings.node)
        self.assertEqual('d0', settings.failure_domain)
        self.assertEqual(9, settings.bounds.grace_s)
        self.assertEqual(0.3, settings.bounds.retry_ratio)
        self.assertEqual(200, settings.link_mbps)
        self.assertEqual((7200, 7215), settings[6:8])
        self.assertEqual(('10.1.0.19:8748', '10.2.0.13:8748'), settings.seeds)

    def test_evacuations_are_off_unless_their_bound_is_set(self):
        settings = parse_settings(TEXT)
        self.assertIsNone(settings.bounds.evacuation_s)
        settings = parse_settings(f'{TEXT}bounds.evacuationMs=5000\n')
        self.assertEqual(5, settings.bounds.evacuation_s)

    def test_regions_of_failure_domains(self):
        self.assertEqual({}, parse_settings(TEXT).regions_by_domain)
        text = f'{TEXT}zones.d0=eu-west\nzones.d.1=us\nzones.d2=\n'
        self.assertEqual(
            {'d0': 'eu-west', 'd.1': 'us'},
            parse_settings(text).regions_by_domain,
        )

    def test_error_names_missing_field(self):
        text = TEXT.replace('listen.ready', 'listen.other')
        self.assertIn('listen.ready', self.error_message(text))

    def test_error_names_invalid_field_and_value(self):
        for invalid in (
            'listen.front=nowhere',
            'internalPorts=9,3',
            'bounds.graceS=soon',
            'bounds.graceS=-1',
            'bounds.budgetSlack=inf',
            'bounds.evacuationMs=0',
        ):
            name, _, text = invalid.partition('=')
            message = self.error_message(f'{TEXT}\n{invalid}\n')
            self.assertIn(name, message)
            self.assertIn(text, message)

    def test_error_for_missing_file_names_its_path(self):
        error = self.assertRaises(BootFileError, read_settings, '/no/such')
        self.assertIn('/no/such', error.message)

    def test_error_for_bytes_that_are_no_text(self):
        """A file cut within a character ended the process at its reload."""
        with tempfile.NamedTemporaryFile() as settings:
            settings.write(TEXT.encode() + b'name=\xd0')
            settings.flush()
            error = self.assertRaises(
                BootFileError, read_settings, settings.name
            )
        self.assertIn(settings.name, error.message)
