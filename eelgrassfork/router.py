"""
eelgrassfork.router
~~~~~~~~~~~~~~~~~~~

Assembles the components of a router and runs them until shutdown.
"""

import random
from collections.abc import Mapping
from functools import partial
from typing import Final, NamedTuple

import logbook
import trio

from .backends import Backends
from .bundle_fetch import BundleSources
from .bundle_lookup import with_current_names
from .bundle_types import Bundle
from .claims import Claims, ClaimsIdentity
from .drain import Drain
from .engine_client import EngineClient
from .engine_orders import EngineOrders
from .http_client import ClientTimeouts, HttpClient, hold_bodies
from .http_server import HttpServer
from .leases import Leases
from .membership import Membership
from .memory_account import Account, ListenerShare
from .memory_policy import derive_limits
from .metrics import Metrics, NullMetrics
from .names import new_holder
from .operator_port import OperatorParts, operator_handler
from .order_duty import DutyParts
from .peer_messages import Heartbeat, RouterState
from .peering import Peering, PeerSettings
from .platform_client import PlatformClient
from .record_sources import claim_source, engine_addresses, engine_source
from .retries import EjectionPolicy
from .rollout import Rollout
from .router_credit import CreditInputs, RouterCredit
from .router_metrics import MetricSources, RouterMetrics
from .router_operators import bundle_trial
from .router_requests import RequestInputs, RouterRequests
from .router_settings import (
    drain_settings,
    member_settings,
    order_settings,
    rollout_settings,
    server_limits,
    subset_policy,
)
from .settings import RouterSettings, public_settings
from .transport import TCP, Transport
from .vm_list import VmList

__all__ = ('Router', 'RouterEnvironment')

_log = logbook.Logger('router')

_MS_PER_S: Final = 1000
_CLOSE_TIMEOUT_S: Final = 10
_MAX_IDLE_CONNECTIONS_PER_SERVER: Final = 32


class RouterEnvironment(NamedTuple):
    """
    Dependencies of a router that tests can replace.

    :param transport: opens and accepts connections.
    :param platform: client of the platform; by default one over HTTP.
    :param metrics: receives metric samples.
    :param source: random number generator for jitter and tie-breaking.
    """

    transport: Transport = TCP
    platform: PlatformClient | None = None
    metrics: Metrics = NullMetrics()
    source: random.Random = random.Random()  # noqa: S311


