"""
eelgrassfork.front
~~~~~~~~~~~~~~~~~~

Caller listener: authentication, routing, error responses and access log.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import logbook
import msgspec
import trio

from .access import authenticate
from .bundle_types import Bundle, Caller
from .claim_records import refusal
from .errors import RequestError
from .http_server import Call, CallerDisconnected
from .logs import request_context
from .metrics import Metrics

__all__ = ('CallerHandler', 'Front', 'FrontParts')

_log = logbook.Logger('front')

CallerHandler = Callable[[Call, Caller], Awaitable[None]]

_OK: Final = 200
_UNAVAILABLE: Final = 503
_CALLER_GONE: Final = 499
_MS: Final = 1000
_CREDIT_CODES: Final = frozenset(
    ('budget_exhausted', 'credit_held_elsewhere', 'credit_unreachable')
)
_MAX_PATH_CHARACTERS: Final = 200
_SERVICES_PREFIX: Final = '/services/'


class FrontParts(NamedTuple):
    """
    Dependencies of the caller listener.

    :param fleet: the router's fleet.
    :param bundle: returns the configuration in force.
    :param unready: returns the reason why this router is not ready for new
        requests, or an empty string if it is.
    :param is_draining: returns whether a drain has begun.
    :param refuses_new: returns whether new requests are refused, because
        the grace period of the load balancer is over.
    :param chat: handler of chat completions.
    :param models: handler of the model list.
    :param plain: handler of plain calls.
    :param issue_key: issues an idempotency key for an organisation.
    :param metrics: receives request metrics.
    """

    fleet: str
    bundle: Callable[[], Bundle | None]
    unready: Callable[[], str]
    is_draining: Callable[[], bool]
    refuses_new: Callable[[], bool]
    chat: CallerHandler
    models: CallerHandler
    plain: CallerHandler
    issue_key: Callable[[str], str]
    metrics: Metrics


class _Route(NamedTuple):
    name: str
    method: str
    serve: CallerHandler


class _Progress:
    """State of a request for its access log line and metrics."""

    def __init__(self) -> None:
        self.started_at = trio.current_time()
        self.route = 'none'
        self.caller: Caller | None = None
        self.error: RequestError | None = None
        self.caller_gone = False

    def status(self, call: Call) -> int:
        if self.caller_gone:
            return _CALLER_GONE
        return call.status or 0


class Front:
    """
    Request handler of the caller listener.

    :param parts: dependencies.
    """

    def __init__(self, parts: FrontParts) -> None:
        self._parts = parts
        self._routes_by_path = {
            '/v1/chat/completions': _Route('chat', 'POST', parts.chat),
            '/v1/models': _Route('models', 'GET', parts.models),
            '/v1/idempotency-keys': _Route('keys', 'POST', self._issue_key),
        }
        self._services = _Route('services', '', parts.plain)

    async def serve(self, call: Call) -> None:
        """
        Answer a request.

        :param call: the request.
        :raises CallerDisconnected: if the caller disconnected before the end.
        """
        if call.path == '/healthz':
            await self._respond_health(call)
            return
        progress = _Progress()
        with request_context(call.request_id):
            try:
                await self._answer(call, progress)
            except CallerDisconnected:
                progress.caller_gone = True
                raise
            finally:
                self._report(call, progress)

    async def _respond_health(self, call: Call) -> None:
        reason = self._parts.unready()
        if self._parts.is_draining():
            reason = reason or 'draining'
        body = msgspec.json.encode({'ready': not reason, 'reason': reason})
        await call.respond(_UNAVAILABLE if reason else _OK, body)

    async def _answer(self, call: Call, progress: _Progress) -> None:
        try:
            await self._dispatch(call, progress)
        except RequestError as error:
            progress.error = error
        except CallerDisconnected:
            raise
        except Exception:
            _log.exception(
                'front: unhandled exception in request {}', call.request_id
            )
            progress.error = RequestError(
                'internal_error', 'internal error of the router', 'unknown'
            )
        if progress.error is None:
            return
        if call.started:
            # The connection is reset, so that the caller detects that the
            # answer is incomplete.
            await call.abort()
        else:
            await call.fail(progress.error)

    async def _dispatch(self, call: Call, progress: _Progress) -> None:
        headers = call.headers_by_name
        route = self._find_route(call)
        progress.route = route.name if route else 'none'
        bundle = self._check_ready(call)
        progress.caller = authenticate(bundle, headers, self._parts.fleet)
        if route is None:
            raise RequestError('unknown_service', 'no such path')
        if route.method not in {'', call.method}:
            raise RequestError(
                'invalid_request',
                f'method not allowed: this path accepts {route.method} only',
            )
        await route.serve(call, progress.caller)

    def _check_ready(self, call: Call) -> Bundle:
        headers = call.headers_by_name
        reason = self._parts.unready()
        bundle = self._parts.bundle()
        if reason or bundle is None:
            message = reason or 'no bundle has been loaded yet'
            raise refusal('not_ready', message, headers)
        if self._parts.refuses_new():
            raise refusal('draining', 'the router is shutting down', headers)
        return bundle

    def _find_route(self, call: Call) -> _Route | None:
        if call.path.startswith(_SERVICES_PREFIX):
            return self._services
        return self._routes_by_path.get(call.path)

    async def _issue_key(self, call: Call, caller: Caller) -> None:
        if self._parts.is_draining():
            # A key can't be used after its issuer has stopped.
            raise refusal(
                'draining', 'the router is shutting down', call.headers_by_name
            )
        key = self._parts.issue_key(caller.organisation.name)
        await call.respond(_OK, msgspec.json.encode({'key': key}))

    def _report(self, call: Call, progress: _Progress) -> None:
        caller = progress.caller
        error = progress.error
        fleet = caller.fleet if caller else ''
        status = progress.status(call)
        duration_ms = (trio.current_time() - progress.started_at) * _MS
        metrics = self._parts.metrics
        metrics.count('requests', fleet, progress.route, str(status))
        metrics.timing(
            'request_ms', fleet, progress.route, milliseconds=duration_ms
        )
        if error is not None:
            metrics.count('refusals', fleet, error.code, error.outcome)
            if caller is not None and error.code in _CREDIT_CODES:
                metrics.count(
                    'credit_refusals',
                    fleet,
                    caller.organisation.name,
                    error.code,
                )
        _log.info(
            'front: {} {} -> {} in {:.0f} ms for {}{}',
            call.method,
            call.target.partition('?')[0][:_MAX_PATH_CHARACTERS],
            status,
            duration_ms,
            caller.budget if caller else 'nobody',
            f', {error.code}, outcome {error.outcome}' if error else '',
        )
