"""
eelgrassfork.gateway.status_pages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Readiness check, metrics and state dump of a router.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import logbook
import msgspec

from ..errors import RequestError
from ..http_server import Call
from .telemetry import Telemetry

__all__ = ('StatusPages',)

_log = logbook.Logger('ready')

_TEXT: Final = (('content-type', 'text/plain; charset=utf-8'),)
_JSON: Final = (('content-type', 'application/json'),)


class StatusPages:
    """
    Request handlers of the readiness and the metrics listener.

    :param telemetry: metrics of the router.
    :param is_ready: returns whether the load balancer should send requests to
        this router.
    :param dump: returns the state of the process.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        is_ready: Callable[[], bool],
        dump: Callable[[], dict[str, object]],
    ) -> None:
        self._telemetry = telemetry
        self._is_ready = is_ready
        self._dump = dump
        self._was_ready = False

    async def serve_readiness(self, call: Call) -> None:
        """
        Answer a health check of the load balancer with 200 or 503.

        :param call: the health check.
        """
        is_ready = self._is_ready()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            _log.info('readiness changed', extra={'ready': is_ready})
        if is_ready:
            await call.respond(HTTPStatus.OK, b'ready\n', _TEXT)
        else:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            await call.respond(status, b'not ready\n', _TEXT)

    async def serve_metrics(self, call: Call) -> None:
        """
        Serve metrics and the state dump.

        :param call: a request for ``/metrics`` or ``/state``.
        :raises RequestError: ``unknown_route`` for another path.
        """
        if call.path == '/metrics':
            await call.respond(HTTPStatus.OK, self._telemetry.render(), _TEXT)
        elif call.path == '/state':
            body = msgspec.json.encode(self._dump())
            await call.respond(HTTPStatus.OK, body, _JSON)
        else:
            raise RequestError(
                'unknown_route', 'unknown path; use /metrics or /state'
            )
