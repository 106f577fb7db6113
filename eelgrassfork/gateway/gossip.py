"""
eelgrassfork.gateway.gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Heartbeats between routers by UDP.
"""

import socket
import time
from collections.abc import Callable
from functools import partial
from statistics import median_low
from typing import Final, Protocol

import logbook
import msgspec
import trio

from ..supervision import keep_running
from .heartbeats import Heartbeat
from .peers import Peer
from .roster import NodeIdentity, Roster
from .standby import FleetTime

__all__ = (
    'Datagrams',
    'Gossip',
    'OpenSocket',
    'describe_peers',
    'open_udp',
    'unix_ms',
)

_log = logbook.Logger('gossip')

_INTERVAL_S: Final = 0.25
_DATAGRAM_BYTES: Final = 8192
# A turn of a busy event loop is longer than the pause between heartbeats, so
# that all that wait are taken in one; a few seconds of them.
_MOST_AT_ONCE: Final = 64
_MS_PER_S: Final = 1000
_NS_PER_MS: Final = 1_000_000


class Datagrams(Protocol):
    """A socket for datagrams."""

    def send(self, body: bytes, address: tuple[str, int]) -> None:
        """
        Send a datagram, or drop it if it would have to wait.

        :raises OSError: if it can't leave.
        """

    async def receive(self) -> list[bytes]:
        """
        Wait for datagrams.

        :returns: all that have come.
        :raises OSError: if none can be had.
        :raises trio.ClosedResourceError: once the socket is closed.
        """

    def close(self) -> None:
        """Close the socket."""


OpenSocket = Callable[[str, int], Datagrams]


class _UdpSocket:
    def __init__(self, opened: socket.socket) -> None:
        self._socket = opened

    def send(self, body: bytes, address: tuple[str, int]) -> None:
        self._socket.sendto(body, address)

    async def receive(self) -> list[bytes]:
        await trio.lowlevel.wait_readable(self._socket)
        bodies: list[bytes] = []
        while len(bodies) < _MOST_AT_ONCE:
            try:
                body = self._socket.recv(_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            bodies.append(body)
        return bodies

    def close(self) -> None:
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()


def open_udp(ip: str, port: int) -> Datagrams:
    """
    Bind a UDP socket.

    :param ip: own address.
    :param port: own port.
    :returns: the socket.
    :raises OSError: if the address can't be bound.
    """
    opened = socket.socket(type=socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((ip, port))
    return _UdpSocket(opened)


class Gossip:
    """
    Sends and takes heartbeats.

    :param own: where this router runs.
    :param port: UDP port, the same on every VM.
    :param describe: makes this router's heartbeat, without what is known of
        others.
    :param on_heartbeat: told of each one that comes.
    :param open_socket: opens the socket.
    :ivar roster: the routers that are known.
    """

    def __init__(
        self,
        own: NodeIdentity,
        port: int,
        describe: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        open_socket: OpenSocket = open_udp,
    ) -> None:
        self._open_socket = open_socket
        self._ip = own.ip
        self._port = port
        self._on_heartbeat = on_heartbeat
        self.roster = Roster(own, describe)
        self._seed_ips: tuple[str, ...] = ()
        self._socket: Datagrams | None = None
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)
        self._now = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Bind the socket, and send and receive in the background.

        :param nursery: where the tasks run.
        """
        opened = self._open_socket(self._ip, self._port)
        self._socket = opened
        for name, work in (
            ('take heartbeats', partial(self._receive, opened)),
            ('send heartbeats', partial(self._send, opened)),
        ):
            nursery.start_soon(keep_running, name, work)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def add_seeds(self, ips: tuple[str, ...]) -> None:
        """
        Name VMs that may run routers.

        :param ips: IP addresses.
        """
        known = set(self._seed_ips) | set(ips)
        self._seed_ips = tuple(sorted(known - {self._ip}))

    def send_now(self) -> None:
        """Send the next heartbeat now."""
        self._now.set()

    def fleet_time(self) -> FleetTime:
        """
        Compute the median of the routers' clocks.

        :returns: fleet time now.
        """
        now_s = trio.current_time()
        clocks = [unix_ms()]
        for peer in self.roster.peers.with_recent_heartbeat():
            if peer.heartbeat is not None:
                age_s = now_s - peer.spoke_at
                clocks.append(peer.heartbeat.unix_ms + int(age_s * _MS_PER_S))
        return FleetTime(median_low(clocks), len(clocks))

    async def _send(self, opened: Datagrams) -> None:
        while True:
            targets = self.roster.targets(self._seed_ips)
            for failure_domain, ips in targets.items():
                if ips:
                    body = _encode(self.roster.heartbeat(failure_domain, False))
                for ip in ips:
                    _send_to(opened, (ip, self._port), body)
            with trio.move_on_after(_INTERVAL_S):
                await self._now.wait()
            self._now = trio.Event()

    def _introduce(self, opened: Datagrams, heartbeat: Heartbeat) -> None:
        answer = self.roster.heartbeat(heartbeat.failure_domain, is_new=True)
        # Two new routers must not answer each other without end.
        body = _encode(answer._replace(is_new=False))
        _send_to(opened, (heartbeat.ip, self._port), body)

    async def _receive(self, opened: Datagrams) -> None:
        while True:
            try:
                bodies = await opened.receive()
            except trio.ClosedResourceError:
                return
            except OSError as error:
                _log.debug('no heartbeat came', extra={'why': str(error)})
                await trio.sleep(_INTERVAL_S)
                continue
            for body in bodies:
                heartbeat = self._take(body)
                if heartbeat is not None and heartbeat.is_new:
                    self._introduce(opened, heartbeat)

    def _take(self, body: bytes) -> Heartbeat | None:
        try:
            heartbeat = self._decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _log.warning('dropped a bad heartbeat', extra={'why': str(error)})
            return None
        if not self.roster.take(heartbeat):
            return None
        self._on_heartbeat(heartbeat)
        return heartbeat


def _encode(heartbeat: Heartbeat) -> bytes:
    return msgspec.msgpack.encode(heartbeat._replace(unix_ms=unix_ms()))


def _send_to(opened: Datagrams, address: tuple[str, int], body: bytes) -> None:
    try:
        opened.send(body, address)
    except OSError as error:
        _log.debug(
            'no heartbeat left', extra={'to': address[0], 'why': str(error)}
        )


def describe_peers(peers: list[Peer]) -> list[dict[str, object]]:
    """
    Describe peers for operators.

    :param peers: the peers.
    :returns: one record a peer.
    """
    now_s = trio.current_time()
    return [
        {
            'node': peer.node,
            'ip': peer.ip,
            'incarnation': peer.incarnation,
            'heard_s_ago': round(now_s - peer.heard_at, 1),
        }
        for peer in peers
    ]


def unix_ms() -> int:
    """
    Read the clock of this VM.

    :returns: Unix time in milliseconds.
    """
    return time.time_ns() // _NS_PER_MS
