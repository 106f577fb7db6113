"""
eelgrassfork.gateway.fleet_member
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Components of a router that track the fleet, the store and backend servers.
"""

from collections.abc import Callable
from typing import NamedTuple

import trio

from ..http_client import HttpClient
from ..supervision import keep_running
from .follower import Decoders, StoreFollower, StoreView, WatchRoles
from .gossip import Gossip, OpenSocket, open_udp
from .heartbeats import Heartbeat
from .ledger_announcer import LedgerAnnouncer
from .ledger_history import LedgerHistory
from .limit_table import LimitTable
from .node_settings import NodeSettings
from .part_quarantine import PartQuarantine
from .peer_exchange import PeerExchange, should_pull
from .quarantine_record import QuarantineRecord
from .roster import NodeIdentity
from .send_permits import SendPermits, SendPermitsParts
from .store import Store
from .store_contact import StoreContact
from .watch_role import WatchPolicy, WatchRole

__all__ = ('FleetMember', 'FleetMemberParts', 'RouterStatus')


class RouterStatus(NamedTuple):
    """
    State that heartbeats report beside the state read from the store.

    :param draining: whether the router is about to stop.
    :param free_by_organisation: credit available for lending, in tokens.
    :param delay_ms: mean event loop delay of the router.
    """

    draining: bool = False
    free_by_organisation: dict[str, int] = {}
    delay_ms: int = 0


class FleetMemberParts(NamedTuple):
    """
    Connections of a fleet member to other systems.

    :param store: client of the platform's store.
    :param http: HTTP client for requests to peers.
    :param open_socket: opens the UDP socket for heartbeats.
    """

    store: Store
    http: HttpClient
    open_socket: OpenSocket = open_udp


