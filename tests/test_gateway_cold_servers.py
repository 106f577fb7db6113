"""
tests.test_gateway_cold_servers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against fleets that send a cold server more requests than it can handle.
"""

import msgspec
import testtools
import trio

from eelgrassfork.gateway.cold_servers import (
    ColdState,
    after_implication,
    after_report,
    cold_rate,
    cold_until,
)
from eelgrassfork.gateway.heartbeats import LimitNotice
from eelgrassfork.gateway.limit_table import LimitTable
from eelgrassfork.gateway.records import NamedLimit, ServerEntry, Service
from eelgrassfork.gateway.servers import ServerSet
from eelgrassfork.platform.config_decoder import decode_configuration
from eelgrassfork.platform.server_entries import decode_entry

from .fault_schedule import run_seeded
from .gateway_world import configuration
from .mock_clock import run
from .simulated_callers import SERVICE, BackendServer, Callers
from .simulated_fleet import Shape, simulate
from .test_gateway_follower import ENTRY as WIRE_ENTRY

PER_S = 11
START_S = 5
# The users' rule: the requests in one second, beyond those that are allowed.
ALLOWED = PER_S * 1.5 + 5
HEARTBEAT_S = 1.2
# So many requests are in progress that the other servers cost as much.
LATENCY_S = 0.4
SHAPE = Shape(domains=3, size=3, evacuation_s=5)
PLAIN = Service(SERVICE, '/', 50, None, PER_S, START_S)
ENTRY = ServerEntry('s1', SERVICE, '10.0.0.1:80', 'd0', 6, 100, 5)


class ColdServer(BackendServer):
    """
    Backend server that writes its entry again and again.

    :ivar cold_until: end of its cold time.
    """

    cold_until = 0

    async def publish(self, fleet):
        sequence = 10
        while True:
            cold_s = max(0, self.cold_until - trio.current_time())
            sequence += 1
            fleet.put_server(
                self.name,
                address=self.address,
                zone=self.domain,
                slots=20,
                sequence=sequence,
                coldRemainingMs=cold_s * 1000,
            )
            await trio.sleep(HEARTBEAT_S)

    def most_per_s(self, start_at, end_at):
        """Count the requests in the worst second of a time."""
        times = [
            arrival.at
            for arrival in self.arrivals
            if start_at <= arrival.at < end_at
        ]
        return max(
            (sum(at <= other < at + 1 for other in times) for at in times),
            default=0,
        )


async def start_servers(fleet, count, per_router_s=35):
    """Start servers of which none is cold, and many requests."""
    service = {
        'name': SERVICE,
        'maxConnections': 0,
        'coldPerS': PER_S,
        'coldStartS': START_S,
    }
    fleet.put_version(2, services=[service])
    servers = [
        ColdServer(
            f'b{number}', f'10.200.0.{number}:80', f'd{number % 3}', LATENCY_S
        )
        for number in range(count)
    ]
    callers = Callers(fleet, servers)
    for server in servers:
        fleet.nursery.start_soon(server.publish, fleet)
    await callers.start(per_router_s)
    await trio.sleep(4)
    return servers, callers


async def add_cold_server(fleet, servers, callers):
    """Start another server, which is cold."""
    server = ColdServer('b9', '10.200.0.99:80', 'd0', LATENCY_S)
    server.cold_until = trio.current_time() + START_S
    callers.servers_by_address[server.address] = server
    servers.append(server)
    fleet.nursery.start_soon(server.publish, fleet)
    return server


def play(scenario, seed=1, shape=SHAPE):
    outcomes = []

    async def keep_outcome(fleet):
        outcomes.append(await scenario(fleet))

    run_seeded(lambda: simulate(shape, seed, keep_outcome), seed)
    return outcomes[0]


async def with_fault(fleet, fault):
    """Start a cold server during a fault; return its worst second."""
    servers, callers = await start_servers(fleet, 3)
    server = await add_cold_server(fleet, servers, callers)
    start_at = trio.current_time()
    fleet.nursery.start_soon(fault, fleet)
    await trio.sleep(START_S)
    return server.most_per_s(start_at, server.cold_until)


async def cut_domain(fleet):
    await trio.sleep(2)
    fleet.cut_domains.add('d0')


async def restart_routers(fleet):
    for router in fleet.routers[::5]:
        await trio.sleep(1)
        router.kill()
        await router.start()


async def lose_store(fleet):
    await trio.sleep(1)
    fleet.store_down = 'refuse'


