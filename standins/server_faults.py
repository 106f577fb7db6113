"""
standins.server_faults
~~~~~~~~~~~~~~~~~~~~~~

Faults of backend servers that hold back, delay or mix up answers.
"""

import weakref
from typing import Any, NamedTuple

import msgspec
import trio

from eelgrassfork.http_server import Call, CallerDisconnected

__all__ = ('FaultInjector', 'FaultsBody', 'ServerFaults')


class ServerFaults(NamedTuple):
    """
    Faults in force.

    :param silent: requests are taken but never answered.
    :param fail: requests are refused with 500 and have no effect.
    :param wrong_identity: answers carry another ``X-Request-Id``.
    :param late_ms: delay of each answer after its effect.
    :param slow_factor: factor on the time that work takes.
    :param silent_after_events: streams stop after so many events.
    :param cut_after_events: streams break after so many events.
    :param ignore_cap: the engine exceeds the cap on completion tokens.
    :param cut_before: the connection breaks before an effect.
    :param cut_after: the connection breaks after the effect.
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
    Body of ``POST /admin/faults``; fields left out stay as they are.

    :ivar silence_open: connections open now stay silent for good, while
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
    """Faults of one server and the connections that it silenced."""

    def __init__(self) -> None:
        self.faults = ServerFaults()
        self._seen: weakref.WeakSet[object] = weakref.WeakSet()
        self._silenced: weakref.WeakSet[object] = weakref.WeakSet()

    def change(self, silence_open: bool = False, **changes: Any) -> None:
        """
        Change some faults.

        :param silence_open: silence the connections open now, for good.
        :param changes: fields of :class:`ServerFaults`.
        :raises ValueError: if there is no such fault.
        """
        self.faults = self.faults._replace(**changes)
        if silence_open:
            self._silenced.update(self._seen)

    def track_connection(self, call: Call) -> None:
        """
        Note a request that arrived.

        :param call: the request.
        """
        self._seen.add(call._connection)

    async def hold_back_bytes(self, call: Call) -> None:
        """
        Hold back bytes of an answer on a silenced connection.

        :param call: what is about to be answered.
        :raises CallerDisconnected: once the caller has given up.
        """
        if self.faults.silent or call._connection in self._silenced:
            await call.disconnected.wait()
            raise CallerDisconnected

    async def apply_to_response(self, call: Call) -> None:
        """
        Apply the faults of a whole answer or of the start of a stream.

        :param call: what is about to be answered.
        :raises CallerDisconnected: if the caller is to get no answer.
        """
        await self.hold_back_bytes(call)
        await trio.sleep(self.faults.late_ms / 1000)
        if self.faults.wrong_identity:
            call.request_id = f'{call.request_id}-crossed'

    async def apply_to_event(self, call: Call, sent: int) -> None:
        """
        Apply the faults of a stream before its next event.

        :param call: what is being answered.
        :param sent: events sent on this connection so far.
        :raises CallerDisconnected: if the stream is to end here.
        """
        if sent == self.faults.cut_after_events:
            raise CallerDisconnected
        if sent == self.faults.silent_after_events:
            await call.disconnected.wait()
            raise CallerDisconnected
        await self.hold_back_bytes(call)
