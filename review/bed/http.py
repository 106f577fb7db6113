"""
Raw HTTP/1.1 for the scripts: a client, and a server stand-in that controls
every byte that it sends.
"""

import re
from typing import NamedTuple

import trio

_CHUNK = 65536


class Answer(NamedTuple):
    """What the client saw: status 0 without an answer; ``end`` is ``complete``,
    ``cut`` (in the answer), ``closed`` (no answer) or ``no connection``."""

    status: int
    headers: dict
    body: bytes
    end: str


class Request(NamedTuple):
    method: str
    target: str
    headers: dict
    body: bytes


class _Reader:
    def __init__(self, stream):
        self._stream = stream
        self.pending = b''

    async def more(self):
        try:
            got = await self._stream.receive_some(_CHUNK)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            got = b''
        self.pending += got
        return bool(got)

    async def line_block(self):
        """Read up to an empty line; ``None`` at the end of the connection."""
        while b'\r\n\r\n' not in self.pending:
            if not await self.more():
                return None
        head, _, self.pending = self.pending.partition(b'\r\n\r\n')
        return head

    async def line(self):
        while b'\r\n' not in self.pending:
            if not await self.more():
                return None
        line, _, self.pending = self.pending.partition(b'\r\n')
        return line

    async def exactly(self, count):
        """Read so many bytes; fewer at the end of the connection."""
        while len(self.pending) < count:
            if not await self.more():
                break
        got, self.pending = self.pending[:count], self.pending[count:]
        return got


def _parse_head(head):
    first, *lines = head.split(b'\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(b':')
        headers[name.strip().lower().decode('latin-1')] = value.strip().decode(
            'latin-1'
        )
    return first.decode('latin-1'), headers


class Connection:
    """A consumer's connection, kept open for several requests."""

    def __init__(self, stream):
        self._stream = stream
        self._reader = _Reader(stream)
        self.closed = False

    @classmethod
    async def open(cls, address):
        host, _, port = address.rpartition(':')
        with trio.fail_after(1):
            return cls(await trio.open_tcp_stream(host, int(port)))

    async def ask(self, method, target, headers, body=b'', limit_s=15):
        """Send a request and read its answer; the connection is closed if the
        answer isn't complete or says so."""
        lines = [f'{method} {target} HTTP/1.1'.encode()]
        lines += [f'{k}: {v}'.encode('latin-1') for k, v in headers.items()]
        if body or method == 'POST':
            lines.append(b'content-length: %d' % len(body))
        answer = Answer(0, {}, b'', 'timeout')
        with trio.move_on_after(limit_s):
            try:
                await self._stream.send_all(
                    b'\r\n'.join(lines) + b'\r\n\r\n' + body
                )
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                answer = Answer(0, {}, b'', 'closed')
            else:
                answer = await self._read()
        if answer.end != 'complete' or answer.headers.get('connection') == 'close':
            await self.close()
        return answer

    async def _read(self):
        head = await self._reader.line_block()
        if head is None:
            return Answer(0, {}, b'', 'closed')
        first, headers = _parse_head(head)
        status = int(first.split()[1])
        if 'content-length' in headers:
            length = int(headers['content-length'])
            body = await self._reader.exactly(length)
            end = 'complete' if len(body) == length else 'cut'
            return Answer(status, headers, body, end)
        if headers.get('transfer-encoding') != 'chunked':
            return Answer(status, headers, b'', 'complete')
        body = b''
        while True:
            line = await self._reader.line()
            if line is None or not re.fullmatch(rb'[0-9a-fA-F]+.*', line):
                return Answer(status, headers, body, 'cut')
            size = int(line.split(b';')[0], 16)
            chunk = await self._reader.exactly(size + 2)
            body += chunk[:size]
            if len(chunk) < size + 2:
                return Answer(status, headers, body, 'cut')
            if not size:
                return Answer(status, headers, body, 'complete')

    async def close(self):
        self.closed = True
        await trio.aclose_forcefully(self._stream)


async def ask_once(address, method, target, headers, body=b'', limit_s=15):
    """Send one request on a new connection."""
    try:
        connection = await Connection.open(address)
    except (OSError, trio.TooSlowError):
        return Answer(0, {}, b'', 'no connection')
    try:
        return await connection.ask(method, target, headers, body, limit_s)
    finally:
        with trio.CancelScope(shield=True):
            await connection.close()


class Server:
    """
    HTTP server stand-in; ``handle(request, send)`` writes the raw answer with
    ``send`` and returns whether the connection is kept.
    """

    def __init__(self, handle):
        self._handle = handle
        self.address = ''

    async def start(self, nursery, host='127.0.0.1', port=0):
        listeners = await trio.open_tcp_listeners(port, host=host)
        name = listeners[0].socket.getsockname()
        self.address = f'{name[0]}:{name[1]}'
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream):
        reader = _Reader(stream)
        try:
            while True:
                head = await reader.line_block()
                if head is None:
                    return
                first, headers = _parse_head(head)
                method, target, _ = first.split(' ')
                body = await reader.exactly(int(headers.get('content-length', 0)))
                request = Request(method, target, headers, body)
                if not await self._handle(request, stream.send_all):
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