class FleetTests(testtools.TestCase):
    def test_new_server_is_used_up_to_its_limit_and_freely_afterwards(self):
        async def scenario(fleet):
            servers, callers = await start_servers(fleet, 3)
            server = await add_cold_server(fleet, servers, callers)
            start_at = trio.current_time()
            await trio.sleep(START_S + 3)
            end_at = server.cold_until
            return (
                server.most_per_s(start_at, end_at),
                server.count(start_at + 1, START_S - 1) / (START_S - 1),
                server.count(end_at + 1, 2) / 2,
                callers.refusals,
            )

        most, cold, warm, refusals = play(scenario)
        self.assertLessEqual(most, ALLOWED)
        self.assertGreater(cold, 0.5 * PER_S)
        self.assertGreater(warm, 3 * PER_S)
        self.assertEqual([], refusals)

    def test_cold_server_is_spared_under_faults(self):
        for fault in (cut_domain, restart_routers, lose_store):
            most = play(lambda fleet, fault=fault: with_fault(fleet, fault))
            self.assertLessEqual(most, ALLOWED, fault.__name__)

    def test_all_servers_of_a_domain_are_cold_after_its_evacuation(self):
        async def scenario(fleet):
            servers, _ = await start_servers(fleet, 6)
            fleet.store.put('evacuations', 'd0', {})
            await trio.sleep(6)
            start_at = trio.current_time()
            for server in servers[::3]:
                server.cold_until = start_at + START_S
            fleet.store.remove('evacuations', 'd0')
            await trio.sleep(START_S)
            return [
                server.most_per_s(start_at, start_at + START_S)
                for server in servers[::3]
            ]

        for most in play(scenario):
            self.assertLessEqual(most, ALLOWED)
            self.assertGreater(most, 0)

    def test_service_with_cold_servers_only_refuses_what_they_cannot_take(self):
        async def scenario(fleet):
            servers, callers = await start_servers(fleet, 3)
            start_at = trio.current_time()
            for server in servers:
                server.cold_until = start_at + START_S
            await trio.sleep(2)
            callers.refusals.clear()
            await trio.sleep(START_S - 3)
            most = [
                server.most_per_s(start_at + 2, start_at + START_S - 1)
                for server in servers
            ]
            return most, {error.outcome for error in callers.refusals}

        most, outcomes = play(scenario)
        self.assertLessEqual(max(most), ALLOWED)
        self.assertEqual({'not_run'}, outcomes)


class DecisionTests(testtools.TestCase):
    def test_report_is_bounded_and_later_ones_replace_it(self):
        state = after_report(ColdState(), 3600, 10)
        self.assertEqual(10 + 2 * START_S, cold_until(state, START_S))
        state = after_report(state, 0, 11)
        self.assertIsNone(cold_rate(state, PLAIN, 11))
        self.assertEqual(state, after_report(state, None, 12))

    def test_report_from_before_an_event_does_not_end_the_cold_time(self):
        state = after_implication(ColdState(), 10)
        late = after_report(state, 0, 10.5)
        self.assertEqual(PER_S, cold_rate(late, PLAIN, 12))
        self.assertIsNone(cold_rate(late, PLAIN, 10 + START_S))
        self.assertIsNone(cold_rate(after_report(late, 0, 12), PLAIN, 12))

    def test_service_without_a_bound_has_no_limit(self):
        state = after_report(ColdState(), 5, 0)
        for service in (None, PLAIN._replace(cold_per_s=0)):
            self.assertIsNone(cold_rate(state, service, 1))


class EntryTests(testtools.TestCase):
    def test_invalid_cold_time_does_not_hide_the_server(self):
        for text in ('-5', '1e12', '"x"', 'null', 'NaN', '[]'):
            content = msgspec.json.encode(
                {**WIRE_ENTRY, 'coldRemainingMs': msgspec.Raw(text.encode())}
            )
            entry = decode_entry('s1', content)
            if text == 'NaN':
                self.assertIsNone(entry, 'not JSON')
            else:
                self.assertIsNone(entry.cold_s, text)

    def test_restarted_server_is_cold_until_its_second_report(self):
        async def main():
            servers = ServerSet()
            found = []
            for entry, pause_s in (
                (ENTRY, 0),
                (ENTRY._replace(incarnation=200), 2),
                (ENTRY._replace(incarnation=200, sequence=6), 0),
            ):
                servers.apply_entry(entry)
                state = servers.find('s1').cold
                found.append(cold_rate(state, PLAIN, trio.current_time()))
                await trio.sleep(pause_s)
            return found

        self.assertEqual([None, PER_S, None], run(main))

    def test_configuration_names_the_bounds(self):
        service = {'name': 'svc', 'coldPerS': 11.5, 'coldStartS': 20}
        content = msgspec.json.encode(
            configuration(services=[service, {'name': 'other'}])
        )
        services = decode_configuration(content).services_by_name
        self.assertEqual((11.5, 20), services['svc'][-2:])
        self.assertEqual((0, 0), services['other'][-2:])


class LimitTests(testtools.TestCase):
    def rates(self, named, cold, asked=None, version=0):
        """Return the limit of a router, and the one that a keeper grants."""

        async def main():
            table = LimitTable(lambda: None, lambda server_id: True)
            table.cold_rate_of = lambda server_id: cold
            if named is not None:
                table.observe(ENTRY, NamedLimit(named), trio.current_time())
            known = table.limit_of(ENTRY)
            notice = LimitNotice('s1', 100, version, asked, 0)
            return known and known.per_s, table.rate_of(notice)

        return run(main)

    def test_lower_one_of_two_limits_applies(self):
        self.assertEqual((4, 4), self.rates(4, PER_S))
        self.assertEqual((PER_S, PER_S), self.rates(40, PER_S))
        self.assertEqual((None, None), self.rates(None, None))

    def test_keeper_that_does_not_know_yet_grants_at_the_asked_rate(self):
        self.assertEqual((None, PER_S), self.rates(None, None, PER_S))
        self.assertEqual((4, 4), self.rates(4, None, PER_S))

    def test_invalid_rate_of_a_peer_is_ignored(self):
        for asked in (float('nan'), float('inf'), -1.0):
            self.assertEqual((4, 4), self.rates(4, None, asked))
