"""
eelgrassfork.chat_attempts
~~~~~~~~~~~~~~~~~~~~~~~~~~

Retry loop of chat requests: server choice, failover and error mapping.
"""

import random
import sys
from collections.abc import Callable
from typing import Final, NamedTuple

import logbook

from .backends import Backends
from .bundle_types import Bundle
from .chat_lookup import find_earlier_attempt
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

# More than the look-up of an earlier attempt queries, and more than usually
# fail at the same time.
_KEYED_SERVERS: Final = 8


class ChatParts(NamedTuple):
    """
    Dependencies of chat requests.

    :param bundle: returns the bundle in force, ``None`` before the first.
    :param failure_domain: failure domain of this router.
    :param source: random source of jitter and tie-breaking.
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
    Chooses servers, and retries until the first byte of the answer.

    :param parts: dependencies.
    :param relay: relays the answer of one server.
    """

    def __init__(self, parts: ChatParts, relay: Relay) -> None:
        self._parts = parts
        self._relay = relay
        self.retry_count = 0

    async def run(self, call: Call, run: ChatRun) -> None:
        """
        Run an admitted request and relay its answer.

        :param call: the caller's request.
        :param run: its state.
        :raises RequestError: if there is no complete answer.
        :raises CallerDisconnected: if the caller disconnected.
        """
        failed: frozenset[str] = frozenset()
        error: EngineError | None = None
        server = await self._find_earlier_server(run)
        while True:
            server = server or self._choose(run, failed)
            if server is None:
                raise self._no_server_error(run, error)
            run.retry_count += error is not None
            error = await self._try_server(call, run, server)
            if error is None:
                return
            failed |= {server.vm}
            if call.started:
                raise _server_failed(run, error)
            self._check_retry(run, error)
            server = None

    async def _find_earlier_server(self, run: ChatRun) -> ServerState | None:
        request = run.request
        if request.first_attempt:
            return None
        found = await find_earlier_attempt(
            self._parts.engines,
            self._ranked_servers(request, _KEYED_SERVERS),
            request.identity,
        )
        run.uncertain_servers.extend(found.unreachable)
        return found.server

    async def _try_server(
        self, call: Call, run: ChatRun, server: ServerState
    ) -> EngineError | None:
        backends = self._parts.backends
        backends.request_started(server.vm)
        try:
            await self._relay.relay(call, run, server)
        except EngineError as error:
            _log.info('chat: request to server {} failed: {}', server.vm, error)
            self._note_failure(run, server, error)
            return error
        finally:
            backends.request_ended(server.vm)
        backends.record_success(server.vm)
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
        # One of the first servers is nearly always usable, so that the
        # states of all are built only if none of them is.
        for limit in (_KEYED_SERVERS, sys.maxsize):
            snapshot = RouteSnapshot(
                tuple(self._ranked_servers(request, limit)),
                self._parts.failure_domain,
                excluded=failed,
            )
            server = choose_keyed(snapshot, request.identity)
            if server is not None:
                return server
        return None

    def _ranked_servers(
        self, request: ChatRequest, limit: int
    ) -> list[ServerState]:
        return self._parts.backends.rank(
            request.service.name, request.identity, limit
        )

    def _no_server_error(
        self, run: ChatRun, error: EngineError | None
    ) -> RequestError:
        if run.tried_servers and error is not None:
            return _server_failed(run, error)
        service = run.request.service.name
        if error is None and self._parts.backends.count_usable(service):
            return RequestError(
                'overloaded', f'all backend servers of {service} are full'
            )
        return RequestError(
            'no_server', f'no backend server is available for {service}'
        )

    def _note_failure(
        self, run: ChatRun, server: ServerState, error: EngineError
    ) -> None:
        if not error.may_have_run:
            run.tried_servers.remove(server)
        if error.code == 'engine_draining':
            self._parts.backends.mark_draining(server.vm)
        elif error.kind.counts_as_failure:
            silent = error.code == 'engine_silent'
            self._parts.backends.record_failure(server.vm, silent)

    def _check_retry(self, run: ChatRun, error: EngineError) -> None:
        if not error.kind.retryable:
            raise RequestError('invalid_request', error.message, run.outcome)
        # A draining server refuses at no cost, and only once, so that such
        # a retry is not charged to the retry budget.
        is_free = error.code == 'engine_draining'
        if not is_free and not self._parts.retry_budget.take():
            raise _server_failed(run, error)
        self.retry_count += 1
        run.answering_server = None
        run.answer_payer = ''


def _server_failed(run: ChatRun, error: EngineError) -> RequestError:
    # The engine error's message contains internal addresses, which are not
    # shown to callers.
    return RequestError(
        'server_failed', f'no complete answer: {error.code}', run.outcome
    )