class Router:  # noqa: WPS230 - one attribute per component
    """
    A router process: listeners, peering, credit and request handling.

    :param settings: validated settings.
    :param environment: replaceable dependencies.
    :ivar holder: unique name of this incarnation of the process.
    :ivar drain: state of the graceful shutdown.
    """

    def __init__(
        self,
        settings: RouterSettings,
        environment: RouterEnvironment | None = None,
    ) -> None:
        environment = environment or RouterEnvironment()
        self._settings = settings
        self._environment = environment
        self.holder = new_holder(settings.vm)
        self.drain = Drain(drain_settings(settings))
        self._account = Account(
            derive_limits(settings.memory_mb, settings.max_descriptors)
        )
        self._platform_http = HttpClient(
            transport=environment.transport,
            hold_body=hold_bodies(self._account, 'control_body'),
        )
        self._http = HttpClient(
            ClientTimeouts(),
            _MAX_IDLE_CONNECTIONS_PER_SERVER,
            environment.transport,
            hold_body=hold_bodies(self._account, 'server_body'),
        )
        self.platform = environment.platform or PlatformClient(
            self._platform_http,
            settings.platform,
            settings.platform_timeout_ms / _MS_PER_S,
            settings.failure_domain,
        )
        self.peering = Peering(
            PeerSettings(settings.peer_key),
            self._heartbeat,
            self._on_heartbeat,
            lambda vm: self.membership.address_of(vm),
            environment.transport,
            self._account,
        )
        self.membership = Membership(
            self._initial_heartbeat(), self.platform, member_settings(settings)
        )
        self.rollout = Rollout(
            rollout_settings(settings),
            BundleSources(self.platform, self.peering, self.membership),
            self.membership.is_poller,
        )
        self.backends = Backends(
            EjectionPolicy(),
            environment.source,
            environment.metrics,
            subset_policy(settings),
        )
        self._engines = EngineClient(self._http)
        self._claims = Claims(
            self.platform,
            ClaimsIdentity(
                self.holder,
                lambda: self.membership.listed_at,
                self.membership.is_dead,
            ),
        )
        self.credit = RouterCredit(self._credit_inputs())
        self.requests = RouterRequests(self._request_inputs())
        self.orders = EngineOrders(settings.vm, self._duty_parts())
        self.callers = HttpServer(
            self.requests.front.serve,
            server_limits(settings),
            environment.transport,
            ListenerShare(self._account, 'callers'),
        )
        self.operators = HttpServer(
            operator_handler(self._operator_parts()),
            transport=environment.transport,
            share=ListenerShare(self._account, 'operators', is_system=True),
        )
        stop = partial(self.drain.begin, 'a listener failed')
        self.callers.on_failure = stop
        self.operators.on_failure = stop
        self.peering.on_failure(stop)
        self._aliases: Mapping[str, str] = {}
        self.membership.vm_lists.subscribe(self._apply_vm_list)
        self.rollout.on_bundle_in_force(self._apply_aliases)

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Bind the listeners and start all components in the background.

        The peer listener is bound first: only one process of a VM can bind
        it, which proves to other routers that an earlier holder has ended.

        :param nursery: nursery for the background tasks.
        """
        settings = self._settings
        await self.peering.start(nursery, *settings.peers)
        await self.operators.start(nursery, *settings.operators)
        await self.rollout.start(nursery)
        await self.membership.start(nursery, self.peering)
        await self.credit.start(nursery)
        await self.requests.start(nursery)
        await self.orders.start(nursery)
        await self.callers.start(nursery, *settings.callers)
        await RouterMetrics(self._metric_sources()).start(nursery)
        _log.info(
            'router: {} accepts requests on {}',
            self.holder,
            self.callers.address,
        )

    async def run_drain(self) -> dict[str, int]:
        """
        Wait for a drain to begin, complete it and shut down.

        :returns: number of items still open at the time limit, by kind;
            empty if the drain was complete.
        """
        await self.drain.wait_begun()
        remaining = await self.drain.wait_empty(self.open_work)
        await self.close()
        return remaining

    async def close(self) -> None:
        """Return credit, record outcomes and stop all components."""
        self.callers.stop_accepting()
        scope = trio.move_on_after(_CLOSE_TIMEOUT_S)
        with scope:
            await self.orders.close()
            await self.requests.close()
            await self.credit.close()
        if scope.cancelled_caught:
            _log.warning(
                'router: timed out recording outcomes and returning credit'
            )
        await self.callers.close()
        await self.operators.close()
        await self.peering.close()
        await self._http.close()
        await self._platform_http.close()

    def unready(self) -> str:
        """
        Explain why new requests can't be served.

        :returns: the reason, or an empty string if the router is ready.
        """
        if self.rollout.is_ready():
            return ''
        if self.rollout.current is None:
            return 'no bundle is in force yet'
        return 'the bundle is being updated after a pause'

    def open_work(self) -> dict[str, int]:
        """
        Count the open items that a drain waits for.

        :returns: number of open items by kind.
        """
        return {
            'requests': self.callers.active_requests,
            **self.requests.open_work(),
        }

    def _bundle(self) -> Bundle | None:
        return self.rollout.current

    def _initial_heartbeat(self) -> Heartbeat:
        settings = self._settings
        return Heartbeat(
            vm=settings.vm,
            holder=self.holder,
            fleet=settings.fleet,
            failure_domain=settings.failure_domain,
            peer_address=f'{settings.peers.host}:{settings.peers.port}',
            state='starting',
        )

    def _heartbeat(self) -> Heartbeat:
        return self._initial_heartbeat()._replace(
            peer_address=self.peering.address,
            state=self._state(),
            bundle_version=self.rollout.version,
            vm_list_revision=self.membership.vm_lists.newest.revision,
        )

    def _state(self) -> RouterState:
        if self.drain.is_begun:
            return 'draining'
        return 'starting' if self.unready() else 'ready'

    def _on_heartbeat(self, heartbeat: Heartbeat, started_at: float) -> None:
        self.membership.record_heartbeat(heartbeat, started_at)
        self.rollout.note_peer_version(heartbeat.bundle_version, heartbeat.vm)

    def _apply_aliases(self) -> None:
        bundle = self._bundle()
        if bundle is not None and bundle.service_aliases != self._aliases:
            self._aliases = bundle.service_aliases
            self._apply_vm_list(self.membership.vm_lists.newest)

    def _apply_vm_list(self, vm_list: VmList) -> None:
        resolved = with_current_names(self._bundle(), vm_list)
        self.backends.update(resolved.vms)
        self.requests.review_queue()
        self.orders.update_vm_list(resolved)
        for record in vm_list.vms:
            if record.vm == self._settings.vm and record.state == 'leaving':
                self.drain.begin('the VM is leaving')

    def _credit_inputs(self) -> CreditInputs:
        settings = self._settings
        return CreditInputs(
            holder=self.holder,
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            platform=self.platform,
            peering=self.peering,
            membership=self.membership,
            bundle=self._bundle,
            sources=(
                engine_source(
                    self._engines,
                    engine_addresses(self._bundle, self.membership),
                ),
                claim_source(self._claims),
            ),
            on_fenced=lambda: self.drain.begin(
                'its credit accounts were closed by another router'
            ),
            report_interval_s=settings.report_interval_ms / _MS_PER_S,
            metrics=self._environment.metrics,
        )

    def _request_inputs(self) -> RequestInputs:
        return RequestInputs(
            failure_domain=self._settings.failure_domain,
            bundle=self._bundle,
            unready=self.unready,
            drain=self.drain,
            accounts=self.credit.accounts,
            claims=self._claims,
            backends=self.backends,
            engines=self._engines,
            http=self._http,
            peering=self.peering,
            metrics=self._environment.metrics,
            source=self._environment.source,
        )

    def _duty_parts(self) -> DutyParts:
        def bundle() -> Bundle | None:
            # A router that is draining or not ready gives no orders.
            is_suspended = self.drain.is_begun or self.unready()
            return None if is_suspended else self._bundle()

        settings = order_settings(self._settings)
        return DutyParts(
            Leases(self.platform, self.holder, settings.lease_s),
            self._engines,
            bundle,
            settings,
            metrics=self._environment.metrics,
        )

    def _operator_parts(self) -> OperatorParts:
        def unready() -> str:
            return 'draining' if self.drain.is_begun else self.unready()

        return OperatorParts(
            key_hash=self._settings.operator_key_hash,
            unready=unready,
            dumps_by_part={
                'settings': lambda: public_settings(self._settings),
                'holder': lambda: {'holder': self.holder},
                'memory': self._account.dump,
                'drain': self.drain.dump,
                'open_work': self.open_work,
                'rollout': self.rollout.dump,
                'membership': self.membership.dump,
                'peering': self.peering.dump,
                'credit': self.credit.dump,
                'backends': self.backends.dump,
                'engine_orders': self.orders.dump,
                **self.requests.dumps(),
            },
            drain=lambda: self.drain.begin('requested by an operator'),
            try_bundle=bundle_trial(self.rollout, self.membership),
        )

    def _metric_sources(self) -> MetricSources:
        return MetricSources(
            metrics=self._environment.metrics,
            fleet=self._settings.fleet,
            busy=lambda: self.callers.active_requests,
            rollout=self.rollout,
            membership=self.membership,
            peering=self.peering,
            backends=self.backends,
            credit=self.credit,
            gauges={**self.requests.gauges(), **self._account.gauges()},
        )
