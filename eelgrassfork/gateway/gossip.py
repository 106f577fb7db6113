"""
eelgrassfork.gateway.gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Exchanges heartbeats between routers over UDP.
"""

import itertools
import socket
import time
from collections.abc import Callable, Iterable
from functools import partial
from statistics import median_low
from typing import Final, Protocol

import logbook
import msgspec
import trio

from ..supervision import keep_running
from .fleet_reports import FleetReports
from .heartbeats import FleetReport, Heartbeat
from .peers import Peer
from .roster import NodeIdentity, Roster
from .standby import FleetTime

__all__ = (
    'DatagramSocket',
    'Gossip',
    'OpenSocket',
    'describe_peers',
    'open_udp',
    'unix_ms',
)

_log = logbook.Logger('gossip')

_INTERVAL_S: Final = 0.25
# Bounds the reports that are sent at once, when many servers end together.
_MIN_REPORT_INTERVAL_S: Final = 0.05
_DATAGRAM_BYTES: Final = 8192
# Maximum number of datagrams read at once, a few seconds of heartbeats.  An
# iteration of a busy event loop takes longer than the interval between
# heartbeats, so each one reads all pending datagrams.
_MAX_BATCH_SIZE: Final = 64
_MS_PER_S: Final = 1000
_NS_PER_MS: Final = 1_000_000


class DatagramSocket(Protocol):
    """Datagram socket."""

    def send(self, body: bytes, address: tuple[str, int]) -> None:
        """
        Send a datagram, or drop it if sending would block.

        :raises OSError: if the datagram can't be sent.
        """

    async def receive(self) -> list[bytes]:
        """
        Wait for datagrams.

        :returns: the pending datagrams.
        :raises OSError: if the socket fails.
        :raises trio.ClosedResourceError: once the socket is closed.
        """

    def close(self) -> None:
        """Close the socket."""


OpenSocket = Callable[[str, int], DatagramSocket]


