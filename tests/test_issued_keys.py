"""
tests.test_issued_keys
~~~~~~~~~~~~~~~~~~~~~~

Guards against a second run under one issued key, for each kind of failure.
"""

import testtools
import trio

from eelgrassfork import claim_records as records
from eelgrassfork.claims import NewClaim
from eelgrassfork.errors import RequestError
from eelgrassfork.issued_key_table import parse_key
from tests.order_fakes import run_world

BUDGET = 'pazlen/atelier/main'
ORGANISATION = 'pazlen/atelier'
ANSWER = records.ClaimAnswer(200, (), b'cut')


def order_of(key, body_hash='hash'):
    return NewClaim(BUDGET, key, body_hash, 'req-1', 5)


async def ask(router, order):
    """Return the permit, or ``None``, and a summary of the response."""
    try:
        permit = await router.use.permit(parse_key(order.key), order)
    except RequestError as error:
        return None, f'{error.code}/{error.outcome}'
    except records.ReplayedAnswer as replay:
        return None, replay.answer.body
    return permit, 'granted'


class IssuerTests(testtools.TestCase):
    @run_world
    async def test_own_key_runs_once_without_the_platform(self, world):
        issuer = await world.router('a')
        world.platform.set_faults(down=True)
        order = order_of(issuer.keys.issue(ORGANISATION))
        permit, _ = await ask(issuer, order)
        self.assertEqual(
            'request_in_progress/unknown', (await ask(issuer, order))[1]
        )
        await permit('ran', ANSWER)
        self.assertEqual(b'cut', (await ask(issuer, order))[1])
        other = order._replace(body_hash='other')
        self.assertEqual(
            'idempotency_key_reused/unknown', (await ask(issuer, other))[1]
        )
        self.assertEqual(5, issuer.credit.spent)
        world.platform.set_faults(down=False)
        await trio.sleep(30)
        (claim,) = await issuer.claims.list_by_payer(f'{issuer.holder}/')
        self.assertEqual('ran', claim.state)

    @run_world
    async def test_refused_credit_leaves_the_key_unused(self, world):
        issuer, requester = await world.router('a'), await world.router('b')
        order = order_of(issuer.keys.issue(ORGANISATION))
        issuer.credit.code = 'credit_unreachable'
        for router in (issuer, requester):
            response = (await ask(router, order))[1]
            self.assertEqual('credit_unreachable/not_run', response)
        issuer.credit.code = ''
        self.assertEqual('granted', (await ask(requester, order))[1])

    @run_world
    async def test_only_issued_keys_of_the_organisation_are_accepted(
        self, world
    ):
        issuer = await world.router('a')
        key = issuer.keys.issue('pazlen/other')
        for text in (key, f'{key}9', 'efk1.a.1.99'):
            response = (await ask(issuer, order_of(text)))[1]
            self.assertEqual('invalid_request/not_run', response)
        for text in ('efk1.a', 'efk1..1', 'efk1.a.x', f'efk1.a.{9**40}'):
            self.assertRaises(RequestError, parse_key, text)
        self.assertIsNone(parse_key('efk2.a.1'))


