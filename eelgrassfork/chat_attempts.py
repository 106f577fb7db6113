"""
eelgrassfork.chat_attempts
~~~~~~~~~~~~~~~~~~~~~~~~~~

Tries one server after the other until an answer was relayed.
"""

import random
import sys
from collections.abc import Callable
from typing import Final, NamedTuple

import logbook

from .backends import Backends
from .bundle_types import Bundle
from .chat_lookup import look_up
from .chat_relay import Relay
from .chat_request import ChatRequest
from .chat_run import Accounts, ChatRun
from .engine_client import EngineClient
from .engine_types import EngineError
from .errors import RequestError
from .http_server import Call
from .limits import Admission
from .metrics import Metrics, NullMetrics
from .retries import RetryBudget
from .routing import (
    Chooser,
    RoutePolicy,
    RouteSnapshot,
    ServerState,
    choose,
    choose_keyed,
)

__all__ = ('Attempts', 'ChatParts')

_log = logbook.Logger('chat')

# More than a look-up asks, and than fail at once on an ordinary day.
_KEYED_SERVERS: Final = 8


class ChatParts(NamedTuple):
    """
    What chat needs from other parts.

    :param bundle: query for the bundle in force, ``None`` before the first.
    :param failure_domain: place of this router.
    :param source: random source of jitter and ties.
    """

    bundle: Callable[[], Bundle | None]
    accounts: Accounts
    admission: Admission
    backends: Backends
    engines: EngineClient
    retry_budget: RetryBudget
    failure_domain: str
    source: random.Random
    choose: Chooser = choose
    policy: RoutePolicy = RoutePolicy()
    metrics: Metrics = NullMetrics()


class Attempts:
    """
    Chooses servers and retries before the first byte.

    :param parts: other parts.
    :param relay: relays one answer.
    """

    def __init__(self, parts: ChatParts, relay: Relay) -> None:
        self._parts = parts
        self._relay = relay
        self.retried = 0

    async def run(self, call: Call, run: ChatRun) -> None:
        """
        Relay an answer to a request that was admitted.

        :param call: the caller's request.
        :param run: its state.
        :raises RequestError: if there is no whole answer.
        :raises CallerGone: if the caller has gone.
        """
        failed: frozenset[str] = frozenset()
        error: EngineError | None = None
        server = await self._holder(run)
        while True:
            server = server or self._choose(run, failed)
            if server is None:
                raise self._no_server(run, error)
            run.retried += error is not None
            error = await self._try(call, run, server)
            if error is None:
                return
            failed |= {server.vm}
            if call.started:
                raise _failure(run, error)
            self._check_retry(run, error)
            server = None

    async def _holder(self, run: ChatRun) -> ServerState | None:
        request = run.request
        if request.first_attempt:
            return None
        found = await look_up(
            self._parts.engines,
            self._ranked(request, _KEYED_SERVERS),
            request.identity,
        )
        run.doubtful.extend(found.silent)
        return found.holder

    async def _try(
        self, call: Call, run: ChatRun, server: ServerState
    ) -> EngineError | None:
        backends = self._parts.backends
        backends.begin(server.vm)
        try:
            await self._relay.relay(call, run, server)
        except EngineError as error:
            _log.info('chat: {} failed: {}', server.vm, error)
            self._note_failure(run, server, error)
            return error
        finally:
            backends.end(server.vm)
        backends.succeeded(server.vm)
        return None

    def _choose(
        self, run: ChatRun, failed: frozenset[str]
    ) -> ServerState | None:
        parts = self._parts
        request = run.request
        if request.key:
            return self._choose_keyed(request, failed)
        snapshot = RouteSnapshot(
            tuple(parts.backends.servers(request.service.name)),
            parts.failure_domain,
            request.prefix,
            failed,
        )
        policy = parts.policy._replace(
            in_flight_per_server=request.service.in_flight_per_server
        )
        return parts.choose(snapshot, policy, parts.source)

    def _choose_keyed(
        self, request: ChatRequest, failed: frozenset[str]
    ) -> ServerState | None:
        # Nearly always one of the first is usable; all are described only
        # if none is.
        for most in (_KEYED_SERVERS, sys.maxsize):
            snapshot = RouteSnapshot(
                tuple(self._ranked(request, most)),
                self._parts.failure_domain,
                excluded=failed,
            )
            server = choose_keyed(snapshot, request.identity)
            if server is not None:
                return server
        return None

    def _ranked(self, request: ChatRequest, most: int) -> list[ServerState]:
        return self._parts.backends.ranked(
            request.service.name, request.identity, most
        )

    def _no_server(
        self, run: ChatRun, error: EngineError | None
    ) -> RequestError:
        if run.tried and error is not None:
            return _failure(run, error)
        service = run.request.service.name
        if error is None and self._parts.backends.usable(service):
            return RequestError('overloaded', f'all of {service} are full')
        return RequestError('no_server', f'{service} has no server')

    def _note_failure(
        self, run: ChatRun, server: ServerState, error: EngineError
    ) -> None:
        if not error.may_have_run:
            run.tried.remove(server)
        if error.code == 'engine_draining':
            self._parts.backends.draining(server.vm)
        elif error.kind.counts:
            silent = error.code == 'engine_silent'
            self._parts.backends.failed(server.vm, silent)

    def _check_retry(self, run: ChatRun, error: EngineError) -> None:
        if not error.kind.retryable:
            raise RequestError('invalid_request', error.message, run.outcome)
        # A refusal by a leaving server costs nothing and happens once per
        # server, so it takes nothing from the budget.
        free = error.code == 'engine_draining'
        if not free and not self._parts.retry_budget.take():
            raise _failure(run, error)
        self.retried += 1
        run.answering = None
        run.first_payer = ''


def _failure(run: ChatRun, error: EngineError) -> RequestError:
    # The message of the error names addresses, which callers don't see.
    return RequestError(
        'server_failed', f'no whole answer: {error.code}', run.outcome
    )
