"""
eelgrassfork.gateway.node
~~~~~~~~~~~~~~~~~~~~~~~~~

Assembles the components of one router that forwards requests unmodified.
"""

from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple

import logbook
import trio

from ..http_client import HttpClient, hold_bodies
from ..http_server import HttpServer, ServerLimits
from ..loop_watch import LoopDelayMonitor
from ..memory_account import Account, ListenerShare
from ..memory_policy import derive_limits
from ..supervision import keep_running, run_step
from .account_metrics import add_account_metrics
from .admission.router_delay import LOOP_ITERATIONS, link_delay_s
from .credit_exchange import CreditExchange
from .credit_keeper import CreditKeeper, CreditKeeperParts
from .exchange import Exchange, ExchangeParts, ForwardMetadata
from .fleet_member import FleetMember, FleetMemberParts, RouterStatus
from .follower import Decoders
from .forwarder import Forwarder, ForwarderParts, WireCodec
from .gossip import describe_peers, unix_ms
from .link_load import LinkMonitor
from .node_settings import Bounds, NodeSettings
from .records import AnswerHead, CallerBounds, Headers
from .registry import Registry
from .retry_budget import FleetRetryPolicy
from .roster import count_possible_routers
from .selection import Selector, SelectorParts
from .sender import Sender, SenderParts
from .server_crashes import CrashDetector
from .status_pages import StatusPages
from .store import Store
from .telemetry import Telemetry

__all__ = ('GatewayNode', 'NodeAdapter')

_log = logbook.Logger('node')

_EXPIRY_INTERVAL_S: Final = 0.5
# The load balancer probes once a second and removes a VM after two failures.
_BALANCER_REMOVAL_S: Final = 2.6
# Responses still running this long before SIGKILL are aborted cleanly.
_SIGKILL_MARGIN_S: Final = 0.4
_CREDIT_RETURN_TIMEOUT_S: Final = 0.6
_DRAIN_POLL_INTERVAL_S: Final = 0.05
_MIN_CREDIT_RETURN_TIMEOUT_S: Final = 0.05
# When a server closes an idle connection, a client can't distinguish this from a
# lost request, so idle connections to servers are closed early.
_SERVER_CONNECTION_IDLE_S: Final = 2.0
_MAX_IDLE_SERVER_CONNECTIONS: Final = 16
_MS_PER_S: Final = 1000
# Name of the listener for callers, in metrics.
_CALLERS: Final = 'callers'


class NodeAdapter(NamedTuple):
    """
    Platform-specific parts of a router.

    :param make_store: creates the store client from an HTTP client and a
        callback for the outcome of each call.
    :param decoders: decoders of stored objects.
    :param codec: decoders and encoders of caller-side headers.
    :param encode_metadata: encodes the headers added to a request to a server.
    :param decode_response: decodes status and headers of a server's response.
    :param metrics_port: port of the metrics listener.
    """

    make_store: Callable[[HttpClient, Callable[[str], None]], Store]
    decoders: Decoders
    codec: WireCodec
    encode_metadata: Callable[[ForwardMetadata], Headers]
    decode_response: Callable[[int, Headers], AnswerHead]
    metrics_port: int