class RequesterTests(testtools.TestCase):
    @run_world
    async def test_answer_is_replayed_by_the_issuer(self, world):
        issuer, requester = await world.router('a'), await world.router('b')
        third = await world.router('c')
        world.platform.set_faults(down=True)
        order = order_of(issuer.keys.issue(ORGANISATION))
        permit, _ = await ask(requester, order)
        for router in (issuer, third):
            response = (await ask(router, order))[1]
            self.assertEqual('request_in_progress/unknown', response)
        await permit('ran', ANSWER)
        self.assertEqual(b'cut', (await ask(third, order))[1])
        self.assertEqual((5, 0), (issuer.credit.spent, requester.credit.spent))

    @run_world
    async def test_requester_dies_after_the_grant(self, world):
        issuer, requester = await world.router('a'), await world.router('b')
        order = order_of(issuer.keys.issue(ORGANISATION))
        await ask(requester, order)
        world.kill(requester, proven=False)
        await trio.sleep(60)
        response = (await ask(issuer, order))[1]
        self.assertEqual('request_in_progress/unknown', response)
        world.dead.add(requester.holder)
        await trio.sleep(60)
        response = (await ask(issuer, order))[1]
        self.assertEqual('outcome_unknown/unknown', response)
        self.assertEqual((5, 0), (issuer.credit.spent, issuer.keys.in_use))

    @run_world
    async def test_lost_or_late_grant_does_not_block_the_key(self, world):
        for fault in ('lost', 'late'):
            issuer = await world.router(f'issuer-{fault}')
            requester = await world.router(f'asker-{fault}')
            order = order_of(issuer.keys.issue(ORGANISATION))
            requester.peers.fault = fault
            response = (await ask(requester, order))[1]
            self.assertIn(
                response,
                ('outcome_unknown/unknown', 'request_in_progress/unknown'),
            )
            requester.peers.fault = ''
            # Longer than the delay of the late asks.
            await trio.sleep(100)
            self.assertEqual(0, issuer.keys.in_use, fault)
            permit, _ = await ask(requester, order)
            await permit('ran', ANSWER)
            self.assertEqual(5, issuer.credit.spent)

    @run_world
    async def test_ask_is_retried_after_one_lost_answer(self, world):
        issuer, requester = await world.router('a'), await world.router('b')
        order = order_of(issuer.keys.issue(ORGANISATION))
        call, faults = requester.peers.call, ['lost', '']

        async def call_with_faults(*call_arguments):
            requester.peers.fault = faults.pop(0)
            return await call(*call_arguments)

        requester.peers.call = call_with_faults
        self.assertEqual('granted', (await ask(requester, order))[1])
        self.assertEqual(1, issuer.keys.in_use)

    @run_world
    async def test_key_of_a_dead_issuer_is_not_run(self, world):
        issuer, requester = await world.router('a'), await world.router('b')
        unused = order_of(issuer.keys.issue(ORGANISATION))
        used = order_of(issuer.keys.issue(ORGANISATION))
        permit, _ = await ask(requester, used)
        await permit('ran', ANSWER)
        await trio.sleep(30)
        world.kill(issuer)
        for successor in (None, await world.router('a', incarnation=2)):
            for router in filter(None, (requester, successor)):
                response = (await ask(router, unused))[1]
                self.assertEqual('outcome_unknown/unknown', response)
                self.assertEqual(b'cut', (await ask(router, used))[1])
        world.platform.set_faults(down=True)
        response = (await ask(requester, unused))[1]
        self.assertEqual('claim_unreachable/unknown', response)

    @run_world
    async def test_report_to_unreachable_issuer_reaches_the_platform(
        self, world
    ):
        issuer, requester = await world.router('a'), await world.router('b')
        order = order_of(issuer.keys.issue(ORGANISATION))
        permit, _ = await ask(requester, order)
        world.cut.add('a')
        await permit('ran', ANSWER)
        await trio.sleep(30)
        (claim,) = await requester.claims.list_by_payer(f'{issuer.holder}/')
        self.assertEqual('ran', claim.state)
        # The issuer receives the report once it can be reached.
        world.cut.clear()
        await trio.sleep(30)
        self.assertEqual((5, 0), (issuer.credit.spent, issuer.keys.in_use))
        self.assertEqual(0, requester.use.dump()['unreported'])
        self.assertEqual(b'cut', (await ask(issuer, order))[1])

    @run_world
    async def test_released_key_can_be_used_again_at_the_platform(self, world):
        issuer, requester = await world.router('a'), await world.router('b')
        order = order_of(issuer.keys.issue(ORGANISATION))
        permit, _ = await ask(requester, order)
        await permit('released', None)
        await trio.sleep(30)
        permit, _ = await ask(issuer, order)
        await trio.sleep(30)
        (claim,) = await requester.claims.list_by_payer(f'{issuer.holder}/')
        self.assertEqual('claimed', claim.state)
        await permit('ran', ANSWER)
        await trio.sleep(30)
        self.assertEqual(5, issuer.credit.spent)
        world.kill(issuer)
        self.assertEqual(b'cut', (await ask(requester, order))[1])
