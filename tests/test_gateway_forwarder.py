"""
tests.test_gateway_forwarder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests that run twice, and against wrong or truncated answers.
"""

import msgspec
import testtools
import trio

from eelgrassfork.gateway.retry_budget import FleetRetryPolicy
from eelgrassfork.http_client import ClientRequest, ConnectionLost
from eelgrassfork.http_server import Call

from .gateway_world import configuration, run_world


def code_of(answer):
    response, body = answer
    return response.status, msgspec.json.decode(body)['error']['code']


def parts(*tokens):
    return ','.join(f'{index:x}:{count}' for index, count in enumerate(tokens))


class CompleteAnswerTests(testtools.TestCase):
    def test_request_and_answer_are_forwarded_unchanged(self):
        async def scenario(world, nursery):
            response, body = await world.call(
                '/order/x?y=%20z',
                method='POST',
                body=b'\x00body',
                x_custom='kept',
                x_hold='forged',
                x_tenant='forged',
                kv_from='forged',
            )
            return response, body, world.replicas[0]

        response, body, replica = run_world(scenario, plain=[['ok']])
        self.assertEqual((200, b'i-0'), (response.status, body))
        self.assertEqual('i-0', response.headers_by_name['x-response-seal'])
        self.assertEqual('r1', response.headers_by_name['x-request-id'])
        seen = replica.seen[0]
        self.assertEqual([b'\x00body'], replica.bodies)
        self.assertEqual('shop.example', seen['host'])
        self.assertEqual('acme', seen['x-tenant'])
        self.assertEqual('i-0', seen['x-expect-replica'])
        self.assertEqual('kept', seen['x-custom'])
        self.assertLessEqual(int(seen['x-request-deadline']), 1500)
        for name in ('api-key', 'x-hold', 'kv-from'):
            self.assertNotIn(name, seen)

    def test_idempotent_request_that_failed_is_retried_on_another_server(self):
        async def scenario(world, nursery):
            answers = [await world.call('/look/x', f'r{n}') for n in range(6)]
            return {body for _, body in answers}

        self.assertEqual(
            {b'i-1'}, run_world(scenario, plain=[['error'], ['ok']])
        )

    def test_error_of_all_servers_is_relayed(self):
        async def scenario(world, nursery):
            response, _ = await world.call('/look/x')
            runs = sum(len(replica.runs) for replica in world.replicas)
            return response.status, runs

        self.assertEqual(
            (500, 2), run_world(scenario, plain=[['error'], ['error']])
        )

    def test_non_idempotent_request_runs_once_whatever_fails(self):
        for behaviour in ('error', 'cut', 'crossed', 'unsealed', 'hang'):

            async def scenario(world, nursery):
                response, _ = await world.call('/order/x', method='POST')
                runs = sum(len(replica.runs) for replica in world.replicas)
                return response.status, runs

            status, runs = run_world(scenario, plain=[[behaviour], [behaviour]])
            self.assertEqual(1, runs)
            self.assertIn(status, {500, 502, 504})

    def test_refusal_by_full_servers_has_a_retry_delay(self):
        async def scenario(world, nursery):
            return await world.call('/order/x', method='POST')

        answer = run_world(scenario, plain=[['full']])
        self.assertEqual((503, 'overloaded'), code_of(answer))
        delay_s = float(answer[0].headers_by_name['retry-after'])
        self.assertLess(delay_s, 0.5)

    def test_unproven_refusal_is_not_relayed_as_not_run(self):
        async def scenario(world, nursery):
            return await world.call('/order/x', method='POST')

        answer = run_world(scenario, plain=[['busy_unproven']])
        self.assertEqual((502, 'server_failed'), code_of(answer))
        self.assertNotIn('x-response-seal', answer[0].headers_by_name)

    def test_server_at_a_reused_address_does_not_run_the_request(self):
        async def scenario(world, nursery):
            replica = world.replicas[0]
            replica.server_id = 'i-other'
            answer = await world.call('/look/x')
            return answer, replica.runs

        answer, runs = run_world(scenario, plain=[['ok']])
        self.assertEqual([], runs)
        self.assertEqual(503, answer[0].status)

    def test_request_is_cancelled_when_its_caller_disconnects(self):
        async def scenario(world, nursery):
            with trio.move_on_after(0.2):
                await world.call('/order/x', method='POST')
            await trio.sleep(0.3)
            return world.replicas[0].cancelled

        self.assertEqual(1, run_world(scenario, plain=[['hang']]))

    def test_request_fails_over_from_a_hanging_server_in_time(self):
        async def scenario(world, nursery):
            started_at = trio.current_time()
            answers = [await world.call('/look/x', f'r{n}') for n in range(4)]
            return (
                {body for _, body in answers},
                trio.current_time() - started_at,
            )

        bodies, seconds = run_world(scenario, plain=[['hang'], ['ok']])
        self.assertEqual({b'i-1'}, bodies)
        self.assertLess(seconds, 1.5)


