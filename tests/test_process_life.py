"""
tests.test_process_life
~~~~~~~~~~~~~~~~~~~~~~~

Guards against processes that a signal ends early, at any time between their
first import and their exit.
"""

import fcntl
import json
import os
import signal
import socket
import tempfile

import testtools
import trio

from demo.processes import free_ports
from eelgrassfork.http_client import ClientRequest, HttpClient
from eelgrassfork.process_signals import ACTIONS_BY_SIGNAL
from standins.metadata_store import StoreFaults

from .process_faults import run_cases, signalled_while_draining
from .router_process import (
    GRACE_S,
    STREAM_TIMEOUTS,
    ProcessWorld,
    Program,
    RouterProcess,
    Streams,
    run_processes,
)
from .signal_series import OTHER_SIGNALS, STOP_SIGNALS, play_seeds
from .test_settings import VALID as VALID_SETTINGS

STREAMS = 10
# All streams have begun, and the load balancer still sends requests.
SIGNAL_AFTER_S = 0.5
SERIES_INTERVAL_S = 0.05
SEEDS = 24
# None: nothing listens at the address of the store.
STORE_FAULTS = (
    None,
    StoreFaults(refuse=503),
    StoreFaults(silent=True),
    StoreFaults(lose=100),
    StoreFaults(torn=True),
)


async def send_series(program, numbers):
    for number in numbers:
        program.signal(number)
        await trio.sleep(SERIES_INTERVAL_S)


async def flood(program, numbers):
    """Send signals until the process is gone."""
    while program.popen.poll() is None:
        for number in numbers:
            program.signal(number)
        await trio.sleep(0.001)


async def play_with_streams(world, disturb, stdout=None):
    """
    Start a router, read streams through it and disturb it meanwhile.

    :param disturb: called with the router once the streams have begun; has to
        make it stop.
    :param stdout: file descriptor of its log; by default a file.
    :returns: exit code, IDs of incomplete streams and log messages.
    """
    router = RouterProcess(world.store.address, stdout)
    try:
        await router.wait_ready()
        streams = Streams(router.caller_address)
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(streams.read, f'{number:016x}')
            await trio.sleep(SIGNAL_AFTER_S)
            await disturb(router)
            code = await router.program.wait_exit()
        return code, streams.incomplete(), router.program.messages()
    finally:
        router.close()


class RouterLifeTests(testtools.TestCase):
    def assert_drained(self, outcome):
        code, incomplete, messages = outcome
        last = '\n'.join(messages[-20:])
        self.assertEqual([], incomplete, last)
        self.assertEqual(0, code, last)
        self.assertTrue('node: stopped' in messages, last)

    def test_reload_signal_in_a_drain_cuts_no_stream(self):
        """SIGHUP had its default action while a router was draining."""

        async def disturb(router):
            router.program.signal(signal.SIGTERM)
            await trio.sleep(1)
            router.path.write_text(router.settings)
            router.program.signal(signal.SIGHUP)

        async def scenario(world):
            return await play_with_streams(world, disturb)

        self.assert_drained(run_processes(scenario))

    def test_each_signal_in_service_and_in_the_drain_cuts_no_stream(self):
        """Signals without a handler end a process by default."""

        def disturb_with(stop_number):
            async def disturb(router):
                await send_series(router.program, OTHER_SIGNALS)
                router.program.signal(stop_number)
                await send_series(
                    router.program, [*ACTIONS_BY_SIGNAL, *ACTIONS_BY_SIGNAL]
                )

            return disturb

        outcomes = []

        async def scenario(world):
            async def play(number):
                outcomes.append(
                    await play_with_streams(world, disturb_with(number))
                )

            async with trio.open_nursery() as nursery:
                for number in STOP_SIGNALS:
                    nursery.start_soon(play, number)

        run_processes(scenario)
        self.assertEqual(len(STOP_SIGNALS), len(outcomes))
        for outcome in outcomes:
            self.assert_drained(outcome)

    def test_signals_until_the_process_is_gone_keep_the_exit_code(self):
        """The interpreter restores default actions before it exits."""

        async def disturb(router):
            router.program.signal(signal.SIGTERM)
            await flood(router.program, list(ACTIONS_BY_SIGNAL))

        async def scenario(world):
            return await play_with_streams(world, disturb)

        self.assert_drained(run_processes(scenario))

    def test_shorter_grace_time_after_the_stop_has_no_effect(self):
        """A reload beside the stop signal cut the streams at once."""

        async def disturb(router):
            text = router.settings.replace(f'graceS={GRACE_S}', 'graceS=1')
            router.program.signal(signal.SIGSTOP)
            router.path.write_text(text)
            router.program.signal(signal.SIGTERM)
            router.program.signal(signal.SIGHUP)
            router.program.signal(signal.SIGCONT)
            await trio.sleep(0)

        async def scenario(world):
            return await play_with_streams(world, disturb)

        self.assert_drained(run_processes(scenario))

    def test_stop_while_the_store_is_away_is_complete(self):
        """A failed return of credit ended the process with a traceback."""
        outcomes = []

        async def play(faults):
            async def disturb(router):
                if faults is None:
                    await world.store.close()
                else:
                    world.store.faults = faults
                router.program.signal(signal.SIGTERM)
                await send_series(router.program, ACTIONS_BY_SIGNAL)

            world = ProcessWorld()
            async with trio.open_nursery() as nursery:
                await world.start(nursery)
                outcomes.append(await play_with_streams(world, disturb))
                nursery.cancel_scope.cancel()

        async def scenario(_):
            async with trio.open_nursery() as nursery:
                for faults in STORE_FAULTS:
                    nursery.start_soon(play, faults)

        run_processes(scenario)
        self.assertEqual(len(STORE_FAULTS), len(outcomes))
        for outcome in outcomes:
            self.assert_drained(outcome)

    def test_stop_without_a_reader_of_the_log_is_complete(self):
        """A pipe that is full, or has no reader, must not end or delay it."""
        for has_reader in (True, False):
            reader, writer = os.pipe()
            fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
            if not has_reader:
                os.close(reader)

            async def disturb(router):
                router.program.signal(signal.SIGTERM)
                await send_series(router.program, ACTIONS_BY_SIGNAL)

            async def scenario(world):
                return await play_with_streams(world, disturb, writer)

            code, incomplete, _ = run_processes(scenario)
            os.close(writer)
            if has_reader:
                os.close(reader)
            self.assertEqual((0, []), (code, incomplete))

    def test_start_on_a_used_port_is_logged_with_its_cause(self):
        """A listener that failed ended the process with a bare traceback."""

        async def scenario(world):
            router = RouterProcess(world.store.address)
            host, _, port = router.caller_address.rpartition(':')
            try:
                with socket.create_server((host, int(port))):
                    code = await router.program.wait_exit()
                return code, router.program.log_lines()
            finally:
                router.close()

        code, lines = run_processes(scenario)
        self.assertEqual(1, code)
        self.assertIn('in use', lines[-1]['why'])

    def test_signals_during_the_imports_are_kept(self):
        """Handlers were installed after the imports, 0.3 s after the start."""

        async def scenario(world):
            router = RouterProcess(world.store.address)
            try:
                await router.program.wait_handlers()
                for number in OTHER_SIGNALS:
                    router.program.signal(number)
                await router.wait_ready()
                router.program.signal(signal.SIGTERM)
                code = await router.program.wait_exit()
                return code, router.program.log_lines()
            finally:
                router.close()

        code, lines = run_processes(scenario)
        self.assertEqual(0, code)
        answered = {
            line['signal']
            for line in lines
            if line['part'] == 'signals' and line['phase'] == 'starting'
        }
        self.assertEqual({number.name for number in OTHER_SIGNALS}, answered)

    def test_stop_during_the_imports_opens_no_listener(self):
        """A stop signal in the first 0.3 s ended the process by a signal."""

        async def scenario(world):
            outcomes = []
            for number in STOP_SIGNALS:
                router = RouterProcess(world.store.address)
                try:
                    await router.program.wait_handlers()
                    router.program.signal(number)
                    code = await router.program.wait_exit()
                    outcomes.append((code, router.program.messages()))
                finally:
                    router.close()
            return outcomes

        for code, messages in run_processes(scenario):
            self.assertEqual(0, code)
            self.assertNotIn('node: started', messages)
            self.assertIn(
                'daemon: stopped before the listeners were opened', messages
            )


