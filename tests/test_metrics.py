"""
tests.test_metrics
~~~~~~~~~~~~~~~~~~

Guards against samples of two fleets or metrics running into one name.
"""

import socket

import testtools
import trio
import trio.testing

from eelgrassfork import metrics
from eelgrassfork.errors import EelgrassError


class StatsdTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.server.close)
        self.server.bind(('127.0.0.1', 0))
        self.server.settimeout(5)
        port = self.server.getsockname()[1]
        self.client = metrics.connect(f'127.0.0.1:{port}')

    def sample(self) -> str:
        return self.server.recv(512).decode()

    def test_names_carry_the_fleet_and_keep_their_depth(self):
        self.client.count('orders', 'pazlen', 'pazlen/shop.desk', 'ran')
        expected = 'eelgrassfork.pazlen.orders.pazlen_shop_desk.ran:1|c'
        self.assertEqual(expected, self.sample())
        self.client.gauge('claims_pending', 'lk', level=3)
        self.assertEqual('eelgrassfork.lk.claims_pending:3|g', self.sample())
        self.client.timing('request_ms', 'lk', 'chat', milliseconds=2)
        expected = 'eelgrassfork.lk.request_ms.chat:2.000000|ms'
        self.assertEqual(expected, self.sample())


class TableTests(testtools.TestCase):
    def test_wrong_use_fails_with_and_without_a_server(self):
        clients = metrics.connect(''), metrics.connect('127.0.0.1:9')
        for client in clients:
            for name, labels in (('nope', ()), ('orders', ('one',))):
                self.assertRaises(
                    EelgrassError, client.count, name, 'pazlen', *labels
                )

    def test_gauges_are_reported_until_stopped(self):
        levels = []

        class Gauges(metrics.NoMetrics):
            def gauge(self, name, fleet, *labels, level):
                super().gauge(name, fleet, *labels, level=level)
                levels.append(level)

        async def main():
            queries = {'claims_pending': lambda: len(levels)}
            with trio.move_on_after(10):
                await metrics.report_levels(Gauges(), 'pazlen', queries, 4)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([0, 1, 2], levels)