class StreamTests(testtools.TestCase):
    def test_broken_stream_is_resumed_on_another_server(self):
        async def scenario(world, nursery):
            response, body = await world.call(
                '/match/x',
                method='POST',
                x_token_counts='10,40',
                x_prompt_prefix=parts(5, 5),
            )
            return response.status, body, world.replicas

        script = ['torn:3', 'stream:6']
        status, body, replicas = run_world(scenario, model=[script, script])
        self.assertEqual(200, status)
        self.assertEqual(
            [b'id: %d' % number for number in range(1, 7)],
            [line for line in body.splitlines() if line.startswith(b'id')],
        )
        resumed = [
            seen['last-event-id']
            for replica in replicas
            for seen in replica.seen
            if 'last-event-id' in seen
        ]
        self.assertEqual(['3'], resumed)

    def test_broken_stream_that_is_not_resumable_closes_the_connection(self):
        async def scenario(world, nursery):
            try:
                await world.call('/reply/x', method='POST')
            except ConnectionLost:
                return sum(len(one.runs) for one in world.replicas)

        self.assertEqual(1, run_world(scenario, model=[['torn:3'], ['torn:3']]))

    def test_slow_stream_on_its_last_attempt_is_not_cut(self):
        async def scenario(world, nursery):
            response, body = await world.call('/match/x', method='POST')
            return response.status, body.count(b'id:')

        script = ['torn:1', 'slow:4']
        self.assertEqual((200, 4), run_world(scenario, model=[script, script]))

    def test_slow_stream_is_kept_when_the_retry_budget_is_empty(self):
        async def scenario(world, nursery):
            world.node._sender.change_retry_policy(FleetRetryPolicy(0, 10, 0))
            response, body = await world.call('/match/x', method='POST')
            runs = sum(len(one.runs) for one in world.replicas)
            return response.status, body.count(b'id:'), runs

        self.assertEqual(
            (200, 3, 1), run_world(scenario, model=[['slow:3'], ['slow:3']])
        )

    def test_bytes_without_a_complete_event_do_not_delay_failover(self):
        async def scenario(world, nursery):
            started_at = trio.current_time()
            response, body = await world.call('/match/x', method='POST')
            total_s = trio.current_time() - started_at
            return response.status, body.count(b'id:'), total_s

        script = ['drip', 'stream:3']
        status, events, total_s = run_world(scenario, model=[script, script])
        self.assertEqual((200, 3), (status, events))
        self.assertLess(total_s, 1)

    def test_credit_is_charged_for_delivered_events(self):
        async def scenario(world, nursery):
            await world.call('/match/x', method='POST', x_token_counts='100,40')
            held = world.node._credit.held
            with trio.move_on_after(1):
                while not held.unflushed('acme'):
                    await trio.sleep(0.01)
            return held.unflushed('acme')

        # Three events of four tokens each.
        self.assertEqual(112, run_world(scenario, model=[['stream:3']]))

    def test_budget_is_never_exceeded(self):
        async def scenario(world, nursery):
            statuses = []
            for number in range(8):
                response, _ = await world.call(
                    '/match/x',
                    f'r{number}',
                    method='POST',
                    x_token_counts='200,12',
                )
                statuses.append(response.status)
            return statuses, len(world.replicas[0].runs)

        statuses, runs = run_world(scenario, model=[['stream:3']])
        self.assertEqual([200] * 4, statuses[:4])
        self.assertEqual(4, runs)
        self.assertTrue(set(statuses[4:]) <= {402, 429})

    def test_top_up_takes_effect_immediately(self):
        async def scenario(world, nursery):
            await world.call('/match/x', method='POST', x_token_counts='990,1')
            refused, _ = await world.call(
                '/match/x', method='POST', x_token_counts='990,1'
            )
            wire = configuration(2)
            wire['tenants'][0]['prepaid'] = 5000
            world.store.put('config', 'main', wire)
            await trio.sleep(0.3)
            served, _ = await world.call(
                '/match/x', method='POST', x_token_counts='990,1'
            )
            return refused.status in {402, 429}, served.status

        self.assertEqual((True, 200), run_world(scenario, model=[['stream:1']]))


