"""
eelgrassfork.chat_relay
~~~~~~~~~~~~~~~~~~~~~~~

Relays the answer of one engine: stream resume, token cap and billing.
"""

from contextlib import aclosing
from typing import Final

import trio

from .chat_meter import Usage, answer_usage
from .chat_run import CallerSink, ChatRun
from .chat_settlement import Settlement
from .engine_client import EngineAnswer, EngineClient
from .engine_types import EngineCall, EngineError
from .errors import RequestError
from .http_server import Call
from .routing import ServerState

__all__ = ('Relay',)

_OK: Final = 200
_MAX_RESUMES: Final = 3
_RESUMABLE: Final = frozenset(('engine_lost', 'engine_silent'))
_MS: Final = 1000
# Approximate time per token of an engine with a full batch.
_SECONDS_PER_TOKEN: Final = 0.05
_FIRST_WAIT_FRACTION: Final = 1 / 3


class Relay:
    """
    Relays answers of engines to callers.

    :param engines: client of the engines.
    :param settlement: bills the requests.
    :ivar resume_count: number of resumed streams.
    """

    def __init__(self, engines: EngineClient, settlement: Settlement) -> None:
        self._engines = engines
        self._settlement = settlement
        self.resume_count = 0

    async def relay(
        self, call: Call, run: ChatRun, server: ServerState
    ) -> None:
        """
        Send a request to one server, relay its answer and bill it once.

        :param call: the caller's request.
        :param run: its state.
        :param server: the server.
        :raises EngineError: if the engine's answer is incomplete.
        :raises RequestError: ``server_failed`` if the answer exceeds the
            token cap.
        :raises CallerDisconnected: if the caller disconnected.
        """
        run.tried_servers.append(server)
        engine_call = _engine_call(run, server)
        if run.request.stream:
            await self._relay_stream(call, run, engine_call)
        else:
            await self._relay_unstreamed(call, run, engine_call)

    async def _relay_unstreamed(
        self, call: Call, run: ChatRun, engine_call: EngineCall
    ) -> None:
        answer = await self._engines.open(engine_call)
        _note_answer_start(run, answer)
        try:
            body = await answer.read()
        finally:
            await answer.close()
        usage = answer_usage(body)
        if usage.completion_tokens > run.request.max_tokens:
            run.meter.overrun = True
            raise _cap_exceeded()
        self._settlement.settle_complete(run, usage)
        await call.respond(_OK, body)

    async def _relay_stream(
        self, call: Call, run: ChatRun, engine_call: EngineCall
    ) -> None:
        sink = CallerSink(call)
        answer = await self._engines.open(engine_call)
        resumes = 0
        while not await _relay_events(answer, run, sink, resumes):
            resumes += 1
            self.resume_count += 1
            run.resume_count += 1
            answer = await self._engines.resume(
                engine_call, run.meter.next_event
            )
        usage = run.meter.usage or await self._recorded_usage(engine_call, run)
        self._settlement.settle_complete(run, usage)
        await sink.finish(run.meter.done_event)

    async def _recorded_usage(
        self, engine_call: EngineCall, run: ChatRun
    ) -> Usage:
        relayed = Usage(0, run.meter.tokens)
        try:
            records = await self._engines.records(
                engine_call.address, engine_call.payer
            )
        except EngineError:
            return relayed
        for record in records:
            if record.request_id == engine_call.request_id:
                return Usage(record.prompt_tokens, record.completion_tokens)
        return relayed


async def _relay_events(
    answer: EngineAnswer, run: ChatRun, sink: CallerSink, resumes: int
) -> bool:
    _note_answer_start(run, answer)
    try:
        await _forward_events(answer, run, sink)
    except EngineError as error:
        if error.code in _RESUMABLE and resumes < _MAX_RESUMES:
            return False
        raise
    finally:
        await answer.close()
    return True


async def _forward_events(
    answer: EngineAnswer, run: ChatRun, sink: CallerSink
) -> None:
    meter = run.meter
    try:
        async with aclosing(answer.events()) as batches:
            async for events in batches:
                await sink.send(meter.process(events))
                if meter.tokens and run.first_token_at is None:
                    run.first_token_at = trio.current_time()
                if meter.overrun:
                    raise _cap_exceeded()
    except EngineError:
        if not meter.done_event:
            raise
    if not meter.done_event:
        raise EngineError('engine_lost', 'the stream ended before [DONE]')


def _note_answer_start(run: ChatRun, answer: EngineAnswer) -> None:
    run.answering_server = run.tried_servers[-1]
    run.answer_payer = answer.payer


def _engine_call(run: ChatRun, server: ServerState) -> EngineCall:
    request = run.request
    service = request.service
    first_byte_s = service.first_byte_ms / _MS
    return EngineCall(
        address=server.address,
        request_id=request.identity,
        payer=run.payer,
        body=request.body,
        priority=request.priority,
        max_tokens=request.max_tokens,
        prefix=request.prefix,
        head_timeouts_s=_head_timeouts_s(
            first_byte_s, request.max_tokens, request.stream
        ),
        silence_s=service.silence_ms / _MS,
    )


def _head_timeouts_s(
    first_byte_s: float, max_tokens: int, stream: bool
) -> tuple[float, ...]:
    if stream:
        first_timeout_s = first_byte_s * _FIRST_WAIT_FRACTION
        return first_timeout_s, first_byte_s - first_timeout_s
    # An unstreamed answer begins only after its last token is generated.
    # Each further wait uses a new connection, which detects a dead server.
    generation_s = max_tokens * _SECONDS_PER_TOKEN
    return (first_byte_s,) * (1 + int(generation_s // first_byte_s) + 1)


def _cap_exceeded() -> RequestError:
    return RequestError(
        'server_failed', 'the answer exceeded the token cap', 'ran'
    )
