"""SIGHUP reaches a router that is finishing its requests after SIGTERM."""

import os
import signal

import trio

from review.bed import case, world
from review.bed.http import Server, ask_once
from review.bed.processes import Routers
from standins.metadata_store import MetadataStore

STREAMS = 10
EVENTS = 30
PAUSE_S = 0.1


class Model:
    """Sends a stream of 30 events in 3 s."""

    def __init__(self, record):
        self._record = record
        self.ran = {}

    async def handle(self, request, send):
        request_id = request.headers['x-request-id']
        self._record.note(f'server runs {request_id}')
        self.ran[request_id] = 'broken off by the router'
        await send(
            b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
            b'x-request-id: %b\r\nx-response-seal: s.%b\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
            % (request_id.encode(), request_id.encode())
        )
        for number in range(1, EVENTS + 1):
            event = b'id: %d\ndata: x\n\n' % number
            await send(b'%x\r\n%b\r\n' % (len(event), event))
            await trio.sleep(PAUSE_S)
        await send(b'0\r\n\r\n')
        self.ran[request_id] = 'whole answer sent'
        return True


async def play(record, has_trouble):
    model = Model(record)
    store = MetadataStore()
    routers = None
    answers = {}

    async def ask(number):
        request_id = f'{number:016x}'
        answers[request_id] = await ask_once(
            routers.front(0),
            'POST',
            '/match/1',
            {
                'host': 'shop.example',
                'x-request-id': request_id,
                'x-model': 'm',
                'x-token-counts': '10,40',
                'x-prompt-prefix': f'{number:08x}:10',
                'x-request-deadline': '12000',
                'api-key': 'key-1',
            },
            b'{}',
        )
        answer = answers[request_id]
        record.note(
            f'caller of {request_id} got {answer.status}, {answer.end}, '
            f'{answer.body.count(b"id:")} of {EVENTS} events'
        )

    try:
        async with trio.open_nursery() as nursery:
            server = Server(model.handle)
            await server.start(nursery)
            await store.start(nursery, '127.0.0.1', 0)
            store.put('config', 'main', world.configuration(1))
            store.put('servers', 'i-1', world.entry('matcher', server.address, 'a'))
            routers = Routers(['a'], store.address)
            routers.start(0, bootstrap=True)
            if not await routers.wait_ready([0]):
                raise case.CannotRun('the router is not ready')
            await trio.sleep(1)
            async with trio.open_nursery() as callers:
                for number in range(STREAMS):
                    callers.start_soon(ask, number)
                await trio.sleep(0.5)
                if len(model.ran) < STREAMS:
                    raise case.CannotRun('the streams have not begun')
                record.note('SIGTERM to the router')
                routers.signal(0, signal.SIGTERM)
                await trio.sleep(1)
                if has_trouble:
                    routers.write_settings(0)
                    record.note('settings file written again; SIGHUP')
                    routers.signal(0, signal.SIGHUP)
            code = await routers.wait_end(0, 8)
            record.note(f'the router ended with exit code {code}')
            nursery.cancel_scope.cancel()
    finally:
        if routers is not None:
            routers.close()
    lost = [one for one, answer in answers.items() if answer.end != 'complete']
    for request_id, outcome in model.ran.items():
        record.note(f'server: {request_id}: {outcome}')
    record.note(f'{len(lost)} of {STREAMS} requests have no complete answer')
    return not lost


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    case.run(play, __file__, os.environ.get('TROUBLE') != '0')
