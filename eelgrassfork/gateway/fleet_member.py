"""
eelgrassfork.gateway.fleet_member
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The parts of a router that know the fleet, the store and the servers.
"""

from collections.abc import Callable
from typing import NamedTuple

import trio

from ..http_client import HttpClient
from ..supervision import keep_running
from .duty import WatchPolicy, WatchRole
from .follower import Decoders, StoreFollower, StoreView, WatchRoles
from .gossip import Gossip, OpenSocket, open_udp
from .heartbeats import Heartbeat
from .node_settings import Bounds, NodeSettings
from .peer_exchange import PeerExchange, should_pull
from .roster import Place
from .store import Store
from .store_contact import StoreContact

__all__ = ('FleetMember', 'MemberLinks', 'OwnState')


class OwnState(NamedTuple):
    """
    What heartbeats tell of this router beside its beliefs.

    :param draining: it is about to stop.
    :param free_by_organisation: credit that it could lend, in tokens.
    :param delay_ms: how far it is behind with its work.
    """

    draining: bool = False
    free_by_organisation: dict[str, int] = {}
    delay_ms: int = 0


class MemberLinks(NamedTuple):
    """
    What a member reaches others by.

    :param store: the platform's store.
    :param http: client for calls of peers.
    :param open_socket: opens the socket for heartbeats.
    """

    store: Store
    http: HttpClient
    open_socket: OpenSocket = open_udp


class FleetMember:
    """
    Wires heartbeats, beliefs, watches and the exchange with peers.

    :param settings: of this router.
    :param incarnation: of its process.
    :param links: what it reaches others by.
    :param decoders: how stored objects are understood.
    :ivar describe_self: what heartbeats tell of this router.
    :ivar on_change: told when something newer was taken over.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        links: MemberLinks,
        decoders: Decoders,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self.describe_self: Callable[[], OwnState] = OwnState
        self.on_change: Callable[[], None] = _ignore
        self.beliefs = StoreView(decoders, self._beliefs_changed)
        self.gossip = Gossip(
            Place(
                settings.node,
                settings.ip,
                settings.failure_domain,
                _link_class(settings.link_mbps),
            ),
            settings.first_internal_port,
            self._heartbeat,
            self._heard,
            links.open_socket,
        )
        self.roster = self.gossip.roster
        self.duties = WatchRoles(self._make_duty(), self._make_duty())
        self.exchange = PeerExchange(
            links.http, self.roster.peers, self.beliefs, settings
        )
        self.follower = StoreFollower(
            links.store, self.beliefs, decoders, self.duties
        )
        self.exchange.on_failure = self._volunteer
        self.exchange.reread = self.follower.reread

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Speak with peers and follow the store in the background.

        :param nursery: where the tasks run.
        :raises OSError: if the address for heartbeats can't be bound.
        """
        self.gossip.add_seeds(
            tuple(seed.rpartition(':')[0] for seed in self._settings.seeds)
        )
        await self.gossip.start(nursery)
        await self.follower.start(nursery)
        nursery.start_soon(
            keep_running, 'catch up with peers', self.exchange.run
        )

    def close(self) -> None:
        """Stop speaking with peers."""
        self.gossip.close()

    def _make_duty(self) -> WatchRole:
        settings = self._settings
        return WatchRole(
            settings.node,
            self.roster.fleet,
            StoreContact(settings.node, self._incarnation),
            _duty_policy(settings.bounds),
            settings.is_seed,
        )

    def _volunteer(self) -> None:
        for duty in self.duties:
            duty.watch_temporarily()

    def _heartbeat(self) -> Heartbeat:
        own = self.describe_self()
        return Heartbeat(
            self._settings.node,
            self._settings.ip,
            self._incarnation,
            self._settings.failure_domain,
            own.draining,
            self.beliefs.configuration.version,
            self.beliefs.records.digest,
            own.free_by_organisation,
            self.beliefs.records.newest,
            self.duties.configuration.contact.newest(),
            delay_ms=own.delay_ms,
            servers_read=self.duties.servers.contact.newest(),
            link_class=_link_class(self._settings.link_mbps),
        )

    def _heard(self, heartbeat: Heartbeat) -> None:
        # A reading only vouches for a router that knows what was read.
        records = self.beliefs.records
        if (
            heartbeat.configuration_version
            <= self.beliefs.configuration.version
        ):
            self.duties.configuration.contact.merge(
                heartbeat.configuration_read
            )
        if (heartbeat.servers_revision, heartbeat.servers_digest) == (
            records.newest,
            records.digest,
        ):
            self.duties.servers.contact.merge(heartbeat.servers_read)
        if should_pull(heartbeat, self.beliefs):
            self.exchange.schedule_pull()

    def _beliefs_changed(self) -> None:
        self.gossip.hasten()
        self.on_change()


def _link_class(link_mbps: float) -> int:
    return int(link_mbps).bit_length()


def _ignore() -> None:
    """Do nothing."""


def _duty_policy(bounds: Bounds) -> WatchPolicy:
    # A change is heard of within a renewal, and the silence of the store is
    # noticed with half of the bound left.
    return WatchPolicy(
        max_silence_s=bounds.config_s / 2,
        renewal_interval_s=bounds.config_s / 4,
    )