class SignalSeriesTests(testtools.TestCase):
    def test_series_of_signals_over_the_whole_life(self):
        """Signals that come in series and overlap with changes of settings."""
        for outcome in play_seeds(range(SEEDS)):
            self.assertEqual((outcome.seed, []), outcome[:2])


class ProductRouterLifeTests(testtools.TestCase):
    """The daemon of the product's own interface."""

    def test_signals_in_a_drain_cut_no_stream(self):
        """SIGHUP always ended the daemon, and so did others."""
        (outcome,) = run_cases((signalled_while_draining,)).values()
        self.assertTrue(outcome.startswith('whole'), outcome)

    def test_signals_during_the_imports(self):
        """The daemon had no handlers until its event loop ran."""
        for number, expected in (
            (signal.SIGHUP, 'settings are only read at the start'),
            (signal.SIGTERM, 'stopped before the listeners were opened'),
        ):
            with tempfile.NamedTemporaryFile('w') as settings:
                json.dump(router_settings(), settings)
                settings.flush()
                trio.run(self.check_signal, settings.name, number, expected)

    async def check_signal(self, path, number, expected):
        program = Program(('eelgrassfork.routerd', path))
        try:
            await program.wait_handlers()
            program.signal(number)
            await program.wait_logged(expected)
            program.signal(signal.SIGTERM)
            self.assertEqual(0, await program.wait_exit())
        finally:
            program.close()


def router_settings():
    ports = free_ports(4)
    listeners = ('callers', 'peers', 'operators')
    return {
        **VALID_SETTINGS,
        **{
            name: {'host': '127.0.0.1', 'port': port}
            for name, port in zip(listeners, ports)
        },
        'platform': f'127.0.0.1:{ports[3]}',
        'drain_grace_ms': 100,
    }


class StandinLifeTests(testtools.TestCase):
    def test_signals_cut_no_answer_of_a_server(self):
        """Stand-ins of servers ended at any signal, in the middle of answers."""
        trio.run(self.check_standin)

    async def check_standin(self):
        program = Program(('standins', 'plain_service', '--work-ms', '2000'))
        client = HttpClient()
        outcomes = []

        async def ask(address):
            request = ClientRequest(address, 'POST', '/order', (), b'{}')
            answer, _ = await client.fetch(request, STREAM_TIMEOUTS)
            outcomes.append(answer.status)

        try:
            await program.wait_handlers()
            program.signal(signal.SIGHUP)
            await program.wait_logged('address')
            address = next(
                line['address']
                for line in program.log_lines()
                if 'address' in line
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, address)
                await trio.sleep(SIGNAL_AFTER_S)
                program.signal(signal.SIGTERM)
                await send_series(program, ACTIONS_BY_SIGNAL)
            await flood(program, list(ACTIONS_BY_SIGNAL))
            self.assertEqual([200], outcomes)
            self.assertEqual(0, await program.wait_exit())
        finally:
            program.close()
