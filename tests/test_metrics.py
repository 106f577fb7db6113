"""
tests.test_metrics
~~~~~~~~~~~~~~~~~~

Guards against samples of different fleets or metrics sharing a name.
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
# Kind of the metrics that a function lists, by name of the function.
KINDS_BY_FUNCTION = {
    'gauges': 'gauge',
    '_gauges': 'gauge',
    'counters': 'counter',
    '_counters': 'counter',
}


def find_reported_metrics():
    """Return (kind, name, number of labels) of all metrics in the code."""
    reported_metrics = set()
    for path in sorted(PACKAGE.glob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call):
                reported_metrics.update(metrics_in_call(node))
            elif (
                isinstance(node, ast.FunctionDef)
                and node.name in KINDS_BY_FUNCTION
            ):
                reported_metrics.update(metrics_in_dict(node))
    return reported_metrics


def metrics_in_call(call):
    function = call.func
    if not isinstance(function, ast.Attribute) or function.attr not in KINDS:
        return
    if 'metrics' not in ast.unparse(function.value) or not call.args:
        return
    name, *rest = call.args
    if isinstance(name, ast.Constant):
        yield KINDS[function.attr], name.value, len(rest) - 1


def metrics_in_dict(function):
    for node in ast.walk(function):
        if isinstance(node, ast.Dict):
            for key in filter(None, node.keys):
                parts = ast.literal_eval(key)
                name, *labels = (parts,) if isinstance(parts, str) else parts
                yield KINDS_BY_FUNCTION[function.name], name, len(labels)


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

    def test_sample_names_contain_the_fleet_and_escape_separators(self):
        self.client.count('orders', 'pazlen', 'pazlen/shop.desk', 'ran')
        expected = 'eelgrassfork.pazlen.orders.pazlen_shop_desk.ran:1|c'
        self.assertEqual(expected, self.sample())
        self.client.gauge('claims_pending', 'lk', value=3)
        self.assertEqual('eelgrassfork.lk.claims_pending:3|g', self.sample())
        self.client.timing('request_ms', 'lk', 'chat', milliseconds=2)
        expected = 'eelgrassfork.lk.request_ms.chat:2.000000|ms'
        self.assertEqual(expected, self.sample())


class TableTests(testtools.TestCase):
    def test_table_matches_the_reported_metrics(self):
        listed = {
            (spec.kind, name, len(spec.labels))
            for name, spec in METRICS_BY_NAME.items()
        }
        self.assertEqual(listed, find_reported_metrics())

    def test_invalid_samples_fail_with_and_without_a_server(self):
        clients = (
            metrics.create_metrics(''),
            metrics.create_metrics('127.0.0.1:9'),
        )
        for client in clients:
            for name, labels in (('nope', ()), ('orders', ('one',))):
                self.assertRaises(
                    EelgrassError, client.count, name, 'pazlen', *labels
                )

    def test_counter_increase_is_reported_once(self):
        samples = []

        class Counters(metrics.NullMetrics):
            def count(self, name, fleet, *labels, amount=1):
                super().count(name, fleet, *labels, amount=amount)
                samples.append((name, *labels, amount))

        total = 5
        key = ('plain_retries', 'pazlen/shopdesk')
        totals = metrics.CounterReporter(
            Counters(), 'pazlen', {key: lambda: total}
        )
        totals.report()
        totals.report()
        total = 7
        totals.report()
        self.assertEqual([(*key, 5), (*key, 2)], samples)

    def test_gauges_are_reported_until_cancelled(self):
        values = []

        class Gauges(metrics.NullMetrics):
            def gauge(self, name, fleet, *labels, value):
                super().gauge(name, fleet, *labels, value=value)
                values.append(value)

        async def main():
            queries = {'claims_pending': lambda: len(values)}
            with trio.move_on_after(10):
                await metrics.report_gauges(Gauges(), 'pazlen', queries, 4)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([0, 1, 2], values)
