"""
standins.serving
~~~~~~~~~~~~~~~~

Start-up convention and response helpers shared by the stand-ins.
"""

import sys
from typing import Any, Protocol

import msgspec
import trio

from eelgrassfork.http_server import Call, Handler, HttpServer
from eelgrassfork.transport import TCP, Transport

__all__ = (
    'InvalidAdminRequest',
    'HttpStandin',
    'Standin',
    'admin_fields',
    'respond_error',
    'respond_json',
    'serve_forever',
)


class InvalidAdminRequest(Exception):
    """The body of an admin request is invalid."""


class Standin(Protocol):
    """Interface of all stand-ins."""

    @property
    def address(self) -> str:
        """Listening address, as ``ip:port``."""

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """Listen and serve in the nursery."""


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

    async def close(self) -> None:
        """Stop listening and abort all connections; the state is kept."""
        await self._server.close()


def serve_forever(standin: Standin, host: str, port: int) -> None:
    """
    Run a stand-in in this process until it is killed.

    Prints ``{"address": "ip:port"}`` on a line once it is listening.

    :param standin: the stand-in.
    :param host: IP address to bind.
    :param port: port, or 0 for any free port.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await standin.start(nursery, host, port)
            line = msgspec.json.encode({'address': standin.address})
            sys.stdout.write(f'{line.decode()}\n')
            sys.stdout.flush()

    try:
        trio.run(main)
    except KeyboardInterrupt:
        sys.stdout.flush()


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
