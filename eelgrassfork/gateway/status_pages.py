"""
eelgrassfork.gateway.status_pages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the load balancer and operators read from a router.
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
    Handlers of the readiness and the metrics listener.

    :param telemetry: metrics.
    :param is_ready: whether callers should be sent here.
    :param dump: describes the state of the process.
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
        Answer the load balancer.

        :param call: its check.
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

        :param call: a read of ``/metrics`` or ``/state``.
        :raises RequestError: ``unknown_route`` for another path.
        """
        if call.path == '/metrics':
            await call.respond(HTTPStatus.OK, self._telemetry.render(), _TEXT)
        elif call.path == '/state':
            body = msgspec.json.encode(self._dump())
            await call.respond(HTTPStatus.OK, body, _JSON)
        else:
            raise RequestError('unknown_route', 'try /metrics or /state')
