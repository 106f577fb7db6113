"""
tests.test_plain_calls
~~~~~~~~~~~~~~~~~~~~~~

Guards against plain calls with a wrong server, method or credential.
"""

import msgspec
import testtools

from tests.plain_world import run_plain


class LookUpTests(testtools.TestCase):
    @run_plain
    async def test_call_is_forwarded_without_the_callers_api_key(self, world):
        router = await world.router('a')
        seen = []
        service = world.services[0]
        world.services[1].set_faults(cut_before=True)
        service.fault_injector.track_connection = seen.append
        headers = (
            ('authorization', 'Bearer secret'),
            ('connection', 'close, x-hop'),
            ('x-hop', '1'),
            ('x-http-method-override', 'POST'),
            ('x-shop', 'a'),
        )
        for name in ('shopdesk', 'pazlen/shopdesk', 'pazlen%2Fshopdesk'):
            target = f'/services/{name}/a%20b?x=%2F'
            reply = await world.call(router, 'GET', target, headers, body=b'')
            answer = msgspec.json.decode(reply.body)
            self.assertEqual('/a%20b?x=%2F', answer['target'])
            call = seen.pop()
            self.assertEqual('a', call.headers_by_name['x-shop'])
            for name in ('authorization', 'x-hop', 'x-http-method-override'):
                self.assertNotIn(name, call.headers_by_name)

    @run_plain
    async def test_look_up_succeeds_without_platform_and_after_faults(
        self, world
    ):
        router = await world.router('a')
        world.platform.set_faults(down=True)
        faults = (
            {'cut_before': True},
            {'cut_after': True},
            {'silent': True},
            {'wrong_identity': True},
        )
        for fault in faults:
            world.services[0].set_faults(**fault)
            for method, path in (('GET', 'x'), ('POST', 'stock/7')):
                target = f'/services/shopdesk/{path}'
                reply = await world.call(router, method, target)
                self.assertEqual(200, reply.status, (fault, reply))
            world.services[0].set_faults(**dict.fromkeys(fault, False))
            router.parts.backends.record_success('backend-0')
        # Idempotent calls are free, because no record of them outlives a router.
        self.assertEqual(0, router.credit.spent)
        self.assertEqual(set(), router.credit.open_payers)

    @run_plain
    async def test_silent_connections_are_replaced_without_ejection(
        self, world
    ):
        router = await world.router('a')
        for _ in range(4):
            await world.call(router, 'GET', '/services/shopdesk/x')
        world.set_faults(silence_open=True)
        headers = (('x-request-timeout-ms', '2000'),)
        target = '/services/shopdesk/x'
        reply = await world.call(router, 'GET', target, headers)
        self.assertEqual(200, reply.status)
        states = router.parts.backends.servers('pazlen/shopdesk')
        self.assertEqual([False, False], [each.ejected for each in states])

    @run_plain
    async def test_retries_are_bounded_by_the_retry_budget(self, world):
        router = await world.router('a')
        world.set_faults(fail=False, cut_before=True)
        for _ in range(30):
            router.parts.backends.record_success('backend-0')
            router.parts.backends.record_success('backend-1')
            reply = await world.call(router, 'GET', '/services/shopdesk/x')
            self.assertIn(reply.code, ('server_failed', 'no_server'))
            self.assertEqual('unknown', reply.outcome)
        self.assertTrue(router.parts.retry_budget.tokens < 1)
        self.assertEqual(0, router.credit.spent)


class RefusalTests(testtools.TestCase):
    @run_plain
    async def test_invalid_calls_are_refused_before_they_are_sent(self, world):
        router = await world.router('a')
        key = ('idempotency-key', 'k')
        cases = (
            ('POST', 'shopdesk/orders', (), 'idempotency_key_required'),
            ('POST', 'shopdesk/stockpile', (), 'idempotency_key_required'),
            ('POST', 'shopdesk/%73tock', (), 'idempotency_key_required'),
            ('POST', 'shopdesk/stock/../orders', (), 'invalid_request'),
            ('POST', 'shopdesk/stock/%2e%2e/orders', (), 'invalid_request'),
            ('POST', 'shopdesk/stock%2F..%5Corders', (), 'invalid_request'),
            ('POST', 'shopdesk/x', (('idempotency-key', 'k' * 300),),
             'invalid_request'),
            ('POST', 'shopdesk/x', (('idempotency-key', 'efk1.x'),),
             'invalid_request'),
            ('GET', 'shopdesk/x', (('x-request-timeout-ms', '9' * 9999),),
             'invalid_request'),
            ('TRACE', 'shopdesk/x', (key,), 'invalid_request'),
            ('GET', 'other/x', (), 'unknown_service'),
            ('GET', '', (), 'unknown_service'),
        )  # fmt: skip
        for method, path, headers, code in cases:
            target = f'/services/{path}'
            reply = await world.call(router, method, target, headers)
            self.assertEqual(code, reply.code, (method, path))
        self.assertEqual(0, sum(each.orders for each in world.services))

    @run_plain
    async def test_refusal_without_servers_has_the_correct_outcome(self, world):
        router = await world.router('a')
        for vm in ('backend-0', 'backend-1'):
            router.parts.backends.mark_draining(vm)
        for retries, outcome in ((0, 'not_run'), (1, 'unknown')):
            reply = await world.order(router, 'key', retries)
            self.assertEqual(('no_server', outcome), reply[1:3])
        self.assertEqual([], world.platform.core.objects.list_objects(''))
