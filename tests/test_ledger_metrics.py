"""
tests.test_ledger_metrics
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against credit counted twice or for the wrong fleet.
"""

import testtools
import trio
from trio.testing import MockClock

from eelgrassfork import ledger
from eelgrassfork.ledger_metrics import AccountMeter, MeteredLedgerStore
from eelgrassfork.platform_client import Conflict
from standins.fake_platform import FakePlatform
from tests.metric_recorder import MetricRecorder

KEY = 'ledger/p/0'


def shard_with(holders):
    shard = ledger.top_up(ledger.empty_shard(), 'p/o/main', 'op', 1000)
    for holder, (drawn, spent) in holders.items():
        entry = {'drawn': drawn, 'spent': spent, 'through': 0, 'beyond': []}
        shard = ledger.put_holder_entry(shard, 'p/o/main', holder, entry)
    return shard


class AccountTests(testtools.TestCase):
    def test_limit_changes_are_counted_once_per_fleet(self):
        recorder = MetricRecorder()
        meter = AccountMeter(recorder)
        for limits in (
            {'p/o/main': 100, 'q/o/main': 5},
            {'p/o/main': 100, 'q/o/main': 5, 'p/x/main': 50},
            {'p/o/main': 30, 'q/o/main': 5},
        ):
            meter.report({name: {'limit': n} for name, n in limits.items()})
        self.assertEqual(
            {
                ('credit_drawn', 'p'): 150,
                ('credit_drawn', 'q'): 5,
                ('credit_returned', 'p'): 120,
            },
            recorder.counts,
        )


class ReclaimTests(testtools.TestCase):
    def test_only_successful_writes_are_counted(self):
        recorder = MetricRecorder()

        async def main():
            platform = FakePlatform()
            meter = MeteredLedgerStore(platform, recorder)
            holders = {'vm-1.a': (300, 40), 'vm-2.b': (200, 10)}
            before = shard_with(holders)
            await platform.put(KEY, ledger.encode_shard(before), None)
            after = ledger.close_holder(before, 'p/o/main', 'vm-1.a', 25)
            body = ledger.encode_shard(after)
            with testtools.ExpectedException(Conflict):
                await meter.put(KEY, body, 7)
            version = (await meter.get(KEY)).version
            await meter.put(KEY, body, version)

        trio.run(main, clock=MockClock(autojump_threshold=0))
        # 300 drawn, 40 reported as spent, 25 spent but not reported.
        self.assertEqual({('credit_reclaimed', 'p'): 235}, recorder.counts)
