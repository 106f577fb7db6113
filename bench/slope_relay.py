"""
bench.slope_relay
~~~~~~~~~~~~~~~~~

Cost of passing on streamed answers and whole answers.

The relay under test has the HTTP layer and the engine client of a router,
and nothing else of it: a lower bound of what a router spends.
"""

import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import msgspec
import trio

from eelgrassfork.engine_client import EngineClient
from eelgrassfork.engine_types import EngineCall
from eelgrassfork.http_client import ClientRequest, HttpClient
from eelgrassfork.http_server import Call, HttpServer

from .measure import fit, row
from .processes import part

__all__ = ('measure',)

# Streams at once, and what each carries a second; the target has 38 ms
# between tokens.
STREAMS = (1, 8, 32, 64)
TOKEN_S = 0.038
WHOLE_RATES = (5, 20, 80)
WINDOW_S = 5
WARM_UP_S = 2.5
EVENTS = 230
PATH = '/v1/chat/completions'
BODY = msgspec.json.encode(
    {
        'model': 'model-1',
        'stream': True,
        'messages': [{'role': 'user', 'content': 'where does it fit? ' * 60}],
    }
)

_Serving = tuple[str, Callable[[], dict[str, float]]]


def _event(number: int) -> bytes:
    chunk = {
        'id': 'chatcmpl-req-0123456789ab',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': 'model-1',
        'choices': [
            {
                'index': 0,
                'delta': {'role': 'assistant', 'content': ' piece'},
                'finish_reason': None,
            }
        ],
    }
    return b'id: %d\ndata: %b\n\n' % (number, msgspec.json.encode(chunk))


async def _listen(
    nursery: trio.Nursery, handler: Callable[[Call], Awaitable[None]]
) -> str:
    server = HttpServer(handler)
    await server.start(nursery, '127.0.0.1', 0)
    return server.address


async def run_engine(nursery: trio.Nursery) -> _Serving:
    """
    Answer with events at the pace of the target.

    :param nursery: where it runs.
    :returns: address and a query for nothing.
    """

    async def answer(call: Call) -> None:
        call.request_id = call.headers_by_name['x-request-id']
        if call.headers_by_name.get('x-priority') == '9':
            await call.respond(200, b'x' * 400)
            return
        await call.start(200, (('content-type', 'text/event-stream'),))
        for number in range(EVENTS):
            await trio.sleep(TOKEN_S)
            await call.send(_event(number))
        await call.finish()

    return await _listen(nursery, answer), dict


async def run_relay(nursery: trio.Nursery, engine_address: str) -> _Serving:
    """
    Pass on what the engine answers.

    :param nursery: where it runs.
    :param engine_address: of the engine.
    :returns: address and a query for the events passed on.
    """
    engines = EngineClient(HttpClient(max_idle=256))
    passed = {'events': 0, 'answers': 0}

    async def answer(call: Call) -> None:
        whole = call.headers_by_name.get('x-whole')
        engine_call = EngineCall(
            engine_address,
            call.request_id,
            'entry-1.0a1b2c3d/pazlen/o-1/main/1',
            call.body,
            9 if whole else 1,
            EVENTS,
            '',
            (10,),
            10,
        )
        answered = await engines.open(engine_call)
        try:
            if whole:
                await call.respond(200, await answered.read())
            else:
                await pass_on(call, answered)
        finally:
            await answered.close()
        passed['answers'] += 1

    async def pass_on(call: Call, answered: Any) -> None:
        await call.start(200, (('content-type', 'text/event-stream'),))
        async for events in answered.events():
            passed['events'] += len(events)
            await call.send(b''.join(events))
        await call.finish()

    return await _listen(nursery, answer), lambda: dict(passed)


async def run_callers(
    nursery: trio.Nursery, address: str, streams: int, whole_rate: float
) -> _Serving:
    """
    Keep streams open, or ask for whole answers at a rate.

    :param nursery: where they run.
    :param address: of the relay.
    :param streams: streams at once.
    :param whole_rate: whole answers a second.
    :returns: nothing and a query for nothing.
    """
    client = HttpClient(max_idle=256)
    post = ClientRequest(address, 'POST', PATH, (), BODY)

    async def stream(number: int) -> None:
        await trio.sleep(TOKEN_S * number / max(streams, 1))
        while True:
            await client.fetch(post)

    async def ask() -> None:
        await client.fetch(post._replace(headers=(('x-whole', '1'),)))

    async def run_whole() -> None:
        started_at = trio.current_time()
        number = 0
        while whole_rate:
            number += 1
            await trio.sleep_until(started_at + number / whole_rate)
            nursery.start_soon(ask)

    for number in range(streams):
        nursery.start_soon(stream, number)
    nursery.start_soon(run_whole)
    await trio.lowlevel.checkpoint()
    return '', dict


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure the relay against its load.

    :param seed: not used.
    :returns: iterator of lines.
    """
    with part(run_engine) as engine:
        points = []
        for streams in STREAMS:
            figures = _run(engine.setup_result, streams, 0)
            for name in ('cpu_ms_per_s', 'resident_mb', 'events_per_s'):
                unit = {'cpu_ms_per_s': 'ms/s', 'resident_mb': 'MB'}
                yield row(
                    f'relay.{name}',
                    figures[name],
                    unit.get(name, '1/s'),
                    streams=streams,
                )
            points.append(((figures['events_per_s'],), figures['cpu_ms_per_s']))
        yield {
            'measure': 'relay.stream',
            'unit': 'ms',
            'fit': fit(points, ('per_event',)),
        }
        points = []
        for rate in WHOLE_RATES:
            figures = _run(engine.setup_result, 0, rate)
            answers = figures['answers_per_s']
            yield row(
                'relay.cpu_ms_per_s',
                figures['cpu_ms_per_s'],
                'ms/s',
                whole_per_s=answers,
            )
            points.append(((answers,), figures['cpu_ms_per_s']))
        yield {
            'measure': 'relay.whole',
            'unit': 'ms',
            'fit': fit(points, ('per_answer',)),
        }


def _run(engine: str, streams: int, whole_rate: float) -> dict[str, float]:
    with part(run_relay, engine) as relay:
        with part(run_callers, relay.setup_result, streams, whole_rate):
            time.sleep(WARM_UP_S)
            before = relay.figures()
            time.sleep(WINDOW_S)
            return relay.figures().since(before)
