"""
tests.test_metrics
~~~~~~~~~~~~~~~~~~

Guards against samples of two fleets or metrics running into one name.
"""

import ast
import socket
from pathlib import Path

import testtools
import trio
import trio.testing

from eelgrassfork import metrics
from eelgrassfork.errors import EelgrassError
from eelgrassfork.metric_table import METRICS_BY_NAME

PACKAGE = Path(metrics.__file__).parent
KINDS = {'count': 'counter', 'gauge': 'gauge', 'timing': 'timer'}
# Functions that list queries by name for the gauges and counters.
LISTS = {
    'gauges': 'gauge',
    '_gauges': 'gauge',
    'counters': 'counter',
    '_counters': 'counter',
}


def reported():
    """List (kind, name, number of labels) of all that the code reports."""
    found = set()
    for path in sorted(PACKAGE.glob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call):
                found.update(of_call(node))
            elif isinstance(node, ast.FunctionDef) and node.name in LISTS:
                found.update(of_list(node))
    return found


def of_call(call):
    function = call.func
    if not isinstance(function, ast.Attribute) or function.attr not in KINDS:
        return
    if 'metrics' not in ast.unparse(function.value) or not call.args:
        return
    name, *rest = call.args
    if isinstance(name, ast.Constant):
        yield KINDS[function.attr], name.value, len(rest) - 1


def of_list(function):
    for node in ast.walk(function):
        if isinstance(node, ast.Dict):
            for key in filter(None, node.keys):
                parts = ast.literal_eval(key)
                name, *labels = (parts,) if isinstance(parts, str) else parts
                yield LISTS[function.name], name, len(labels)


class StatsdTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.server.close)
        self.server.bind(('127.0.0.1', 0))
        self.server.settimeout(5)
        port = self.server.getsockname()[1]
        self.client = metrics.create_metrics(f'127.0.0.1:{port}')

    def sample(self) -> str:
        return self.server.recv(512).decode()

    def test_names_carry_the_fleet_and_keep_their_depth(self):
        self.client.count('orders', 'pazlen', 'pazlen/shop.desk', 'ran')
        expected = 'eelgrassfork.pazlen.orders.pazlen_shop_desk.ran:1|c'
        self.assertEqual(expected, self.sample())
        self.client.gauge('claims_pending', 'lk', value=3)
        self.assertEqual('eelgrassfork.lk.claims_pending:3|g', self.sample())
        self.client.timing('request_ms', 'lk', 'chat', milliseconds=2)
        expected = 'eelgrassfork.lk.request_ms.chat:2.000000|ms'
        self.assertEqual(expected, self.sample())


class TableTests(testtools.TestCase):
    def test_table_lists_exactly_what_the_code_reports(self):
        listed = {
            (spec.kind, name, len(spec.labels))
            for name, spec in METRICS_BY_NAME.items()
        }
        self.assertEqual(listed, reported())

    def test_wrong_use_fails_with_and_without_a_server(self):
        clients = (
            metrics.create_metrics(''),
            metrics.create_metrics('127.0.0.1:9'),
        )
        for client in clients:
            for name, labels in (('nope', ()), ('orders', ('one',))):
                self.assertRaises(
                    EelgrassError, client.count, name, 'pazlen', *labels
                )

    def test_totals_are_reported_once(self):
        counted = []

        class Counters(metrics.NullMetrics):
            def count(self, name, fleet, *labels, amount=1):
                super().count(name, fleet, *labels, amount=amount)
                counted.append((name, *labels, amount))

        total = 5
        key = ('plain_retries', 'pazlen/shopdesk')
        totals = metrics.CounterReporter(
            Counters(), 'pazlen', {key: lambda: total}
        )
        totals.report()
        totals.report()
        total = 7
        totals.report()
        self.assertEqual([(*key, 5), (*key, 2)], counted)

    def test_gauges_are_reported_until_stopped(self):
        levels = []

        class Gauges(metrics.NullMetrics):
            def gauge(self, name, fleet, *labels, value):
                super().gauge(name, fleet, *labels, value=value)
                levels.append(value)

        async def main():
            queries = {'claims_pending': lambda: len(levels)}
            with trio.move_on_after(10):
                await metrics.report_gauges(Gauges(), 'pazlen', queries, 4)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([0, 1, 2], levels)