class PermissionTests(testtools.TestCase):
    def test_refusals_have_codes(self):
        async def scenario(world, nursery):
            return [
                code_of(await world.call('/nowhere/x')),
                code_of(await world.call('/look/x', key='old')),
            ]

        self.assertEqual(
            [(404, 'unknown_route'), (401, 'unknown_key')],
            run_world(scenario, plain=[['ok']]),
        )

    def test_removed_key_is_refused_immediately(self):
        async def scenario(world, nursery):
            before, _ = await world.call('/look/x')
            world.store.put('config', 'main', configuration(2, tenants=[]))
            await trio.sleep(0.2)
            after, _ = await world.call('/look/x')
            return before.status, after.status

        self.assertEqual((200, 401), run_world(scenario, plain=[['ok']]))

    def test_bad_requests_reach_no_server(self):
        bad = (
            (('x-request-id', 'a'), ('x-request-id', 'b'), ('api-key', 'key')),
            (('api-key', 'key'),),
            (('x-request-id', 'a'), ('api-key', 'key'), ('api-key', 'old')),
        )

        async def scenario(world, nursery):
            statuses = []
            for headers in bad:
                request = ClientRequest(
                    world.settings.caller_address,
                    'GET',
                    '/look/x',
                    headers,
                    host='shop.example',
                )
                response, _ = await world.client.fetch(request)
                statuses.append(response.status)
            return statuses, len(world.replicas[0].seen)

        self.assertEqual(([400] * 3, 0), run_world(scenario, plain=[['ok']]))


