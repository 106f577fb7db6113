"""
tests.test_membership
~~~~~~~~~~~~~~~~~~~~~

Guards against applying stale VM lists, and against declaring silent peers dead.
"""

import testtools
import trio
import trio.testing

from eelgrassfork.errors import EelgrassError
from eelgrassfork.membership import Membership, MembershipSettings
from eelgrassfork.peer_messages import Heartbeat
from eelgrassfork.vm_list import VmList, VmRecord

DOMAIN = 'pazlen/haskovo'


def router(vm: str) -> VmRecord:
    return VmRecord(
        vm, 'router', 'live', 'pazlen', '', DOMAIN, 'bg', '', f'{vm}:1'
    )


def heartbeat(vm: str, holder: str = '', revision: int = 0) -> Heartbeat:
    return Heartbeat(
        vm,
        holder or f'{vm}.1',
        'pazlen',
        DOMAIN,
        f'{vm}:1',
        'ready',
        vm_list_revision=revision,
    )


class FakePeers:
    def __init__(self, vm_list: VmList) -> None:
        self.vm_list = vm_list
        self.heartbeat_addresses = []

    def register(self, kind, handler):
        self.handler = handler

    async def send_heartbeat(self, address):
        await trio.lowlevel.checkpoint()
        self.heartbeat_addresses.append(address)

    async def call(self, vm, kind, payload):
        await trio.lowlevel.checkpoint()
        return {'vm_list': self.vm_list}


class FakePlatform:
    def __init__(self, *lists: VmList) -> None:
        self.lists = list(lists)

    async def vms(self):
        await trio.lowlevel.checkpoint()
        if not self.lists:
            raise EelgrassError('platform_unavailable', 'down')
        return self.lists.pop(0)


def run(test, platform, peers, received_heartbeats=()):
    async def main():
        membership = Membership(
            heartbeat('vm-own'), platform, MembershipSettings(seeds=('s:1',))
        )
        async with trio.open_nursery() as nursery:
            await membership.start(nursery, peers)
            for received_heartbeat in received_heartbeats:
                membership.record_heartbeat(
                    received_heartbeat, trio.current_time()
                )
            await trio.sleep(2.5)
            result = test(membership)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


class MembershipTests(testtools.TestCase):
    def test_older_list_is_never_applied(self):
        newer = VmList(5, (router('vm-own'), router('vm-a')))
        older = VmList(4, (router('vm-own'),))
        platform = FakePlatform(newer, older, older)
        found = run(
            lambda members: (members.vm_lists.newest, members.listed_at),
            platform,
            FakePeers(newer),
        )
        self.assertEqual((newer, 5), found)

    def test_list_is_fetched_from_a_peer_while_the_platform_is_down(self):
        known = VmList(7, (router('vm-own'), router('vm-a')))
        peers = FakePeers(known)
        found = run(
            lambda members: members.vm_lists.newest,
            FakePlatform(),
            peers,
            [heartbeat('vm-a', revision=7)],
        )
        self.assertEqual(known, found)
        self.assertIn('s:1', peers.heartbeat_addresses)
        self.assertIn('vm-a:1', peers.heartbeat_addresses)

    def test_silent_peer_is_suspect_but_not_dead(self):
        vm_list = VmList(1, (router('vm-own'), router('vm-a')))

        def inspect(members):
            members.record_heartbeat(heartbeat('vm-a'), trio.current_time() - 4)
            peer = members.peers()[0]
            return peer.suspect, peer.heard_s_ago, members.is_dead('vm-a.1')

        found = run(inspect, FakePlatform(vm_list), FakePeers(vm_list))
        self.assertEqual((True, 4, False), found)
