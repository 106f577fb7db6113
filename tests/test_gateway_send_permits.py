"""
tests.test_gateway_send_permits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against permits from routers that are no keepers, and against peers and
limits that block a server for good.
"""

import msgspec
import testtools
import trio

from eelgrassfork.errors import EelgrassError, RequestError
from eelgrassfork.gateway.heartbeats import Heartbeat, LimitNotice
from eelgrassfork.gateway.limit_table import LimitTable
from eelgrassfork.gateway.permit_clock import Decision
from eelgrassfork.gateway.permit_keeper import (
    find_keeper,
    is_keeper,
    live_fraction,
)
from eelgrassfork.gateway.records import NamedLimit, ServerEntry
from eelgrassfork.gateway.roster import NodeIdentity, Roster
from eelgrassfork.gateway.send_permits import (
    PermitRequest,
    SendPermits,
    SendPermitsParts,
)

from .mock_clock import run

ENTRY = ServerEntry('s1', 'svc', '10.0.0.1:80', 'd1', 6, 100, 5)
OWN = NodeIdentity('n0', '10.0.0.9', 'd0')


def make_roster(*peers):
    """Create a settled roster from pairs of VM and failure domain."""
    heartbeat = Heartbeat('n0', '10.0.0.9', 1, 'd0')
    roster = Roster(OWN, lambda: heartbeat)
    for node, domain in peers:
        roster.apply_heartbeat(Heartbeat(node, f'10.1.0.{node}', 1, domain))
    return roster


class Peer:
    """Answer of a peer, or the failure of the call."""

    status = 200

    def __init__(self, decision):
        self.decision = decision
        self.calls = 0

    async def fetch(self, request, timeouts):
        await trio.lowlevel.checkpoint()
        self.calls += 1
        if self.decision is None:
            raise EelgrassError('connect_failed', 'refused')
        return self, msgspec.msgpack.encode(self.decision)


class Call:
    def __init__(self, request):
        self.body = request
        if not isinstance(request, bytes):
            self.body = msgspec.msgpack.encode(request)


class Setting:
    """Permits of one router whose server names a limit of 2 a second."""

    def __init__(self, peer=None, peers=(('n1', 'd1'),)):
        self.limits = LimitTable(lambda: None, lambda server_id: True)
        self.limits.observe(ENTRY, NamedLimit(2), trio.current_time())
        self.roster = make_roster(*peers)
        parts = SendPermitsParts(
            'n0', self.limits, self.roster, peer, '8748', float
        )
        self.permits = SendPermits(parts)

    async def serve(self, request):
        answer = await self.permits.serve(Call(request))
        return msgspec.msgpack.decode(answer, type=Decision)

    def request(self, per_s=2, domain='d1'):
        notice = LimitNotice('s1', 100, 1, per_s, 0)
        return PermitRequest('n1', domain, notice, 0)


class AskingTests(testtools.TestCase):
    def take(self, decision):
        async def main():
            setting = Setting(Peer(decision))
            taken = await setting.permits.take(ENTRY, 0)
            pause_s = setting.permits.pause_left_s([ENTRY])
            return taken, setting.permits.is_open(ENTRY, 0), round(pause_s, 3)

        return run(main)

    def test_granted_permit_leaves_the_server_open(self):
        self.assertEqual((True, True, 0), self.take(Decision(True, 0)))

    def test_refusal_closes_the_server_until_the_pause_ends(self):
        self.assertEqual((False, False, 1.5), self.take(Decision(False, 1.5)))

    def test_unreachable_keeper_refuses_for_a_short_time(self):
        self.assertEqual((False, False, 0.25), self.take(None))

    def test_unreachable_keeper_delays_a_request_once(self):
        async def main():
            peer = Peer(None)
            setting = Setting(peer)
            other = ENTRY._replace(id='s2')
            setting.limits.observe(other, NamedLimit(2), 0)
            for entry in (ENTRY, other):
                await setting.permits.take(entry, 0)
            calls = peer.calls
            await trio.sleep(0.3)
            await setting.permits.take(other, 0)
            return calls, peer.calls

        self.assertEqual((1, 2), run(main))

    def test_pause_of_any_length_is_bounded(self):
        for pause_s, bound_s in ((1e300, 30), (float('inf'), 30), (-5, 0)):
            outcome = self.take(Decision(False, pause_s))
            self.assertEqual(bound_s, outcome[2])

    def test_changed_limit_ends_a_pause(self):
        async def main():
            setting = Setting(Peer(Decision(False, 20)))
            await setting.permits.take(ENTRY, 0)
            await trio.sleep(1)
            now_s = trio.current_time()
            setting.limits.observe(ENTRY, NamedLimit(9), now_s)
            return setting.permits.is_open(ENTRY, 0)

        self.assertTrue(run(main))

    def test_end_of_the_cold_time_ends_a_pause(self):
        async def main():
            setting = Setting(Peer(Decision(False, 20)))
            setting.limits.cold_rate_of = lambda server_id: 1
            await setting.permits.take(ENTRY, 0)
            cold = setting.permits.is_open(ENTRY, 0)
            setting.limits.cold_rate_of = lambda server_id: None
            return cold, setting.permits.is_open(ENTRY, 0)

        self.assertEqual((False, True), run(main))

    def test_server_without_limit_needs_no_permit(self):
        async def main():
            peer = Peer(None)
            setting = Setting(peer)
            other = ENTRY._replace(id='s2')
            return await setting.permits.take(other, 0), peer.calls

        self.assertEqual((True, 0), run(main))