class _UdpSocket:
    def __init__(self, opened: socket.socket) -> None:
        self._socket = opened

    def send(self, body: bytes, address: tuple[str, int]) -> None:
        self._socket.sendto(body, address)

    async def receive(self) -> list[bytes]:
        await trio.lowlevel.wait_readable(self._socket)
        bodies: list[bytes] = []
        while len(bodies) < _MAX_BATCH_SIZE:
            try:
                body = self._socket.recv(_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            bodies.append(body)
        return bodies

    def close(self) -> None:
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()


def open_udp(ip: str, port: int) -> DatagramSocket:
    """
    Bind a UDP socket.

    :param ip: local IP address.
    :param port: local port.
    :returns: the socket.
    :raises OSError: if the address can't be bound.
    """
    opened = socket.socket(type=socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((ip, port))
    return _UdpSocket(opened)


class Gossip:
    """
    Sends and receives heartbeats.

    :param own: VM of this router.
    :param port: UDP port, the same on every VM.
    :param make_own_heartbeat: creates a heartbeat with the state of this
        router only.
    :param on_heartbeat: called with each received heartbeat that is not stale.
    :param open_socket: opens the socket.
    :ivar roster: known routers.
    :ivar reports: sent beside heartbeats.
    """

    def __init__(
        self,
        own: NodeIdentity,
        port: int,
        make_own_heartbeat: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        open_socket: OpenSocket = open_udp,
    ) -> None:
        self._open_socket = open_socket
        self._ip = own.ip
        self._port = port
        self._on_heartbeat = on_heartbeat
        self.roster = Roster(own, make_own_heartbeat)
        self._seed_ips: tuple[str, ...] = ()
        self._socket: DatagramSocket | None = None
        self.reports = FleetReports(own.node)
        self._decoder = msgspec.msgpack.Decoder(Heartbeat | FleetReport)
        self._send_requested = trio.Event()
        self._report_requested = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Bind the socket and start the background tasks.

        :param nursery: where the tasks run.
        """
        opened = self._open_socket(self._ip, self._port)
        self._socket = opened
        for name, work in (
            ('receive heartbeats', partial(self._receive, opened)),
            ('send heartbeats', partial(self._send, opened)),
            ('send reports', partial(self._send_reports, opened)),
        ):
            nursery.start_soon(keep_running, name, work)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def add_seeds(self, ips: tuple[str, ...]) -> None:
        """
        Add VMs that may run routers.

        :param ips: IP addresses.
        """
        known = set(self._seed_ips) | set(ips)
        self._seed_ips = tuple(sorted(known - {self._ip}))
        self.roster.min_routers = 1 + len(self._seed_ips)

    def send_now(self) -> None:
        """Send the next heartbeat without waiting for the interval."""
        self._send_requested.set()

    def report_now(self) -> None:
        """Send a report to the next recipients without a heartbeat."""
        self._report_requested.set()

    def send_report(self, ips: Iterable[str], body: bytes) -> None:
        """
        Send a report to some routers.

        :param ips: IP addresses of the routers.
        :param body: encoded report; dropped before the start.
        """
        if self._socket is not None:
            for ip in ips:
                _send_to(self._socket, (ip, self._port), body)

    def fleet_time(self) -> FleetTime:
        """
        Compute the current median of the routers' clocks.

        :returns: the median and the number of clocks.
        """
        now_s = trio.current_time()
        clocks = [unix_ms()]
        for peer in self.roster.peers.with_recent_heartbeat():
            if peer.heartbeat is not None:
                age_s = now_s - peer.heartbeat_at
                clocks.append(peer.heartbeat.unix_ms + int(age_s * _MS_PER_S))
        return FleetTime(median_low(clocks), len(clocks))

    async def _send(self, opened: DatagramSocket) -> None:
        while True:
            targets = self.roster.choose_targets(self._seed_ips)
            reports = self.reports.encode()
            for failure_domain, ips in targets.items():
                if ips:
                    body = _encode(
                        self.roster.make_heartbeat(failure_domain, False)
                    )
                for ip in ips:
                    self._send_all(opened, ip, (body, *reports))
            with trio.move_on_after(_INTERVAL_S):
                await self._send_requested.wait()
            self._send_requested = trio.Event()

    async def _send_reports(self, opened: DatagramSocket) -> None:
        while True:
            await self._report_requested.wait()
            self._report_requested = trio.Event()
            targets = self.roster.choose_targets(self._seed_ips)
            reports = self.reports.encode()
            for ip in itertools.chain.from_iterable(targets.values()):
                self._send_all(opened, ip, reports)
            await trio.sleep(_MIN_REPORT_INTERVAL_S)

    def _reply_to_joining(
        self, opened: DatagramSocket, heartbeat: Heartbeat
    ) -> None:
        reply = self.roster.make_heartbeat(
            heartbeat.failure_domain, is_joining=True
        )
        # Two joining routers must not reply to each other endlessly.
        body = _encode(reply._replace(is_joining=False))
        self._send_all(opened, heartbeat.ip, (body, *self.reports.encode()))

    def _send_all(
        self, opened: DatagramSocket, ip: str, bodies: tuple[bytes, ...]
    ) -> None:
        for body in bodies:
            _send_to(opened, (ip, self._port), body)

    async def _receive(self, opened: DatagramSocket) -> None:
        while True:
            try:
                bodies = await opened.receive()
            except trio.ClosedResourceError:
                return
            except OSError as error:
                _log.debug(
                    'failed to receive heartbeats', extra={'why': str(error)}
                )
                await trio.sleep(_INTERVAL_S)
                continue
            for body in bodies:
                heartbeat = self._handle_datagram(body)
                if heartbeat is not None and heartbeat.is_joining:
                    self._reply_to_joining(opened, heartbeat)

    def _handle_datagram(self, body: bytes) -> Heartbeat | None:
        try:
            message = self._decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _log.warning('dropped invalid heartbeat', extra={'why': str(error)})
            return None
        if not isinstance(message, Heartbeat):
            self.reports.apply(message)
            return None
        if not self.roster.apply_heartbeat(message):
            return None
        self._on_heartbeat(message)
        return message


def _encode(heartbeat: Heartbeat) -> bytes:
    return msgspec.msgpack.encode(heartbeat._replace(unix_ms=unix_ms()))


def _send_to(
    opened: DatagramSocket, address: tuple[str, int], body: bytes
) -> None:
    try:
        opened.send(body, address)
    except OSError as error:
        _log.debug(
            'failed to send heartbeat',
            extra={'to': address[0], 'why': str(error)},
        )


def describe_peers(peers: list[Peer]) -> list[dict[str, object]]:
    """
    Describe peers for the operators' status dump.

    :param peers: peers to describe.
    :returns: one record per peer.
    """
    now_s = trio.current_time()
    return [
        {
            'node': peer.node,
            'ip': peer.ip,
            'incarnation': peer.incarnation,
            'heard_s_ago': round(now_s - peer.last_seen_at, 1),
        }
        for peer in peers
    ]


def unix_ms() -> int:
    """
    Read the clock of this VM.

    :returns: Unix time in milliseconds.
    """
    return time.time_ns() // _NS_PER_MS