class FleetMember:
    """
    Connects gossip, local state, store watches and the exchange with peers.

    :param settings: of this router.
    :param incarnation: of its process.
    :param parts: connections to other systems.
    :param decoders: decoders of stored objects.
    :ivar get_status: returns the status that heartbeats report.
    :ivar on_change: called after the local state was updated.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        parts: FleetMemberParts,
        decoders: Decoders,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._era = parts.store.era
        self.get_status: Callable[[], RouterStatus] = RouterStatus
        self.on_change: Callable[[], None] = _do_nothing
        bounds = settings.bounds
        self.store_view = StoreView(
            decoders, self._on_store_view_change, bounds.evacuation_s
        )
        self._era.subscribe(self.store_view.servers.record_restore)
        self.gossip = Gossip(
            NodeIdentity(
                settings.node,
                settings.ip,
                settings.failure_domain,
                _link_class(settings.link_mbps),
            ),
            settings.first_internal_port,
            self._make_heartbeat,
            self._on_heartbeat,
            parts.open_socket,
        )
        self.roster = self.gossip.roster
        self.roles = WatchRoles(
            self._make_role(bounds.config_s),
            self._make_role(bounds.config_s),
        )
        self._evacuations_role = (
            None
            if bounds.evacuation_s is None
            else self._make_role(bounds.evacuation_s)
        )
        self.exchange = PeerExchange(
            parts.http, self.roster.peers, self.store_view, settings
        )
        self.follower = StoreFollower(
            parts.store,
            self.store_view,
            decoders,
            self.roles,
            self._evacuations_role,
        )
        self.exchange.on_failure = self._on_exchange_failure
        self.limits = LimitTable(
            self.gossip.send_now, self.store_view.servers.is_known
        )
        self.limits.cold_rate_of = self.store_view.cold_rate_of
        self.limits.limits_cold = self.store_view.limits_cold_servers
        self.limits.server_ids = self.store_view.ids_of_cold_services
        self.quarantine = PartQuarantine(
            self.store_view.servers.count, self.gossip.report_now
        )
        self._quarantine_record = QuarantineRecord(
            parts.store, self.quarantine, self.roster, settings.is_seed
        )
        reports = self.gossip.reports
        reports.get_limits = self.limits.notices
        reports.on_limits = self.limits.merge
        reports.get_parts = self.quarantine.suspects.notices
        reports.on_parts = self.quarantine.merge
        self.ledger_history = LedgerHistory()
        self.ledger_announcer = LedgerAnnouncer(
            settings.node, self.ledger_history, self.gossip
        )
        self.permits = SendPermits(
            SendPermitsParts(
                settings.node,
                self.limits,
                self.roster,
                parts.http,
                settings.peer_address.rpartition(':')[2],
                lambda: self.exchange.loop_delay_s(),
            )
        )
        self.exchange.on_permit = self.permits.serve
        self.exchange.reread = self.follower.reread

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start exchanging state with peers and following the store.

        :param nursery: nursery for the background tasks.
        :raises OSError: if the address for heartbeats can't be bound.
        """
        self.gossip.add_seeds(
            tuple(seed.rpartition(':')[0] for seed in self._settings.seeds)
        )
        await self.gossip.start(nursery)
        await self.follower.start(nursery)
        nursery.start_soon(
            keep_running, 'synchronise with peers', self.exchange.run
        )
        nursery.start_soon(
            keep_running, 'record quarantine', self._quarantine_record.run
        )
        nursery.start_soon(
            keep_running, 'announce writes', self.ledger_announcer.run
        )

    def discard_expired(self) -> None:
        """Drop servers that are gone, and limits that have ended."""
        self.store_view.servers.discard_expired()
        self.limits.discard_expired()
        self.permits.discard_expired()
        self.quarantine.discard_expired()
        self.ledger_history.discard_expired()

    def close(self) -> None:
        """Stop exchanging heartbeats."""
        self.gossip.close()

    def _make_role(self, propagation_s: float) -> WatchRole:
        settings = self._settings
        return WatchRole(
            settings.node,
            self.roster.fleet_view,
            StoreContact(settings.node, self._incarnation),
            _watch_policy(propagation_s),
            settings.is_seed,
        )

    def _on_exchange_failure(self) -> None:
        for role in (*self.roles, self._evacuations_role):
            if role is not None:
                role.watch_temporarily()

    def _make_heartbeat(self) -> Heartbeat:
        status = self.get_status()
        return Heartbeat(
            self._settings.node,
            self._settings.ip,
            self._incarnation,
            self._settings.failure_domain,
            status.draining,
            self.store_view.configuration.version,
            self.store_view.records.digest,
            status.free_by_organisation,
            self.store_view.records.newest,
            self.roles.configuration.contact.newest(),
            delay_ms=status.delay_ms,
            servers_read=self.roles.servers.contact.newest(),
            link_class=_link_class(self._settings.link_mbps),
        )

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._era.observe_peer(heartbeat.servers_revision, heartbeat.node)
        # A store read counts only if this router has the state that was read.
        records = self.store_view.records
        if (
            heartbeat.configuration_version
            <= self.store_view.configuration.version
        ):
            self.roles.configuration.contact.merge(heartbeat.configuration_read)
        if (heartbeat.servers_revision, heartbeat.servers_digest) == (
            records.newest,
            records.digest,
        ):
            self.roles.servers.contact.merge(heartbeat.servers_read)
            # The digest includes the evacuations.
            if self._evacuations_role is not None:
                self._evacuations_role.contact.merge(heartbeat.servers_read)
        if should_pull(heartbeat, self.store_view):
            self.exchange.schedule_pull()

    def _on_store_view_change(self) -> None:
        self.gossip.send_now()
        self.on_change()


def _link_class(link_mbps: float) -> int:
    return int(link_mbps).bit_length()


def _do_nothing() -> None:
    """Do nothing."""


def _watch_policy(propagation_s: float) -> WatchPolicy:
    # A change is noticed within one renewal, and an unresponsive store while
    # half of the bound is left.
    return WatchPolicy(
        max_silence_s=propagation_s / 2,
        renewal_interval_s=propagation_s / 4,
    )