class ExpiryTests(testtools.TestCase):
    def test_nothing_is_kept_of_servers_and_keepers_of_the_past(self):
        async def main():
            setting = Setting(Peer(None))
            permits = setting.permits
            await permits.take(ENTRY, 0)
            await setting.serve(setting.request(domain='d0'))
            await trio.sleep(1)
            await setting.serve(setting.request(domain='d0'))
            now_s = trio.current_time()
            setting.limits.observe(ENTRY, NamedLimit(), now_s)
            permits.discard_expired()
            kept = permits._refusals_by_id, permits._skipped_until_by_node
            return kept, permits.dump()

        self.assertEqual((({}, {}), []), run(main))


class GrantingTests(testtools.TestCase):
    def test_only_the_elected_keeper_grants(self):
        async def main():
            setting = Setting()
            for _ in range(2):
                await setting.serve(setting.request(domain='d0'))
                await trio.sleep(1)
            return (
                await setting.serve(setting.request(domain='d0')),
                await setting.serve(setting.request(domain='d1')),
            )

        granted, refused = run(main)
        self.assertTrue(granted.granted)
        self.assertFalse(refused.granted)

    def test_router_that_has_just_started_grants_nothing(self):
        async def main():
            setting = Setting(peers=())
            await trio.sleep(9)
            return await setting.serve(setting.request(domain='d0'))

        self.assertFalse(run(main).granted)

    def test_zero_limit_lets_a_request_through_every_ten_seconds(self):
        async def main():
            setting = Setting(peers=(('n1', 'd0'),))
            request = setting.request(domain='d0')
            notice = request.notice._replace(per_s=0, version=7)
            granted = 0
            for _ in range(59):
                answer = await setting.serve(request._replace(notice=notice))
                granted += answer.granted
                await trio.sleep(1)
            return granted

        # The other router is silent, and half of the limit is left to it.
        self.assertTrue(2 <= run(main) <= 4)

    def test_unbounded_wait_reserves_no_distant_permit(self):
        async def main():
            setting = Setting(peers=(('n1', 'd0'),))
            request = setting.request(domain='d0')._replace(wait_s=1e300)
            await setting.serve(request)
            await trio.sleep(1)
            return [(await setting.serve(request)).granted for _ in range(9)]

        self.assertEqual({False}, set(run(main)))

    def test_keeper_learns_the_limit_from_the_request(self):
        async def main():
            setting = Setting()
            request = setting.request(per_s=1)
            notice = request.notice._replace(version=7)
            await setting.serve(request._replace(notice=notice))
            return setting.limits.limit_of(ENTRY).per_s

        self.assertEqual(1, run(main))

    def test_keeper_that_does_not_know_the_server_keeps_the_limit(self):
        async def main():
            setting = Setting(peers=(('n1', 'd0'),))
            request = setting.request(domain='d0')
            notice = request.notice._replace(server_id='unknown')
            setting.limits.merge = lambda *report: None
            request = request._replace(notice=notice)
            await setting.serve(request)
            await trio.sleep(1)
            return [(await setting.serve(request)).granted for _ in range(9)]

        self.assertEqual({False}, set(run(main)))

    def test_malformed_request_is_refused(self):
        async def main():
            setting = Setting()
            for body in (b'', b'\xc1', b'\x94\xa1x\xa1y\xa1z\xa1w'):
                try:
                    await setting.serve(body)
                except RequestError as error:
                    self.assertEqual('invalid_request', error.code)
                else:
                    self.fail(repr(body))

        run(main)


class KeeperTests(testtools.TestCase):
    def test_keeper_is_in_the_failure_domain_of_the_server(self):
        async def main():
            roster = make_roster(('n1', 'd1'), ('n2', 'd2'))
            return find_keeper(roster, 'd1').node, is_keeper(roster, 'd0')

        self.assertEqual(('n1', True), run(main))

    def test_domain_without_routers_has_one_keeper(self):
        async def main():
            nodes = (('n0', 'd0'), ('n1', 'd1'), ('n2', 'd2'))
            peer = find_keeper(make_roster(*nodes[1:]), 'd7')
            return 'n0' if peer is None else peer.node

        self.assertEqual(run(main), run(main))

    def test_cut_off_routers_use_their_fraction(self):
        async def main():
            roster = make_roster(('n1', 'd0'), ('n2', 'd1'), ('n3', 'd2'))
            before = live_fraction(roster)
            await trio.sleep(5)
            return before, live_fraction(roster)

        self.assertEqual((1, 0.25), run(main))

    def test_lone_router_leaves_room_for_routers_that_seeds_name(self):
        async def main():
            roster = make_roster()
            roster.min_routers = 3
            return live_fraction(roster)

        self.assertEqual(1 / 3, run(main))
