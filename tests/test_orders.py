"""
tests.test_orders
~~~~~~~~~~~~~~~~~

Guards against a second run and wrong outcomes under each fault of an order.

Each cell injects a fault at one router, sends an order with one kind of key
and repeats it at another router. The order must run at most once, and the
outcome reported to each caller must be correct.
"""

import testtools
import trio

from tests.plain_world import SERVICE, per_cell

LONG_S = 300
# Issuer of the key, relative to the router that is called first.
KEYS = ('own', 'issued_here', 'issued_there')
POINTS = (
    'claimed.before',
    'claimed.after',
    'reserve.before',
    'reserve.after',
    'call.before',
    'call.after',
    'send.before',
    'send.after',
    'ran.before',
    'ran.after',
)
# Fault by name, with the expected response to an order with the caller's key.
SERVER_FAULTS = {
    'killed_before': ({'cut_before': True}, 'server_failed/unknown'),
    'killed_after': ({'cut_after': True}, 'server_failed/unknown'),
    'silent': ({'silent': True}, 'server_failed/unknown'),
    'late': ({'late_ms': 4000}, 'server_failed/unknown'),
    'wrong_identity': ({'wrong_identity': True}, 'server_failed/unknown'),
    'slow': ({'late_ms': 2500}, '200'),
}
PLATFORM_FAULTS = {
    'down': ({'down': True}, 'claim_unreachable/not_run'),
    'lost_answer': ({'lose_answers': 1}, '200'),
    'lost_write': ({'drop_writes': 1}, '200'),
    'silent': ({'delay_s': 1000}, 'claim_unreachable/not_run'),
}
CREDIT_CODES = ('budget_exhausted', 'credit_unreachable')


def summarize(response):
    return (
        f'{response.code}/{response.outcome}'
        if response.code
        else str(response.status)
    )


class OrderCase(testtools.TestCase):
    async def prepare(self, world, kind):
        self.first = await world.router('a')
        self.second = await world.router('b')
        self.issuer = await world.router('c')
        issuers = {'issued_here': self.first, 'issued_there': self.issuer}
        if kind == 'own':
            return 'key-1'
        return issuers[kind].keys.issue('pazlen/atelier')

    async def repeat(self, world, key, response):
        """Repeat an order at the second router and check both responses."""
        await trio.sleep(LONG_S)
        self.check_outcome(world, key, response)
        again = await world.order(self.second, key, retries=1)
        await trio.sleep(LONG_S)
        self.check_outcome(world, key, again)
        if response.status == 200:
            self.assertTrue(again.replayed, again)
            self.assertEqual(response.body, again.body)
        return again

    def check_outcome(self, world, key, response):
        ran = world.executions(key)
        self.assertIn(ran, (0, 1))
        if response.outcome == 'not_run':
            self.assertEqual(0, ran, response)
        if response.status == 200 or response.outcome == 'ran':
            self.assertEqual(1, ran, response)

    def check_billing(self, world, key):
        """Check that an order that ran is billed once, and none is billed twice."""
        routers = (self.first, self.second, self.issuer)
        spent = sum(router.credit.spent for router in routers)
        ran = world.executions(key)
        self.assertIn(spent, (5 * ran, 5))
        self.assertEqual([], [each.credit.open_payers for each in routers
                              if each.credit.open_payers])  # fmt: skip


@per_cell(KEYS, POINTS, (True, False))
class DeathTests(OrderCase):
    async def test_router_dies(self, world, kind, point, proven):
        key = await self.prepare(world, kind)
        world.stop_at(self.first, point, proven=proven)
        response = await world.order(self.first, key, timeout_s=5)
        again = await self.repeat(world, key, response)
        if again.code:
            self.assertIn(
                summarize(again),
                (
                    'request_in_progress/unknown',
                    'outcome_unknown/unknown',
                ),
            )
        if proven:
            self.assertNotEqual('request_in_progress', again.code)


@per_cell(KEYS, POINTS, (2, 60))
class PauseTests(OrderCase):
    async def test_router_is_paused(self, world, kind, point, pause_s):
        key = await self.prepare(world, kind)
        world.stop_at(self.first, point, pause_s)
        response = await world.order(self.first, key, timeout_s=5)
        self.check_outcome(world, key, response)
        during = await world.order(self.second, key, retries=1)
        await trio.sleep(LONG_S)
        if {response.outcome, during.outcome} == {'not_run'}:
            self.assertEqual(0, world.executions(key))
        if response.status == 200:
            self.assertEqual(response.body, during.body)
        await self.repeat(world, key, during)
        self.check_billing(world, key)


@per_cell(
    ('call.before', 'call.after', 'send.before', 'send.after'),
    (True, False),
)
class IssuerDeathTests(OrderCase):
    async def test_issuer_dies_during_the_order(self, world, point, proven):
        key = await self.prepare(world, 'issued_there')
        world.stop_at(self.first, point, pause_s=0.1)
        gate = world.gates_by_vm['a']
        gate.on_reached = lambda: world.kill(self.issuer, proven)
        response = await world.order(self.first, key)
        if point == 'call.before':
            self.assertEqual('outcome_unknown/unknown', summarize(response))
        else:
            self.assertEqual('200', summarize(response))
        await self.repeat(world, key, response)


