"""
standins.serving
~~~~~~~~~~~~~~~~

Start-up convention and response helpers shared by the stand-ins.
"""

import sys
from typing import Any, Final, Protocol

import msgspec
import trio

from eelgrassfork.http_server import Call, Handler, HttpServer
from eelgrassfork.process_signals import ProcessSignals
from eelgrassfork.signal_dispatcher import SignalDispatcher
from eelgrassfork.transport import TCP, Transport

__all__ = (
    'InvalidAdminRequest',
    'HttpStandin',
    'Standin',
    'admin_fields',
    'respond_error',
    'respond_json',
    'serve_until_stopped',
)

_DRAIN_TIMEOUT_S: Final = 10.0
_DRAIN_POLL_INTERVAL_S: Final = 0.02


class InvalidAdminRequest(Exception):
    """The body of an admin request is invalid."""


class Standin(Protocol):
    """Interface of all stand-ins."""

    @property
    def address(self) -> str:
        """Listening address, as ``ip:port``."""

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """Listen and serve in the nursery."""

    async def drain(self, timeout_s: float) -> None:
        """Stop listening and finish the requests in progress."""


class HttpStandin:
    """
    A stand-in that serves HTTP.

    :param handler: handler of each request.
    :param transport: transport that accepts connections.
    """

    def __init__(self, handler: Handler, transport: Transport = TCP) -> None:
        self._server = HttpServer(handler, transport=transport)

    @property
    def address(self) -> str:
        """Listening address, as ``ip:port``."""
        return self._server.address

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """
        Listen in the background.

        :param nursery: nursery of the connection tasks.
        :param host: IP address to bind.
        :param port: port, or 0 for any free port.
        """
        await self._server.start(nursery, host, port)

    async def drain(self, timeout_s: float) -> None:
        """
        Stop listening and finish the requests in progress.

        :param timeout_s: longest wait for them, in seconds.
        """
        self._server.stop_accepting()
        with trio.move_on_after(timeout_s):
            while self._server.active_requests:
                await trio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Stop listening and abort all connections; the state is kept."""
        await self._server.close()


def serve_until_stopped(
    standin: Standin, host: str, port: int, signals: ProcessSignals
) -> int:
    """
    Run a stand-in in this process until a stop signal.

    Prints ``{"address": "ip:port"}`` on a line once it is listening.

    :param standin: the stand-in.
    :param host: IP address to bind.
    :param port: port, or 0 for any free port.
    :param signals: signals received by this process.
    :returns: exit code.
    """

    async def main() -> None:
        dispatcher = SignalDispatcher(signals, _do_nothing)
        async with trio.open_nursery() as nursery:
            await dispatcher.start(nursery)
            if not dispatcher.is_stopping:
                await standin.start(nursery, host, port)
                line = msgspec.json.encode({'address': standin.address})
                sys.stdout.write(f'{line.decode()}\n')
                sys.stdout.flush()
                dispatcher.phase = 'serving'
                await dispatcher.wait_stop()
                dispatcher.phase = 'draining'
                await standin.drain(_DRAIN_TIMEOUT_S)
            dispatcher.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return 0


def admin_fields(body: bytes, kind: type[msgspec.Struct]) -> dict[str, Any]:
    """
    Decode the JSON body of an admin request that updates settings.

    :param body: JSON object with any of the fields.
    :param kind: struct type whose fields all default to ``UNSET``.
    :returns: values of the fields that are set, by name.
    :raises InvalidAdminRequest: if a field is unknown or has the wrong type.
    """
    try:
        decoded = msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise InvalidAdminRequest(str(error)) from None
    return {
        name: field
        for name, field in msgspec.structs.asdict(decoded).items()
        if field is not msgspec.UNSET
    }


async def respond_json(call: Call, content: object, status: int = 200) -> None:
    """
    Send a JSON response, without a body if the method is HEAD.

    :param call: the request.
    :param content: content that msgspec can encode.
    :param status: HTTP status.
    """
    body = b'' if call.method == 'HEAD' else msgspec.json.encode(content)
    await call.respond(status, body)


async def respond_error(
    call: Call, status: int, code: str, message: str
) -> None:
    """
    Send an error response.

    :param call: the request.
    :param status: HTTP status.
    :param code: stable error code.
    :param message: human-readable description.
    """
    error = {'code': code, 'message': message}
    await respond_json(call, {'error': error}, status)


def _do_nothing() -> None:
    """Do nothing."""
