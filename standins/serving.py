"""
standins.serving
~~~~~~~~~~~~~~~~

Start convention and small helpers that the stand-ins share.
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
    """The body of an admin call can't be understood."""


class Standin(Protocol):
    """What all stand-ins have in common."""

    @property
    def address(self) -> str:
        """Where it listens, as ``ip:port``."""

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """Listen, and run in the nursery."""


class HttpStandin:
    """
    A stand-in that answers HTTP requests.

    :param handler: answers each request.
    :param transport: how connections are accepted.
    """

    def __init__(self, handler: Handler, transport: Transport = TCP) -> None:
        self._server = HttpServer(handler, transport=transport)

    @property
    def address(self) -> str:
        """Where it listens, as ``ip:port``."""
        return self._server.address

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """
        Listen in the background.

        :param nursery: where connections run.
        :param host: IP address to bind.
        :param port: port, or 0 for any free one.
        """
        await self._server.start(nursery, host, port)

    async def close(self) -> None:
        """Stop listening and cut all connections; the state is kept."""
        await self._server.close()


def serve_forever(standin: Standin, host: str, port: int) -> None:
    """
    Run a stand-in in this process until it is killed.

    Prints ``{"address": "ip:port"}`` on a line once it listens.

    :param standin: what to run.
    :param host: IP address to bind.
    :param port: port, or 0 for any free one.
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
    Decode the JSON body of an admin call that changes some settings.

    :param body: JSON object with any of the fields.
    :param kind: struct with all fields, each optional by ``UNSET``.
    :returns: the given fields by name.
    :raises BadAdminCall: if a field is unknown or has another type.
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
    Answer with JSON, or without a body if the method is HEAD.

    :param call: what to answer.
    :param content: anything that msgspec encodes.
    :param status: HTTP status.
    """
    body = b'' if call.method == 'HEAD' else msgspec.json.encode(content)
    await call.respond(status, body)


async def respond_error(
    call: Call, status: int, code: str, message: str
) -> None:
    """
    Answer with an error.

    :param call: what to answer.
    :param status: HTTP status.
    :param code: stable identifier.
    :param message: one plain sentence.
    """
    error = {'code': code, 'message': message}
    await respond_json(call, {'error': error}, status)