@per_cell(KEYS, SERVER_FAULTS)
class ServerFaultTests(OrderCase):
    async def test_server_fails(self, world, kind, fault):
        changes, expected = SERVER_FAULTS[fault]
        key = await self.prepare(world, kind)
        # An order on a broken pooled connection would be sent a second time.
        for _ in range(4):
            await world.call(self.first, 'GET', '/services/shopdesk/x')
        self.first.credit.spent_by_payer.clear()
        world.set_faults(**changes)
        response = await world.order(self.first, key)
        self.assertEqual(expected, summarize(response))
        world.set_faults(**dict.fromkeys(changes, 0))
        again = await self.repeat(world, key, response)
        if expected != '200':
            self.assertEqual('outcome_unknown/unknown', summarize(again))
        self.check_billing(world, key)


@per_cell(KEYS, (1, 2))
class ConnectTests(OrderCase):
    async def test_connection_is_refused(self, world, kind, closed):
        key = await self.prepare(world, kind)
        for service in world.services[:closed]:
            await service.close()
        response = await world.order(self.first, key)
        expected = '200' if closed == 1 else 'no_server/not_run'
        self.assertEqual(expected, summarize(response))
        await self.repeat(world, key, response)
        self.check_billing(world, key)


@per_cell(KEYS, PLATFORM_FAULTS)
class PlatformTests(OrderCase):
    async def test_platform_fails_before_the_claim(self, world, kind, fault):
        changes, expected = PLATFORM_FAULTS[fault]
        key = await self.prepare(world, kind)
        world.platform.set_faults(**changes)
        response = await world.order(self.first, key)
        self.assertEqual(
            expected if kind == 'own' else '200', summarize(response)
        )
        world.platform.set_faults(down=False, delay_s=0)
        await self.repeat(world, key, response)
        self.check_billing(world, key)

    async def test_platform_fails_before_the_record(self, world, kind, fault):
        key = await self.prepare(world, kind)
        changes = PLATFORM_FAULTS[fault][0]
        world.stop_at(self.first, 'send.after', pause_s=0.01)
        gate = world.gates_by_vm['a']
        gate.on_reached = lambda: world.platform.set_faults(**changes)
        response = await world.order(self.first, key)
        self.assertEqual('200', summarize(response))
        await trio.sleep(LONG_S)
        world.platform.set_faults(down=False, delay_s=0)
        await self.repeat(world, key, response)
        self.check_billing(world, key)


@per_cell(KEYS, CREDIT_CODES)
class CreditTests(OrderCase):
    async def test_refused_credit_allows_a_retry(self, world, kind, code):
        key = await self.prepare(world, kind)
        for router in (self.first, self.issuer):
            router.credit.code = code
        response = await world.order(self.first, key)
        self.assertEqual(f'{code}/not_run', summarize(response))
        self.first.credit.code = self.issuer.credit.code = ''
        again = await self.repeat(world, key, response)
        self.assertEqual(200, again.status)
        self.check_billing(world, key)

    async def test_lent_credit_is_recorded_before_the_run(self, world, kind, _):
        key = await self.prepare(world, kind)
        payer = self.issuer if kind == 'issued_there' else self.first
        payer.credit.lender = 'z.1'
        world.stop_at(self.first, 'send.after')
        await world.order(self.first, key, timeout_s=5)
        await trio.sleep(LONG_S)
        (claim,) = await self.second.claims.list_by_payer('z.1/')
        # The issuer records that the requester is dead.
        expected = 'unknown' if kind == 'issued_there' else 'claimed'
        self.assertEqual(expected, claim.state)


@per_cell(KEYS, (True, False))
class CallerGoneTests(OrderCase):
    async def test_caller_disconnects(self, world, kind, sent):
        key = await self.prepare(world, kind)
        before = 'call.after' if kind == 'issued_there' else 'reserve.after'
        world.stop_at(self.first, '' if sent else before, 2)
        # The router continues and detects that the caller disconnected.
        world.gates_by_vm['a'].on_reached = lambda: None
        world.set_faults(late_ms=2500 if sent else 0)
        response = await world.order(self.first, key, timeout_s=1)
        self.assertEqual(0, response.status)
        again = await self.repeat(world, key, response)
        self.assertEqual((200, sent), (again.status, again.replayed))
        self.check_billing(world, key)


@per_cell(KEYS, (262_144, 262_145))
class LargeAnswerTests(OrderCase):
    async def test_large_answer_is_relayed_and_its_run_recorded(
        self, world, kind, size
    ):
        key = await self.prepare(world, kind)

        async def answer(call):
            call.request_id = call.headers_by_name['x-request-id']
            world.services[0].count_by_key[key] += 1
            await call.respond(200, b'x' * size)

        for service in world.services:
            service._server._handler = answer
        response = await world.order(self.first, key)
        self.assertEqual((200, size), (response.status, len(response.body)))
        again = await world.order(self.second, key, retries=1)
        if size > 262_144:
            self.assertEqual('answer_not_kept/ran', summarize(again))
        else:
            self.assertEqual(response.body, again.body)
        self.check_outcome(world, key, again)
        self.check_billing(world, key)


@per_cell(('own', 'issued_here'))
class DeadlineTests(OrderCase):
    async def test_order_is_not_sent_after_its_deadline(self, world, kind):
        key = await self.prepare(world, kind)
        bound_s = SERVICE.first_byte_ms / 1000
        world.stop_at(self.first, 'reserve.after', pause_s=bound_s)
        response = await world.order(self.first, key)
        self.assertEqual('deadline_exceeded/not_run', summarize(response))
        again = await self.repeat(world, key, response)
        self.assertEqual(200, again.status)
        self.check_billing(world, key)
