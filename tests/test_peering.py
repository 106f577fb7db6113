"""
tests.test_peering
~~~~~~~~~~~~~~~~~~

Guards against lost, mismatched or unauthenticated calls between routers.
"""

import functools

import testtools
import trio

from eelgrassfork.errors import EelgrassError
from eelgrassfork.peer_messages import Heartbeat
from eelgrassfork.peering import (
    Peering,
    PeerRefused,
    PeerSettings,
    PeerUnreachable,
)


class Pair:
    """Peerings of two routers that know each other's address."""

    def __init__(self, second_key: str = 'secret') -> None:
        self.heard_by_vm = {'a': [], 'b': []}
        self.by_vm = {}
        for vm, key in (('a', 'secret'), ('b', second_key)):
            beat = Heartbeat(vm, f'{vm}.1', 'pazlen', 'p/x', '', 'ready')
            self.by_vm[vm] = Peering(
                PeerSettings(key, timeout_s=0.3),
                lambda beat=beat: beat,
                functools.partial(self.record_sender, vm),
                self.address_of,
            )

    def record_sender(self, vm, heartbeat, started_at):
        self.heard_by_vm[vm].append(heartbeat.vm)

    def address_of(self, vm):
        return self.by_vm[vm].address if vm in self.by_vm else None


def run_pair(test, **options):
    @functools.wraps(test)
    def wrapper(self):
        async def main():
            async with trio.open_nursery() as nursery:
                pair = Pair(**options)
                for peering in pair.by_vm.values():
                    await peering.start(nursery, '127.0.0.1', 0)
                await test(self, pair)
                for peering in pair.by_vm.values():
                    await peering.close()
                nursery.cancel_scope.cancel()

        trio.run(main)

    return wrapper


async def double(sender, payload):
    await trio.lowlevel.checkpoint()
    if payload['number'] < 0:
        raise EelgrassError('negative', 'the number is negative')
    return {'twice': payload['number'] * 2, 'sender': sender}


class PeeringTests(testtools.TestCase):
    @run_pair
    async def test_concurrent_calls_get_matching_results(self, pair):
        pair.by_vm['b'].register('double', double)
        answers = {}

        async def ask(number):
            payload = {'number': number}
            answers[number] = await pair.by_vm['a'].call('b', 'double', payload)

        async with trio.open_nursery() as nursery:
            for number in range(50):
                nursery.start_soon(ask, number)
        for number, answer in answers.items():
            self.assertEqual(number * 2, answer['twice'])
            self.assertEqual('a.1', answer['sender'])
        self.assertLess(len(pair.heard_by_vm['b']), 50)

    @run_pair
    async def test_errors_keep_their_code(self, pair):
        pair.by_vm['b'].register('double', double)
        for kind, payload, code in (
            ('double', {'number': -1}, 'negative'),
            ('double', {}, 'bad_call'),
            ('other', {}, 'unknown_call'),
        ):
            try:
                await pair.by_vm['a'].call('b', kind, payload)
            except PeerRefused as error:
                self.assertEqual(code, error.code)
            else:
                self.fail(f'{kind} was not refused')

    @run_pair
    async def test_dead_peer_is_reported_as_unreachable(self, pair):
        await pair.by_vm['b'].close()
        with testtools.ExpectedException(PeerUnreachable):
            await pair.by_vm['a'].call('b', 'double', {'number': 1})
        with testtools.ExpectedException(PeerUnreachable):
            await pair.by_vm['a'].call('c', 'double', {'number': 1})

    @functools.partial(run_pair, second_key='another')
    async def test_wrong_peer_key_is_rejected(self, pair):
        with testtools.ExpectedException(PeerUnreachable):
            await pair.by_vm['a'].send_heartbeat(pair.by_vm['b'].address)
        self.assertEqual([], pair.heard_by_vm['b'])
