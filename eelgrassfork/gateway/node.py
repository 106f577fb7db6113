"""
eelgrassfork.gateway.node
~~~~~~~~~~~~~~~~~~~~~~~~~

Wires the parts of one router that forwards requests as they are.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import logbook
import trio

from ..http_client import HttpClient
from ..http_server import HttpServer, ServerLimits
from ..loop_watch import LoopWatch
from ..supervision import keep_running
from .credit_exchange import CreditExchange
from .credit_keeper import CreditKeeper, CreditWorld
from .exchange import Exchange, ExchangeParts, Target
from .fleet_member import FleetMember, MemberLinks, OwnState
from .follower import Decoders
from .forwarder import Forwarder, ForwarderParts, Translation
from .gossip import describe_peers, unix_ms
from .node_settings import Bounds, NodeSettings
from .records import AnswerHead, CallerBounds, Headers
from .registry import Registry
from .repeat_budget import RepeatPolicy
from .sender import Sender, SenderParts
from .status_pages import StatusPages
from .store import Store
from .telemetry import Telemetry

__all__ = ('GatewayNode', 'NodeAdapter')

_log = logbook.Logger('node')

_TIDY_S: Final = 0.5
# The balancer asks once a second and takes a VM out after two misses.
_LAST_CALLERS_S: Final = 2.6
# Answers that are not over this long before SIGKILL are cut off in order.
_END_MARGIN_S: Final = 0.4
_RETURN_CREDIT_S: Final = 0.6
_POLL_S: Final = 0.05
_LEAST_S: Final = 0.05
# Servers close idle connections without a notice that can be told from a
# lost request.
_SERVER_IDLE_S: Final = 2.0
_SERVER_IDLE_CONNECTIONS: Final = 16
_MS_PER_S: Final = 1000


class NodeAdapter(NamedTuple):
    """
    Everything that depends on the platform.

    :param make_store: makes the client of the store.
    :param decoders: how stored objects are understood.
    :param translation: how requests look on the wire.
    :param encode_target: writes what a server is told.
    :param decode_answer: understands the head of a server's answer.
    :param metrics_port: where metrics are read.
    """

    make_store: Callable[[HttpClient, Callable[[str], None]], Store]
    decoders: Decoders
    translation: Translation
    encode_target: Callable[[Target], Headers]
    decode_answer: Callable[[int, Headers], AnswerHead]
    metrics_port: int


class GatewayNode:
    """
    One router process.

    :param settings: where it listens, and what it talks to.
    :param adapter: everything that depends on the platform.
    """

    def __init__(self, settings: NodeSettings, adapter: NodeAdapter) -> None:
        self._settings = settings
        self._adapter = adapter
        self._incarnation = unix_ms()
        self._http = HttpClient()
        self._servers_http = HttpClient(
            max_idle=_SERVER_IDLE_CONNECTIONS, max_idle_s=_SERVER_IDLE_S
        )
        self.telemetry = Telemetry()
        self.telemetry.watch(
            'server_connections_opened',
            'Connections opened to backend servers.',
            lambda: self._servers_http.connections_opened,
        )
        self._store = adapter.make_store(
            self._http, self.telemetry.count_store_call
        )
        self._loop = LoopWatch()
        self.telemetry.watch(
            'loop_delay_seconds',
            'How late timers are, as the process is busy.',
            lambda: self._loop.mean_s,
        )
        self._member = FleetMember(
            settings,
            self._incarnation,
            MemberLinks(self._store, self._http),
            adapter.decoders,
        )
        self._member.describe_self = self._own_state
        self._member.on_change = self._beliefs_changed
        self._beliefs = self._member.beliefs
        self._roster = self._member.roster
        self._loans = CreditExchange(self._http, self._roster, settings)
        self._member.exchange.on_credit = self._loans.serve
        self._member.exchange.loop_delay_s = lambda: self._loop.mean_s
        self._registry = Registry(
            self._store,
            self._member.gossip,
            settings,
            self._incarnation,
            lambda: self._member.duties.configuration.must_watch,
        )
        self._credit = self._make_credit()
        self._loans.lend = self._credit.lender.lend
        self._sender = self._make_sender()
        self._forwarder = self._make_forwarder()
        self._callers = HttpServer(self._forwarder.forward)
        self._peers = HttpServer(self._member.exchange.serve)
        pages = StatusPages(self.telemetry, self._is_ready, self.dump)
        self._ready = HttpServer(pages.answer_ready)
        self._metrics = HttpServer(pages.answer_metrics)
        self._draining = False

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Listen and work in the background.

        :param nursery: where the tasks run.
        :raises OSError: if an address can't be bound.
        """
        settings = self._settings
        await _listen(self._peers, nursery, settings.peer_address)
        await _listen(self._ready, nursery, settings.ready_address)
        await _listen(self._callers, nursery, settings.caller_address)
        await self._metrics.start(
            nursery, settings.ip, self._adapter.metrics_port
        )
        await self._member.start(nursery)
        await self._credit.start(nursery)
        for name, work in (
            ('registry', self._registry.run),
            ('loop delay', self._loop.run),
            ('tidy', self._tidy),
        ):
            nursery.start_soon(keep_running, name, work)
        _log.info(
            'started',
            extra={
                'node': settings.node,
                'incarnation': self._incarnation,
                'callers': settings.caller_address,
                'first_start': settings.first_start,
            },
        )

    async def drain(self) -> None:
        """Stop taking requests, finish those in progress, return credit."""
        began_at = trio.current_time()
        end_at = began_at + self._settings.bounds.grace_s - _END_MARGIN_S
        self._draining = True
        self._roster.draining = True
        self._member.gossip.hasten()
        _log.info('drains', extra={'in_progress': self._forwarder.in_progress})
        await trio.sleep(_LAST_CALLERS_S)
        self._forwarder.draining = True
        self._callers.stop_accepting()
        while self._forwarder.in_progress:
            if trio.current_time() > end_at - _RETURN_CREDIT_S:
                break
            await trio.sleep(_POLL_S)
        await self._credit.close(
            max(_LEAST_S, min(_RETURN_CREDIT_S, end_at - trio.current_time()))
        )
        _log.info(
            'stopped',
            extra={
                'cut_off': self._forwarder.in_progress,
                'after_s': round(trio.current_time() - began_at, 2),
            },
        )

    def reload(self, settings: NodeSettings, why: str) -> None:
        """
        Take over changed bounds.

        :param settings: as they are now; addresses stay as at the start.
        :param why: what caused it, for the log.
        """
        self._settings = settings
        self._sender.change_repeat_policy(_repeat_policy(settings.bounds))
        _log.info('took over settings', extra={'why': why})

    async def close(self) -> None:
        """Close listeners and connections."""
        for server in (self._callers, self._peers, self._ready, self._metrics):
            await server.close()
        self._member.close()
        await self._http.close()
        await self._servers_http.close()

    def dump(self) -> dict[str, object]:
        """
        Describe the state for operators.

        :returns: what every part knows.
        """
        return {
            'node': self._settings.node,
            'incarnation': self._incarnation,
            'draining': self._draining,
            'in_progress': self._forwarder.in_progress,
            'configuration_version': self._beliefs.configuration.version,
            'store_reachable': self._member.follower.reachable,
            'store': {
                'configuration': self._member.duties.configuration.dump(),
                'servers': self._member.duties.servers.dump(),
            },
            'servers': self._beliefs.servers.dump(),
            'peers': describe_peers(list(self._roster.peers.by_node.values())),
            'credit': self._credit.dump(),
        }

    def _make_credit(self) -> CreditKeeper:
        world = CreditWorld(
            lambda: self._beliefs.configuration.prepaid_by_organisation,
            lambda: self._roster.routers_known,
            self._roster.count_keepers,
            self._is_keeper,
            self._settings.failure_domain,
            self._loans.borrow,
            self._loans.deposit,
            self._loans.may_lend,
            self._member.gossip.fleet_time,
            self._settings.first_start,
        )
        return CreditKeeper(
            self._store, self._settings.node, self._incarnation, world
        )

    def _make_sender(self) -> Sender:
        exchange = Exchange(
            ExchangeParts(
                self._servers_http,
                self._beliefs,
                self._adapter.encode_target,
                self._adapter.decode_answer,
            ),
        )
        return Sender(
            SenderParts(
                exchange,
                self._beliefs,
                self.telemetry,
                self._settings.failure_domain,
                _repeat_policy(self._settings.bounds),
                lambda: self._roster.routers_known,
            ),
        )

    def _make_forwarder(self) -> Forwarder:
        return Forwarder(
            ForwarderParts(
                self._beliefs,
                self._credit,
                self._sender,
                self.telemetry,
                self._adapter.translation,
                self._is_isolated,
                lambda: self._loop.mean_s,
                self._roster.peers.delays_s,
            ),
        )

    def _is_keeper(self) -> bool:
        # Routers that hear of nobody yet would all draw at the same moment.
        return self._roster.is_settled and self._roster.is_keeper

    def _own_state(self) -> OwnState:
        # Few ask another router than a keeper for credit in a large fleet.
        shows_credit = self._roster.is_small or self._is_keeper()
        return OwnState(
            self._draining,
            self._credit.held.most_free() if shows_credit else {},
            int(self._loop.mean_s * _MS_PER_S),
        )

    def _beliefs_changed(self) -> None:
        configuration = self._beliefs.configuration.current
        if configuration is not None:
            self.telemetry.configuration_version.set(configuration.version)
            self._callers.change_limits(_server_limits(configuration.bounds))

    async def _tidy(self) -> None:
        while True:
            await trio.sleep(_TIDY_S)
            self._beliefs.servers.forget_gone()

    def _is_ready(self) -> bool:
        known = self._beliefs.configuration.version and not self._draining
        return bool(known) and not self._is_isolated()

    def _is_isolated(self) -> bool:
        # Callers are better off with routers of other failure domains while
        # this one reaches neither them nor all services.
        configuration = self._beliefs.configuration.current
        if configuration is None or not self._roster.is_cut_off:
            return False
        return any(
            self._beliefs.servers.is_out_of_reach(name)
            for name in configuration.services_by_name
        )


async def _listen(
    server: HttpServer, nursery: trio.Nursery, address: str
) -> None:
    host, _, port = address.rpartition(':')
    await server.start(nursery, host, int(port))


def _repeat_policy(bounds: Bounds) -> RepeatPolicy:
    return RepeatPolicy(
        bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
    )


def _server_limits(bounds: CallerBounds) -> ServerLimits:
    return ServerLimits(
        max_header_bytes=bounds.max_header_bytes,
        max_body_bytes=bounds.max_body_bytes,
        header_timeout_s=bounds.header_timeout_s,
        idle_timeout_s=bounds.idle_timeout_s,
    )
