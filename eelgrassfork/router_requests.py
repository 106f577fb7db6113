"""
eelgrassfork.router_requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Assembles the components that handle callers' requests.
"""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from .backends import Backends
from .bundle_types import Bundle
from .chat import Chat, ChatParts
from .claims import Claims
from .credit import CreditAccounts
from .drain import Drain
from .engine_client import EngineClient
from .front import Front, FrontParts
from .http_client import HttpClient
from .issued_key_use import IssuedKeyUse
from .issued_keys import IssuedKeys
from .limits import Admission
from .load_reports import LoadReports, PollSettings
from .metrics import Metrics
from .peering import Peering
from .plain_calls import PlainParts, plain_handler
from .retries import RetryBudget

__all__ = ('RequestInputs', 'RouterRequests')


class RequestInputs(NamedTuple):
    """
    Components of the router that request handling depends on.

    :param bundle: returns the bundle in force.
    :param unready: returns why this router is not ready, or an empty string.
    :param source: random number generator for jitter.
    """

    failure_domain: str
    bundle: Callable[[], Bundle | None]
    unready: Callable[[], str]
    drain: Drain
    accounts: CreditAccounts
    claims: Claims
    backends: Backends
    engines: EngineClient
    http: HttpClient
    peering: Peering
    metrics: Metrics
    source: random.Random


class RouterRequests:
    """
    Handles the requests of a router's callers.

    :param inputs: components of the router.
    :ivar front: request handler of the caller listener.
    """

    def __init__(self, inputs: RequestInputs) -> None:
        self._claims = inputs.claims
        self._admission = Admission()
        self._retry_budget = RetryBudget()
        self._keys = IssuedKeys(inputs.claims, inputs.accounts)
        self._key_use = IssuedKeyUse(self._keys, inputs.claims, inputs.peering)
        self._chat = Chat(self._chat_parts(inputs))
        self._load_reports = LoadReports(
            inputs.backends, inputs.http, PollSettings(), inputs.source
        )
        self.front = Front(self._front_parts(inputs))

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start the background tasks.

        :param nursery: nursery for the background tasks.
        """
        await self._claims.start(nursery)
        await self._keys.start(nursery)
        await self._key_use.start(nursery)
        await self._chat.start(nursery)
        await self._load_reports.start(nursery)

    async def close(self) -> None:
        """Record outcomes and settle open bills, then stop."""
        await self._load_reports.close()
        await self._chat.close()
        await self._key_use.close()
        await self._keys.close()
        await self._claims.close()

    def review_queue(self) -> None:
        """Start or reject queued requests after the VM list changed."""
        self._admission.reevaluate_queue()

    def open_work(self) -> dict[str, int]:
        """
        Count the open items that a drain waits for.

        :returns: number of open items by kind.
        """
        return {
            'bills': self._chat.open_bills,
            'claims': self._claims.writer.pending,
            'issued_keys': self._keys.in_use,
            'key_reports': int(self._key_use.dump()['unreported']),
        }

    def dumps(self) -> dict[str, Callable[[], Any]]:
        """
        List the state dumps of each component.

        :returns: dump functions by component name.
        """
        return {
            'chat': self._chat.dump,
            'claims': self._claims.dump,
            'issued_keys': self._keys.dump,
            'limits': self._admission.dump,
        }

    def gauges(self) -> dict[str, Callable[[], float]]:
        """
        List the functions that read the gauges.

        :returns: functions by gauge name.
        """
        return {
            'claims_pending': lambda: self._claims.writer.pending,
            'keys_in_use': lambda: self._keys.in_use,
            'key_reports_pending': (
                lambda: int(self._key_use.dump()['unreported'])
            ),
        }

    def _chat_parts(self, inputs: RequestInputs) -> ChatParts:
        return ChatParts(
            bundle=inputs.bundle,
            accounts=inputs.accounts,
            admission=self._admission,
            backends=inputs.backends,
            engines=inputs.engines,
            retry_budget=self._retry_budget,
            failure_domain=inputs.failure_domain,
            source=inputs.source,
            metrics=inputs.metrics,
        )

    def _plain_parts(self, inputs: RequestInputs) -> PlainParts:
        return PlainParts(
            claims=inputs.claims,
            issued_keys=self._key_use,
            credit=inputs.accounts,
            backends=inputs.backends,
            admission=self._admission,
            retry_budget=self._retry_budget,
            http=inputs.http,
            metrics=inputs.metrics,
            failure_domain=inputs.failure_domain,
            source=inputs.source,
        )

    def _front_parts(self, inputs: RequestInputs) -> FrontParts:
        return FrontParts(
            fleet=inputs.failure_domain.partition('/')[0],
            bundle=inputs.bundle,
            unready=inputs.unready,
            is_draining=lambda: inputs.drain.is_begun,
            refuses_new=lambda: inputs.drain.refuses_new,
            chat=self._chat.complete,
            models=self._chat.list_models,
            plain=plain_handler(self._plain_parts(inputs), inputs.bundle),
            issue_key=self._keys.issue,
            metrics=inputs.metrics,
        )