class GatewayNode:
    """
    One router process.

    :param settings: listen addresses, peers, store and limits.
    :param adapter: platform-specific parts.
    :ivar failed: set when a listener has failed, so that the router has to
        stop.
    """

    def __init__(self, settings: NodeSettings, adapter: NodeAdapter) -> None:
        self._settings = settings
        self._adapter = adapter
        self._incarnation = unix_ms()
        self._account = Account(
            derive_limits(settings.memory_mb, settings.max_fds)
        )
        self._http_client = HttpClient(
            hold_body=hold_bodies(self._account, 'control_body')
        )
        self._server_http_client = HttpClient(
            max_idle=_MAX_IDLE_SERVER_CONNECTIONS,
            max_idle_s=_SERVER_CONNECTION_IDLE_S,
            hold_body=hold_bodies(self._account, 'server_body'),
        )
        self.telemetry = Telemetry()
        add_account_metrics(self.telemetry, self._account)
        self.telemetry.add_gauge(
            'server_connections_opened',
            'Connections opened to backend servers.',
            lambda: self._server_http_client.connections_opened,
        )
        self._store = adapter.make_store(
            self._http_client, self.telemetry.count_store_call
        )
        self.telemetry.add_gauge(
            'store_era',
            'Restores of the store from an older copy, as it counts them.',
            lambda: self._store.era.current,
        )
        self._loop_delay = LoopDelayMonitor()
        sent_by_listener = self._account.sent_bytes_by_listener
        self._link = LinkMonitor(
            lambda: sent_by_listener[_CALLERS],
            # Other deployments are served as before, by heartbeats as well.
            settings.link_mbps if settings.is_contended else 0,
        )
        self.telemetry.add_gauge(
            'link_utilisation',
            'Used fraction of the network link, by the traffic of callers.',
            lambda: self._link.utilisation,
        )
        self.telemetry.add_gauge(
            'loop_delay_seconds',
            'How late timers are, as the process is busy.',
            lambda: self._loop_delay.mean_delay_s,
        )
        self._member = FleetMember(
            settings,
            self._incarnation,
            FleetMemberParts(self._store, self._http_client),
            adapter.decoders,
        )
        self._member.get_status = self._router_status
        self._member.on_change = self._apply_configuration
        self._store_view = self._member.store_view
        self.telemetry.add_gauge(
            'limited_servers',
            'Backend servers that name a limit.',
            lambda: self._member.limits.count,
        )
        self.telemetry.add_gauge(
            'slowdown_servers',
            'Backend servers that have reported a slowdown.',
            lambda: self._store_view.servers.slowdown_count,
        )
        self.telemetry.add_gauge(
            'quarantined_parts',
            'Prompt parts that are likely to end servers.',
            lambda: self._member.quarantine.count,
        )
        self.telemetry.add_gauge(
            'cold_servers',
            'Backend servers that have a limit as they are cold.',
            lambda: len(self._member.limits.cold_ids()),
        )
        self.telemetry.add_gauge(
            'evacuated_domains',
            'Failure domains that get no new requests.',
            lambda: self._store_view.evacuations.count,
        )
        self._member.permits.count_outcome = self.telemetry.count_permit
        self._roster = self._member.roster
        self._credit_exchange = CreditExchange(
            self._http_client, self._roster, settings
        )
        self._credit_exchange.adapts_timeouts = settings.is_contended
        self._member.exchange.on_credit = self._credit_exchange.serve
        self._member.exchange.loop_delay_s = lambda: (
            self._loop_delay.mean_delay_s
        )
        self._registry = Registry(
            self._store,
            self._member.gossip,
            settings,
            self._incarnation,
            lambda: self._member.roles.configuration.must_watch,
        )
        self._credit = self._make_credit_keeper()
        self._credit_exchange.lend = self._credit.lender.lend
        self.telemetry.add_gauge(
            'credit_waiting_tokens',
            'Tokens that waiting requests need.',
            lambda: self._credit.supply.waiting if self._credit.supply else 0,
        )
        self._sender = self._make_sender()
        self._forwarder = self._make_forwarder()
        share = partial(ListenerShare, self._account, is_system=True)
        self._caller_listener = HttpServer(
            self._forwarder.forward,
            share=ListenerShare(self._account, _CALLERS),
        )
        self._peer_listener = HttpServer(
            self._member.exchange.serve, share=share('peers')
        )
        pages = StatusPages(self.telemetry, self._is_ready, self.dump)
        pages.lift = self._member.quarantine.lift
        self._readiness_listener = HttpServer(
            pages.serve_readiness, share=share('readiness')
        )
        self._metrics_listener = HttpServer(
            pages.serve_metrics, share=share('metrics')
        )
        self.failed = trio.Event()
        for server in self._servers():
            server.on_failure = self.failed.set
        self._draining = False
        self._fixed_grace_s: float | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Open the listeners and start the background tasks.

        :param nursery: nursery in which the tasks run.
        :raises OSError: if an address can't be bound.
        """
        settings = self._settings
        await _listen(self._peer_listener, nursery, settings.peer_address)
        await _listen(self._readiness_listener, nursery, settings.ready_address)
        await _listen(self._caller_listener, nursery, settings.caller_address)
        await self._metrics_listener.start(
            nursery, settings.ip, self._adapter.metrics_port
        )
        await self._member.start(nursery)
        await self._credit.start(nursery)
        for name, task in (
            ('registry', self._registry.run),
            ('measure link', self._link.run),
            ('measure loop delay', self._loop_delay.run),
            ('tidy', self._expire_servers),
        ):
            nursery.start_soon(keep_running, name, task)
        _log.info(
            'started',
            extra={
                'node': settings.node,
                'incarnation': self._incarnation,
                'callers': settings.caller_address,
                'first_start': settings.first_start,
            },
        )

    def fix_grace_time(self) -> None:
        """Let later reloads not change the grace time of the stop."""
        self._fixed_grace_s = self._settings.bounds.grace_s

    async def drain(self, elapsed_s: float = 0) -> None:
        """
        Stop accepting requests, finish those in progress, return credit.

        :param elapsed_s: time since the platform asked for the stop, which
            counts towards the grace time, in seconds.
        """
        grace_s = self._fixed_grace_s or self._settings.bounds.grace_s
        started_at = trio.current_time() - elapsed_s
        deadline = started_at + grace_s - _SIGKILL_MARGIN_S
        requests_deadline = deadline - _CREDIT_RETURN_TIMEOUT_S
        self._draining = True
        self._roster.draining = True
        self._member.gossip.send_now()
        _log.info(
            'drains',
            extra={
                'in_progress': self._forwarder.in_progress,
                'elapsed_s': round(elapsed_s, 2),
            },
        )
        await trio.sleep_until(
            min(trio.current_time() + _BALANCER_REMOVAL_S, requests_deadline)
        )
        self._forwarder.draining = True
        self._caller_listener.stop_accepting()
        while (
            self._forwarder.in_progress
            and trio.current_time() <= requests_deadline
        ):
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)
        timeout_s = max(
            _MIN_CREDIT_RETURN_TIMEOUT_S,
            min(_CREDIT_RETURN_TIMEOUT_S, deadline - trio.current_time()),
        )
        await run_step('return credit', partial(self._credit.close, timeout_s))
        _log.info(
            'stopped',
            extra={
                'cut_off': self._forwarder.in_progress,
                'after_s': round(trio.current_time() - started_at, 2),
            },
        )

    def reload(self, settings: NodeSettings, reason: str) -> None:
        """
        Apply changed bounds.

        :param settings: new settings; changed addresses take effect only
            after a restart.
        :param reason: cause of the reload, for the log.
        """
        self._settings = settings
        self._account.limits = derive_limits(
            settings.memory_mb, settings.max_fds
        )
        self._sender.change_retry_policy(_retry_policy(settings.bounds))
        _log.info('settings reloaded', extra={'why': reason})

    async def close(self) -> None:
        """Close listeners and connections."""
        for server in self._servers():
            await server.close()
        self._member.close()
        await self._http_client.close()
        await self._server_http_client.close()

    def dump(self) -> dict[str, object]:
        """
        Describe the state of the router for operators.

        :returns: state of each component by name, encodable as JSON.
        """
        return {
            'node': self._settings.node,
            'incarnation': self._incarnation,
            'draining': self._draining,
            'in_progress': self._forwarder.in_progress,
            'configuration_version': self._store_view.configuration.version,
            'store_reachable': self._member.follower.reachable,
            'store': {
                'era': self._store.era.dump(),
                'configuration': self._member.roles.configuration.dump(),
                'servers': self._member.roles.servers.dump(),
            },
            'servers': self._store_view.servers.dump(),
            'evacuations': self._store_view.evacuations.dump(),
            'limits': self._member.limits.dump(),
            'quarantine': self._member.quarantine.dump(),
            'permits': self._member.permits.dump(),
            'peers': describe_peers(list(self._roster.peers.by_node.values())),
            'credit': self._credit.dump(),
            'memory': self._account.dump(),
        }

    def _servers(self) -> tuple[HttpServer, ...]:
        return (
            self._caller_listener,
            self._peer_listener,
            self._readiness_listener,
            self._metrics_listener,
        )

    def _make_credit_keeper(self) -> CreditKeeper:
        parts = CreditKeeperParts(
            lambda: self._store_view.configuration.prepaid_by_organisation,
            lambda: self._roster.known_router_count,
            self._roster.count_keepers,
            self._is_keeper,
            self._settings.failure_domain,
            self._credit_exchange.borrow,
            self._credit_exchange.deposit,
            self._credit_exchange.may_lend,
            self._member.gossip.fleet_time,
            self._settings.first_start,
            self._member.ledger_history,
            self._member.ledger_announcer.announce,
            self._credit_exchange.advertised,
            lambda: self._credit_exchange.call_delay_s,
            self._settings.is_contended,
        )
        return CreditKeeper(
            self._store, self._settings.node, self._incarnation, parts
        )

    def _make_sender(self) -> Sender:
        crashes = CrashDetector(self._server_http_client)
        crashes.count_crash = self.telemetry.count_crash
        exchange = Exchange(
            ExchangeParts(
                self._server_http_client,
                self._store_view,
                self._member.limits,
                crashes,
                self._member.quarantine,
                self._adapter.encode_metadata,
                self._adapter.decode_response,
            ),
        )
        selector = Selector(
            SelectorParts(
                self._store_view,
                self._member.limits,
                self._member.permits,
                self._member.quarantine,
                self._settings.failure_domain,
                self._settings.regions_by_domain,
                partial(count_possible_routers, self._roster),
            ),
        )
        return Sender(
            SenderParts(
                exchange,
                selector,
                self.telemetry,
                _retry_policy(self._settings.bounds),
                partial(count_possible_routers, self._roster),
                self._member.quarantine,
            ),
        )

    def _make_forwarder(self) -> Forwarder:
        return Forwarder(
            ForwarderParts(
                self._store_view,
                self._credit,
                self._sender,
                self.telemetry,
                self._adapter.codec,
                self._is_isolated,
                lambda: self._loop_delay.mean_delay_s,
                self._roster.peers.delays_s,
                self._settings.is_contended,
                self._link,
            ),
        )

    def _is_keeper(self) -> bool:
        # Routers that have not discovered any peer yet would all draw credit
        # at the same time.
        return self._roster.is_settled and self._roster.is_keeper

    def _router_status(self) -> RouterStatus:
        # In a large fleet, requests for credit rarely go to routers that are
        # not keepers.
        advertises_credit = self._roster.is_full_mesh or self._is_keeper()
        return RouterStatus(
            self._draining,
            self._credit.held.largest_free() if advertises_credit else {},
            int(self._delay_s() * _MS_PER_S),
        )

    def _delay_s(self) -> float:
        # A router with a full link is as busy as one with a late event loop.
        link_s = link_delay_s(self._link.utilisation) / LOOP_ITERATIONS
        return max(self._loop_delay.mean_delay_s, link_s)

    def _apply_configuration(self) -> None:
        configuration = self._store_view.configuration.current
        if configuration is not None:
            self.telemetry.configuration_version.set(configuration.version)
            self._caller_listener.change_limits(
                _server_limits(configuration.bounds)
            )

    async def _expire_servers(self) -> None:
        while True:
            await trio.sleep(_EXPIRY_INTERVAL_S)
            self._member.discard_expired()

    def _is_ready(self) -> bool:
        has_configuration = (
            self._store_view.configuration.version and not self._draining
        )
        if not has_configuration or self._store_view.evacuations.is_awaited:
            return False
        return not self._is_isolated()

    def _is_isolated(self) -> bool:
        # While this router reaches neither routers of other failure domains nor
        # all services, callers are better served by those routers.
        configuration = self._store_view.configuration.current
        if configuration is None or not self._roster.is_partitioned:
            return False
        return any(
            self._store_view.servers.is_unavailable(name)
            for name in configuration.services_by_name
        )


async def _listen(
    server: HttpServer, nursery: trio.Nursery, address: str
) -> None:
    host, _, port = address.rpartition(':')
    await server.start(nursery, host, int(port))


def _retry_policy(bounds: Bounds) -> FleetRetryPolicy:
    return FleetRetryPolicy(
        bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
    )


def _server_limits(bounds: CallerBounds) -> ServerLimits:
    return ServerLimits(
        max_header_bytes=bounds.max_header_bytes,
        max_body_bytes=bounds.max_body_bytes,
        header_timeout_s=bounds.header_timeout_s,
        idle_timeout_s=bounds.idle_timeout_s,
    )