class LifecycleTests(testtools.TestCase):
    def test_draining_server_receives_no_more_requests(self):
        async def scenario(world, nursery):
            world.register(
                world.replicas[0], 'plain', state='draining', sequence=2
            )
            await trio.sleep(0.2)
            answers = [await world.call('/look/x', f'r{n}') for n in range(4)]
            return {body for _, body in answers}

        self.assertEqual({b'i-1'}, run_world(scenario, plain=[['ok'], ['ok']]))

    def test_drain_finishes_requests_in_progress_and_returns_credit(self):
        async def scenario(world, nursery):
            statuses = []

            async def send_request():
                response, _ = await world.call(
                    '/match/x', method='POST', x_token_counts='100,400'
                )
                statuses.append(response.status)

            nursery.start_soon(send_request)
            await trio.sleep(0.05)
            ready = ClientRequest(
                world.settings.ready_address, 'GET', '/readyz'
            )
            before, _ = await world.client.fetch(ready)
            async with trio.open_nursery() as stopping:
                stopping.start_soon(world.node.drain)
                await trio.sleep(0.1)
                after, _ = await world.client.fetch(ready)
            ledger = world.store._objects_by_key[
                'eelgrassfork-credit', 'ledger'
            ]
            return (
                statuses,
                before.status,
                after.status,
                ledger['spec']['granted']['acme'],
            )

        self.assertEqual(
            ([200], 200, 503, 500), run_world(scenario, model=[['stream:100']])
        )

    def test_request_that_may_have_run_is_not_refused_as_not_run(self):
        async def scenario(world, nursery):
            # The route is removed while the first server works on the request.
            wire = configuration(2)
            wire['routes'] = wire['routes'][1:]

            async def remove_route():
                await trio.sleep(0.05)
                world.store.put('config', 'main', wire)

            nursery.start_soon(remove_route)
            return code_of(await world.call('/look/x'))

        status, _ = run_world(scenario, plain=[['hang'], ['hang']])
        self.assertIn(status, {502, 504})

    def test_stream_is_resumed_on_another_server_while_the_router_drains(self):
        async def scenario(world, nursery):
            async def start_draining():
                await trio.sleep(0.1)
                world.node._forwarder.draining = True

            nursery.start_soon(start_draining)
            response, body = await world.call('/match/x', method='POST')
            return response.status, body.count(b'id:')

        script = ['torn:40', 'stream:60']
        self.assertEqual((200, 60), run_world(scenario, model=[script, script]))

    def test_request_of_a_disconnected_caller_is_not_forwarded(self):
        async def scenario(world, nursery):
            original = Call.has_disconnected
            Call.has_disconnected = lambda call: True
            try:
                with trio.move_on_after(0.3):
                    await world.call('/order/x', method='POST')
            except ConnectionLost:
                return len(world.replicas[0].runs)
            finally:
                Call.has_disconnected = original
            return len(world.replicas[0].runs)

        self.assertEqual(0, run_world(scenario, plain=[['ok']]))

    def test_requests_are_served_during_an_outage_of_the_store(self):
        async def scenario(world, nursery):
            await trio.sleep(1.2)
            world.store.faults = world.store.faults._replace(refuse=503)
            answers = []
            for number in range(3):
                answers.append(
                    await world.call(
                        '/match/x',
                        f'r{number}',
                        key='bigkey',
                        method='POST',
                        x_token_counts='100,10',
                    ),
                )
            return [response.status for response, _ in answers]

        self.assertEqual([200] * 3, run_world(scenario, model=[['stream:2']]))

    def test_metrics_and_state_are_served(self):
        async def scenario(world, nursery):
            await world.call('/look/x')
            answers = []
            for path in ('/metrics', '/state'):
                request = ClientRequest(
                    f'127.0.0.1:{world.settings.last_internal_port}',
                    'GET',
                    path,
                )
                answers.append((await world.client.fetch(request))[1])
            return answers

        metrics, state = run_world(scenario, plain=[['ok']])
        self.assertIn(
            b'eelgrassfork_requests_ended_total{kind="idempotent",'
            b'outcome="http_200"} 1.0',
            metrics,
        )
        self.assertEqual(1, msgspec.json.decode(state)['configuration_version'])


