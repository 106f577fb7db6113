"""
standins.plain_service
~~~~~~~~~~~~~~~~~~~~~~

Stand-in for a plain service that accepts any path and counts executions.
"""

import argparse
import collections
import sys
from typing import Any, Final

import trio

from eelgrassfork.http_server import Call, CallerDisconnected
from eelgrassfork.process_signals import ProcessSignals
from eelgrassfork.transport import TCP, Transport

from .server_faults import FaultInjector, FaultsBody
from .serving import (
    HttpStandin,
    InvalidAdminRequest,
    admin_fields,
    respond_error,
    respond_json,
    serve_until_stopped,
)

__all__ = ('PlainServiceStandin',)

_LOOK_UPS: Final = frozenset(('GET', 'HEAD'))


class PlainServiceStandin(HttpStandin):
    """
    A plain service in this process.

    It completes a request even if the caller disconnects meanwhile.

    :param work_s: duration of an execution in seconds.
    :param transport: transport that accepts connections.
    :ivar fault_injector: active faults.
    :ivar count_by_request_id: number of executions by ``X-Request-Id``.
    :ivar count_by_key: number of executions by ``Idempotency-Key``.
    :ivar orders: number of executions other than GET and HEAD.
    """

    def __init__(self, work_s: float = 0, transport: Transport = TCP) -> None:
        super().__init__(self._serve, transport)
        self.fault_injector = FaultInjector()
        self.count_by_request_id: collections.Counter[str] = (
            collections.Counter()
        )
        self.count_by_key: collections.Counter[str] = collections.Counter()
        self.orders = 0
        self.look_ups = 0
        self._work_s = work_s

    def set_faults(self, **changes: Any) -> None:
        """
        Update active faults.

        :param changes: new values of fields of
            :class:`~standins.server_faults.FaultsBody`.
        """
        self.fault_injector.change(**changes)

    def executions(self) -> dict[str, Any]:
        """
        Return the numbers of executions.

        :returns: totals and counts by request identity and idempotency key.
        """
        return {
            'orders': self.orders,
            'look_ups': self.look_ups,
            'by_request_id': self.count_by_request_id,
            'by_key': self.count_by_key,
        }

    async def _serve(self, call: Call) -> None:
        self.fault_injector.track_connection(call)
        if call.path == '/admin/executions':
            await respond_json(call, self.executions())
        elif call.path == '/admin/faults':
            await self._admin_faults(call)
        else:
            await self._answer(call)

    async def _answer(self, call: Call) -> None:
        faults = self.fault_injector.faults
        call.request_id = call.headers_by_name.get(
            'x-request-id', call.request_id
        )
        if faults.cut_before:
            raise CallerDisconnected
        if faults.fail:
            await respond_error(call, 500, 'service_failed', 'injected fault')
            return
        await trio.sleep(self._work_s * faults.slow_factor)
        self._execute(call)
        if faults.cut_after:
            raise CallerDisconnected
        answer = {
            'method': call.method,
            'target': call.target,
            'request_id': call.request_id,
            'body': call.body.decode('utf-8', 'replace'),
            'number': self.orders,
        }
        await self.fault_injector.apply_to_response(call)
        await respond_json(call, answer)

    def _execute(self, call: Call) -> None:
        self.count_by_request_id[call.request_id] += 1
        key = call.headers_by_name.get('idempotency-key')
        if key is not None:
            self.count_by_key[key] += 1
        if call.method in _LOOK_UPS:
            self.look_ups += 1
        else:
            self.orders += 1

    async def _admin_faults(self, call: Call) -> None:
        try:
            self.set_faults(**admin_fields(call.body, FaultsBody))
        except (InvalidAdminRequest, ValueError) as error:
            await respond_error(call, 400, 'bad_call', str(error))
            return
        await respond_json(call, {})


def run(signals: ProcessSignals) -> int:
    """
    Run a plain service until it is stopped.

    :param signals: signals received by this process.
    :returns: exit code.
    """
    parser = argparse.ArgumentParser(description='Stand-in for a service.')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--work-ms', type=float, default=0)
    options = parser.parse_args(sys.argv[2:])
    standin = PlainServiceStandin(options.work_ms / 1000)
    return serve_until_stopped(standin, options.host, options.port, signals)
