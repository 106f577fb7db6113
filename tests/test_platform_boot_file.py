"""
tests.test_platform_boot_file
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against routers that start with wrong settings or without a reason.
"""

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
    def message(self, text):
        return self.assertRaises(BootFileError, parse_settings, text).message

    def test_reads_what_the_platform_writes(self):
        settings = parse_settings(TEXT)
        self.assertEqual('edge-1', settings.node)
        self.assertEqual('d0', settings.failure_domain)
        self.assertEqual(9, settings.bounds.grace_s)
        self.assertEqual(0.3, settings.bounds.retry_ratio)
        self.assertEqual(200, settings.link_mbps)
        self.assertEqual((7200, 7215), settings[6:8])
        self.assertEqual(('10.1.0.19:8748', '10.2.0.13:8748'), settings.seeds)

    def test_names_the_missing_field(self):
        text = TEXT.replace('listen.ready', 'listen.other')
        self.assertIn('listen.ready', self.message(text))

    def test_names_the_wrong_field(self):
        for wrong in (
            'listen.front=nowhere',
            'internalPorts=9,3',
            'bounds.graceS=soon',
            'bounds.graceS=-1',
            'bounds.budgetSlack=inf',
        ):
            name, _, text = wrong.partition('=')
            message = self.message(f'{TEXT}\n{wrong}\n')
            self.assertIn(name, message)
            self.assertIn(text, message)

    def test_missing_file_is_an_error_with_its_path(self):
        error = self.assertRaises(BootFileError, read_settings, '/no/such')
        self.assertIn('/no/such', error.message)