class ServerRequestsTests(testtools.TestCase):
    """Shutdown and pause that servers announce apply immediately."""

    def requests_per_server(self, behaviour):
        async def scenario(world, nursery):
            leaving, other = world.replicas
            world.node._store_view.servers.mark_removed(other.server_id)
            await trio.sleep(0.6)
            await world.call('/look/x', 'r0')
            world.register(other, 'plain', sequence=9)
            with trio.fail_after(3):
                while not world.is_settled():
                    await trio.sleep(0.01)
            # An entry that is still ready must not reinstate the server.
            world.register(leaving, 'plain', sequence=10)
            await trio.sleep(0.1)
            for number in range(1, 9):
                await world.call('/look/x', f'r{number}')
            return len(leaving.seen), len(other.seen)

        return run_world(scenario, plain=[[behaviour], ['ok']])

    def test_server_that_announces_its_shutdown_receives_no_more_requests(self):
        # Its entry in the store may still be marked as ready.
        for behaviour in ('leave+ok', 'leave+error', 'leave+full'):
            self.assertEqual(
                (1, 8), self.requests_per_server(behaviour), behaviour
            )

    def test_new_incarnation_of_a_server_that_shut_down_is_used(self):
        async def scenario(world, nursery):
            (server,) = world.replicas
            await world.call('/look/x', 'r0')
            world.register(server, 'plain', born=6)
            await trio.sleep(0.2)
            return (await world.call('/look/x', 'r1'))[1]

        self.assertEqual(b'i-0', run_world(scenario, plain=[['leave+ok']]))

    def test_paused_server_receives_no_requests_before_the_pause_ends(self):
        async def scenario(world, nursery):
            for number in range(30):
                await world.call('/look/x', f'r{number}')
                await trio.sleep(0.05)
            return world.replicas[0].arrived_at

        script = ['pause:1', 'ok']
        first_at, next_at, *_ = run_world(scenario, plain=[script])
        self.assertGreaterEqual(next_at - first_at, 1)

    def test_retry_delay_covers_the_first_pause_when_all_servers_pause(self):
        async def scenario(world, nursery):
            await world.call('/look/x', 'r0')
            return await world.call('/order/x', 'r1')

        answer = run_world(scenario, plain=[['pause:3'], ['pause:2.5']])
        self.assertEqual((503, 'no_server'), code_of(answer))
        retry_after_s = float(answer[0].headers_by_name['retry-after'])
        self.assertGreater(retry_after_s, 2.4)
        self.assertLess(retry_after_s, 3.5)


class ServerLimitTests(testtools.TestCase):
    """A limit that servers name holds for all requests to them."""

    def test_request_beyond_the_only_limit_is_refused_at_once(self):
        async def scenario(world, nursery):
            await trio.sleep(0.7)
            await world.call('/look/x', 'r0')
            started_at = trio.current_time()
            answer = await world.call('/look/x', 'r1')
            took_s = trio.current_time() - started_at
            return answer, took_s, len(world.replicas[0].seen)

        answer, took_s, sent = run_world(scenario, plain=[['limit=0.5+ok']])
        self.assertEqual((503, 'overloaded'), code_of(answer))
        self.assertGreater(float(answer[0].headers_by_name['retry-after']), 0.5)
        self.assertLess(took_s, 0.3)
        self.assertEqual(1, sent)

    def test_requests_go_to_servers_without_a_limit(self):
        async def scenario(world, nursery):
            await trio.sleep(0.7)
            for number in range(12):
                answer = await world.call('/look/x', f'r{number}')
                self.assertEqual(200, answer[0].status)
            return [len(replica.seen) for replica in world.replicas]

        script = ['limit=0.5+ok']
        limited, other = run_world(scenario, plain=[script, ['ok']])
        self.assertLessEqual(limited, 1)
        self.assertGreaterEqual(other, 11)

    def test_operators_see_limit_permits_and_sends(self):
        async def scenario(world, nursery):
            await trio.sleep(0.7)
            await world.call('/look/x', 'r0')
            await world.call('/look/x', 'r1')
            return world.node.dump()

        dump = run_world(scenario, plain=[['limit=2+ok']])
        limit, permit = dump['limits'][0], dump['permits'][0]
        self.assertEqual(('i-0', 2), (limit['server'], limit['per_s']))
        self.assertEqual(('i-0', 1), (permit['server'], permit['askers']))
        self.assertEqual(1, dump['servers'][0]['sent'])


class RetryShareTests(testtools.TestCase):
    def test_router_that_has_found_no_other_uses_a_part_of_the_retries(self):
        # A router that started while it was cut off took the whole slack.
        async def scenario(world, nursery):
            world.node._member.gossip.add_seeds(('127.0.9.1', '127.0.9.2'))
            return world.node._sender._parts.routers()

        self.assertEqual(3, run_world(scenario, plain=[['ok']]))
