"""
standins.replica
~~~~~~~~~~~~~~~~

Stand-in for a backend server of the users' platform, with scripted behaviour.
"""

import trio

from eelgrassfork.gateway.records import Headers
from eelgrassfork.http_server import Call

from .serving import HttpStandin

__all__ = ('Replica',)

# Longer than the pause between events that callers of a stream expect.
_SLOW_PAUSE_S = 0.3


class Replica(HttpStandin):
    """
    Answers requests according to a script.

    A script is a list of behaviours, one per request; the last one repeats:
    ``ok``, ``error``, ``full``, ``crossed``, ``unsealed``, ``cut``, ``hang``,
    ``stream:N`` (N events), ``torn:N`` (N events and an incomplete one),
    ``busy_unproven``, ``slow:N`` (N events with long pauses), ``drip``
    (bytes that never complete an event), ``pause:S`` (503 with a
    ``Retry-After`` of S seconds).  The prefix ``leave+`` adds a
    ``Server-Leaving`` header, ``limit=N+`` a ``Server-Limit`` of N requests a
    second, ``late+`` a pause before the answer.

    :param server_id: identity of the server.
    :param script: the behaviours.
    :ivar runs: identities of the executed requests, in order.
    :ivar seen: headers of each request, by lower-case name.
    :ivar arrived_at: arrival time of each request, on the trio clock.
    """

    def __init__(self, server_id: str, script: list[str]) -> None:
        super().__init__(self._serve)
        self.server_id = server_id
        self.script = script
        self.runs: list[str] = []
        self.seen: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.cancelled = 0
        self.arrived_at: list[float] = []

    async def _serve(self, call: Call) -> None:
        headers = call.headers_by_name
        self.arrived_at.append(trio.current_time())
        self.seen.append(headers)
        self.bodies.append(call.body)
        call.request_id = headers['x-request-id']
        if headers.get('x-expect-replica', self.server_id) != self.server_id:
            await call.respond(421, b'', (('x-replica-id', self.server_id),))
            return
        behaviour = self.script.pop(0) if len(self.script) > 1 else None
        await self._perform(call, behaviour or self.script[0])

    async def _perform(self, call: Call, behaviour: str) -> None:
        is_late = behaviour.startswith('late+')
        behaviour, extra_headers = _split_prefix(behaviour)
        seal_headers = (
            ('x-response-seal', self.server_id),
            ('x-replica-load', '1,0,6'),
            *extra_headers,
        )
        name, _, count = behaviour.partition(':')
        if name in {'full', 'pause'}:
            pause = (('retry-after', count),) if count else ()
            head = (('x-not-executed', '1'), *pause, *extra_headers)
            await call.respond(503, b'', head)
            return
        self.runs.append(call.request_id)
        if is_late:
            await trio.sleep(_SLOW_PAUSE_S)
        if name in {'stream', 'torn', 'slow'}:
            await self._stream(call, seal_headers, int(count), name)
        elif name == 'drip':
            await self._drip(call, seal_headers)
        elif name == 'hang':
            await self._hang(call)
        elif name == 'cut':
            await call.start(200, (*seal_headers, ('content-length', '100')))
            await call.send(b'half')
            await call.abort()
        else:
            if name == 'crossed':
                call.request_id = 'another'
            statuses = {'error': 500, 'busy_unproven': 503}
            head = () if name == 'unsealed' else seal_headers
            await call.respond(
                statuses.get(name, 200), self.server_id.encode(), head
            )

    async def _drip(
        self, call: Call, seal_headers: tuple[tuple[str, str], ...]
    ) -> None:
        await call.start(
            200, (*seal_headers, ('content-type', 'text/event-stream'))
        )
        while not call.disconnected.is_set():
            await call.send(b'x')
            await trio.sleep(0.02)

    async def _hang(self, call: Call) -> None:
        with trio.move_on_after(5):
            await call.disconnected.wait()
            self.cancelled += 1
        await call.abort()

    async def _stream(
        self,
        call: Call,
        seal_headers: tuple[tuple[str, str], ...],
        count: int,
        name: str,
    ) -> None:
        last_event_id = int(call.headers_by_name.get('last-event-id', '0'))
        await call.start(
            200, (*seal_headers, ('content-type', 'text/event-stream'))
        )
        for number in range(last_event_id + 1, count + 1):
            await call.send(b'id: %d\ndata: x\n\n' % number)
            await trio.sleep(_SLOW_PAUSE_S if name == 'slow' else 0.005)
        if name == 'torn':
            await call.send(b'id: %d\nda' % (count + 1))
            await call.abort()
            return
        await call.finish()


def _split_prefix(behaviour: str) -> tuple[str, Headers]:
    prefix, _, rest = behaviour.rpartition('+')
    name, _, limit = prefix.partition('=')
    headers_by_name = {
        'leave': (('server-leaving', '1'),),
        'limit': (('server-limit', limit),),
    }
    return rest, headers_by_name.get(name, ())
