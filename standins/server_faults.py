"""
standins.server_faults
~~~~~~~~~~~~~~~~~~~~~~

Fault injection for backend servers: withheld, delayed or altered responses.
"""

import weakref
from typing import Any, NamedTuple

import msgspec
import trio

from eelgrassfork.http_server import Call, CallerDisconnected

__all__ = ('FaultInjector', 'FaultsBody', 'ServerFaults')


class ServerFaults(NamedTuple):
    """
    Active faults of a backend server.

    :param silent: requests are accepted but never answered.
    :param fail: requests are rejected with 500 and have no effect.
    :param wrong_identity: responses carry another ``X-Request-Id``.
    :param late_ms: delay of each response, in ms, after the request took
        effect.
    :param slow_factor: factor on processing times.
    :param silent_after_events: number of events after which a stream stalls.
    :param cut_after_events: number of events after which a stream's
        connection is aborted.
    :param ignore_cap: the engine ignores the limit on completion tokens.
    :param cut_before: the connection is aborted before the request takes
        effect.
    :param cut_after: the connection is aborted after the request took effect.
    """

    silent: bool = False
    fail: bool = False
    wrong_identity: bool = False
    late_ms: float = 0
    slow_factor: float = 1
    silent_after_events: int | None = None
    cut_after_events: int | None = None
    ignore_cap: bool = False
    cut_before: bool = False
    cut_after: bool = False


class FaultsBody(msgspec.Struct, forbid_unknown_fields=True):
    """
    Body of ``POST /admin/faults``; omitted fields keep their value.

    :ivar silence_open: currently open connections are silenced permanently;
        new ones work.
    """

    silent: bool | msgspec.UnsetType = msgspec.UNSET
    fail: bool | msgspec.UnsetType = msgspec.UNSET
    wrong_identity: bool | msgspec.UnsetType = msgspec.UNSET
    late_ms: float | msgspec.UnsetType = msgspec.UNSET
    slow_factor: float | msgspec.UnsetType = msgspec.UNSET
    silent_after_events: int | None | msgspec.UnsetType = msgspec.UNSET
    cut_after_events: int | None | msgspec.UnsetType = msgspec.UNSET
    ignore_cap: bool | msgspec.UnsetType = msgspec.UNSET
    cut_before: bool | msgspec.UnsetType = msgspec.UNSET
    cut_after: bool | msgspec.UnsetType = msgspec.UNSET
    silence_open: bool | msgspec.UnsetType = msgspec.UNSET


class FaultInjector:
    """Applies the active faults of one server to its connections."""

    def __init__(self) -> None:
        self.faults = ServerFaults()
        self._seen: weakref.WeakSet[object] = weakref.WeakSet()
        self._silenced: weakref.WeakSet[object] = weakref.WeakSet()

    def change(self, silence_open: bool = False, **changes: Any) -> None:
        """
        Update active faults.

        :param silence_open: permanently silence the connections that are open
            now.
        :param changes: new values of fields of :class:`ServerFaults`.
        :raises ValueError: if a field is unknown.
        """
        self.faults = self.faults._replace(**changes)
        if silence_open:
            self._silenced.update(self._seen)

    def track_connection(self, call: Call) -> None:
        """
        Register the connection of a received request.

        :param call: the request.
        """
        self._seen.add(call._connection)

    async def hold_back_bytes(self, call: Call) -> None:
        """
        Block while the connection is silenced.

        :param call: the request being answered.
        :raises CallerDisconnected: once the caller has disconnected.
        """
        if self.faults.silent or call._connection in self._silenced:
            await call.disconnected.wait()
            raise CallerDisconnected

    async def apply_to_response(self, call: Call) -> None:
        """
        Apply faults before a complete response or the start of a stream.

        :param call: the request being answered.
        :raises CallerDisconnected: if the caller must not get a response.
        """
        await self.hold_back_bytes(call)
        await trio.sleep(self.faults.late_ms / 1000)
        if self.faults.wrong_identity:
            call.request_id = f'{call.request_id}-crossed'

    async def apply_to_event(self, call: Call, sent: int) -> None:
        """
        Apply stream faults before the next event.

        :param call: the request being answered.
        :param sent: number of events sent on this connection.
        :raises CallerDisconnected: if the stream must end here.
        """
        if sent == self.faults.cut_after_events:
            raise CallerDisconnected
        if sent == self.faults.silent_after_events:
            await call.disconnected.wait()
            raise CallerDisconnected
        await self.hold_back_bytes(call)
