"""
tests.test_gateway_part_quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against sending requests that are likely to end their server, and
against refusals that are untrue or cost credit.
"""

import testtools
import trio

from eelgrassfork.gateway.part_quarantine import PartQuarantine
from eelgrassfork.gateway.records import PromptPart, ServerEntry
from eelgrassfork.gateway.sending import Attempt
from eelgrassfork.gateway.servers import Server
from eelgrassfork.gateway.suspect_ids import suspect_ids

from .gateway_world import run_world
from .test_gateway_forwarder import code_of, parts

PARTS = (PromptPart('0', 10), PromptPart('1', 10), PromptPart('own', 10))
SUSPECT_IDS = suspect_ids(PARTS, 'digest')


def quarantine_part(node, service='model'):
    """Let servers end under requests with the parts 0 and 1."""
    for number in range(3):
        entry = ServerEntry(
            f'i-gone-{number}', service, '10.0.0.1:80', 'd0', 8, 1, 1
        )
        attempt = Attempt(Server(entry), 'least_load', 0, 10)
        node._member.quarantine.record_crash(attempt, SUSPECT_IDS)


class RefusalTests(testtools.TestCase):
    def test_request_is_refused_as_not_run_and_takes_no_credit(self):
        async def scenario(world, nursery):
            quarantine_part(world.node)
            before = world.node._credit.held.free('acme')
            answer = await world.call(
                '/match/x',
                x_prompt_prefix=parts(10, 10, 10),
                x_token_counts='30,10',
            )
            free = world.node._credit.held.free('acme')
            return answer, world.replicas[0].seen, free - before

        answer, seen, taken = run_world(scenario, model=[['stream:2']])
        self.assertEqual((503, 'part_quarantined'), code_of(answer))
        self.assertIn(b'"outcome":"not_run"', answer[1])
        self.assertGreater(float(answer[0].headers_by_name['retry-after']), 60)
        self.assertEqual(([], 0), (seen, taken))

    def test_request_with_other_parts_and_other_services_are_served(self):
        async def scenario(world, nursery):
            quarantine_part(world.node)
            first, _ = await world.call(
                '/match/x', 'r1', x_prompt_prefix='0:10,f:10,own:10'
            )
            plain, _ = await world.call(
                '/look/x', 'r2', x_prompt_prefix=parts(10, 10, 10)
            )
            return first.status, plain.status

        statuses = run_world(scenario, model=[['stream:2']], plain=[['ok']])
        self.assertEqual((200, 200), statuses)

    def test_operator_can_lift_the_quarantine(self):
        async def scenario(world, nursery):
            quarantine_part(world.node)
            quarantine = world.node._member.quarantine
            refused = quarantine.cause('model', SUSPECT_IDS)
            lifted = [quarantine.lift('model', part) for part in ('0', '1')]
            response, _ = await world.call(
                '/match/x', x_prompt_prefix=parts(10, 10, 10)
            )
            unknown = quarantine.lift('model', 'unknown')
            return refused, lifted, response.status, unknown

        outcome = run_world(scenario, model=[['stream:2']])
        self.assertEqual(('1', [True, True], 200, False), outcome)


class RequestTests(testtools.TestCase):
    def test_request_is_refused_once_two_servers_ended_under_it(self):
        async def main():
            quarantine = PartQuarantine(lambda service: 6, lambda: None)
            bad, sound = suspect_ids((), 'bad'), suspect_ids((), 'sound')
            causes = []
            for number in range(2):
                causes.append(quarantine.cause('plain', bad))
                quarantine.record_crash(attempt_at(f'i-{number}'), bad)
            error = quarantine.refuse('plain', bad)
            return causes, error.code, quarantine.cause('plain', sound)

        self.assertEqual(
            ([None, None], 'request_quarantined', None), trio.run(main)
        )

    def test_request_at_the_same_crashes_is_told_apart_by_an_answer(self):
        async def main():
            quarantine = PartQuarantine(lambda service: 6, lambda: None)
            bad, sound = suspect_ids((), 'bad'), suspect_ids((), 'sound')
            for number in range(2):
                for one in (bad, sound):
                    quarantine.record_crash(attempt_at(f'i-{number}'), one)
            before = quarantine.cause('plain', bad)
            quarantine.record_answer('plain', sound)
            after = quarantine.cause('plain', bad)
            return before, after, quarantine.cause('plain', sound)

        self.assertEqual((None, 'request:bad', None), trio.run(main))


def attempt_at(server_id):
    entry = ServerEntry(server_id, 'plain', '10.0.0.1:80', 'd0', 8, 1, 1)
    return Attempt(Server(entry), 'least_load', 0, 10)


class SuspicionTests(testtools.TestCase):
    def test_stream_that_began_long_before_the_crash_is_not_suspect(self):
        async def main():
            quarantine = PartQuarantine(lambda service: 6, lambda: None)
            for number in range(2):
                entry = ServerEntry(
                    f'i-{number}', 'model', '10.0.0.1:80', 'd0', 8, 1, 1
                )
                attempt = Attempt(Server(entry), 'least_load', 0, 10)
                attempt.mark_begun()
                await trio.sleep(0.6)
                quarantine.record_crash(attempt, SUSPECT_IDS)
            return quarantine.count

        self.assertEqual(0, trio.run(main))
