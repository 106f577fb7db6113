"""
eelgrassfork.gateway.status_pages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Readiness check, metrics, state dump and operators' calls of a router.
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
_LIFT_PATH: Final = '/quarantine/lift'
_JSON: Final = (('content-type', 'application/json'),)


class StatusPages:
    """
    Request handlers of the readiness and the metrics listener.

    :param telemetry: metrics of the router.
    :param is_ready: returns whether the load balancer should send requests to
        this router.
    :param dump: returns the state of the process.
    :ivar lift: lifts the quarantine of a part of a prompt, by service and id;
        returns whether the part was suspect.
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
        self.lift: Callable[[str, str], bool] = _lift_nothing

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
        Serve metrics and the state dump, and lift the quarantine of a part.

        :param call: a request for ``/metrics`` or ``/state``, or a ``POST`` to
            ``/quarantine/lift`` with ``service`` and ``part`` in the query.
        :raises RequestError: ``unknown_route`` for another path or method.
        """
        if call.path == '/metrics':
            await call.respond(HTTPStatus.OK, self._telemetry.render(), _TEXT)
        elif call.path == '/state':
            body = msgspec.json.encode(self._dump())
            await call.respond(HTTPStatus.OK, body, _JSON)
        elif call.path == _LIFT_PATH and call.method == 'POST':
            query = call.query_by_name
            lifted = self.lift(query.get('service', ''), query.get('part', ''))
            body = msgspec.json.encode({'lifted': lifted})
            await call.respond(HTTPStatus.OK, body, _JSON)
        else:
            raise RequestError(
                'unknown_route',
                f'unknown path; use /metrics, /state or POST {_LIFT_PATH}',
            )


def _lift_nothing(service: str, part_id: str) -> bool:
    return False
