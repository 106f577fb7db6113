"""
tests.test_gateway_harmful_input
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against one request or answer that makes a router fail for all others.
"""

from contextlib import suppress

import testtools
import trio

from eelgrassfork.errors import EelgrassError
from eelgrassfork.gateway.records import ServerEntry
from eelgrassfork.gateway.servers import Server
from eelgrassfork.platform.heads import decode_request, decode_response

from .gateway_world import configuration, run_world

# More than fits into a float, and fewer digits than int() refuses.
HUGE = '9' * 4000
REFUSED = '9' * 5000


def tokens_of(text):
    headers = (
        ('host', 'shop.example'),
        ('x-request-id', 'r1'),
        ('x-token-counts', f'{text},{text}'),
        ('x-prompt-prefix', f'x:{text},own:1'),
    )
    head = decode_request('GET', '/', headers)
    return head.prompt_tokens, head.max_output_tokens, head.parts[0].tokens


async def send_huge_request(world):
    with suppress(EelgrassError):
        await world.call('/look/x', 'r1', 'openkey', x_token_counts=f'{HUGE},1')


class HugeNumberTests(testtools.TestCase):
    def test_token_counts_are_bounded(self):
        for text in (HUGE, REFUSED):
            for tokens in tokens_of(text):
                self.assertLess(0, tokens)
                self.assertLess(tokens, 2**31)

    def test_load_reports_are_bounded(self):
        async def main():
            entry = ServerEntry('i-0', 'model', 'a:1', 'd0', 8, 1, 1)
            server = Server(entry)
            for text in (HUGE, REFUSED):
                answer = decode_response(
                    200, (('x-replica-load', f'{text},{text},8'),)
                )
                server.update_load(answer.load, trio.current_time())
                server.load(trio.current_time())

        trio.run(main)

    def test_request_of_huge_size_does_not_stop_the_choice_of_servers(self):
        # Each choice of a server failed while the first request was there.
        async def scenario(world, nursery):
            organisation = {'name': 'open', 'apiKeys': ['openkey']}
            world.store.put(
                'config', 'main', configuration(2, tenants=[organisation])
            )
            while world.node._store_view.configuration.version < 2:
                await trio.sleep(0.01)
            nursery.start_soon(send_huge_request, world)
            while not any(replica.seen for replica in world.replicas):
                await trio.sleep(0.01)
            response, _ = await world.call('/look/x', 'r2', 'openkey')
            return response.status

        scripts = [['hang', 'ok'], ['hang', 'ok']]
        self.assertEqual(200, run_world(scenario, plain=scripts))
