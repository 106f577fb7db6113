"""
tests.test_record_sources
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against reclaiming credit on the basis of incomplete spend records.
"""

import testtools
import trio
import trio.testing

from eelgrassfork.bundle_types import Bundle, Service
from eelgrassfork.engine_types import EngineError, EngineRecord
from eelgrassfork.names import parse_payer
from eelgrassfork.record_sources import (
    claim_source,
    engine_addresses,
    engine_source,
)
from eelgrassfork.spend_records import RecordsMissing, SpendRecord
from eelgrassfork.vm_list import VmRecord

PAYER = 'vm-a.1/pazlen/atelier/main/3'


class FakeEngines:
    def __init__(self, states, broken=''):
        self.states = states
        self.broken = broken
        self.in_flight = 0
        self.most_in_flight = 0

    async def records(self, address, payer_prefix):
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        await trio.sleep(0.01)
        self.in_flight -= 1
        if address == self.broken:
            raise EngineError('engine_lost', 'no answer')
        return [
            EngineRecord(f'{address}-{state}', PAYER, 2, 3, state)
            for state in self.states
        ]


class RecordSourceTests(testtools.TestCase):
    def read(self, engines, count=2):
        addresses = [f'engine-{number}' for number in range(count)]

        async def main():
            source = engine_source(engines, lambda: addresses)
            return await source('vm-a.1/')

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    def test_only_ended_generations_are_final(self):
        states = ('waiting', 'running', 'finished', 'cancelled')
        records = self.read(FakeEngines(states), count=1)
        self.assertEqual(
            [False, False, True, True], [each.is_final for each in records]
        )
        self.assertEqual([5] * 4, [each.tokens for each in records])

    def test_one_unreachable_engine_makes_the_source_fail(self):
        engines = FakeEngines(('finished',), broken='engine-1')
        error = self.assertRaises(RecordsMissing, self.read, engines)
        self.assertIn('engine-1', error.message)

    def test_concurrent_calls_are_bounded(self):
        engines = FakeEngines(('finished',))
        self.assertEqual(500, len(self.read(engines, count=500)))
        self.assertEqual(64, engines.most_in_flight)

    def test_claims_are_counted_at_their_price(self):
        class FakeClaims:
            async def list_by_payer(self, payer_prefix):
                await trio.lowlevel.checkpoint()
                return [record]

        class record:
            request_id, payer, price = 'req-1', PAYER, 50

        found = trio.run(claim_source(FakeClaims()), 'vm-a.1/')
        expected = SpendRecord('req-1', parse_payer(PAYER), 50)
        self.assertEqual([expected], found)

    def test_engines_listed_under_an_alias_are_queried(self):
        service = Service('pazlen/new', 'model', 'm')
        bundle = Bundle(
            2,
            {},
            {},
            {service.name: service},
            {},
            {},
            service_aliases={'pazlen/old': 'pazlen/new'},
        )

        class Members:
            def backend_vms(self):
                return [
                    VmRecord(
                        name, 'backend', 'live', 'f', name, '', '', name, '', ''
                    )
                    for name in ('pazlen/old', 'pazlen/new', 'pazlen/other')
                ]

        addresses = engine_addresses(lambda: bundle, Members())
        self.assertEqual(['pazlen/old', 'pazlen/new'], addresses())
