"""
standins.engine_answers
~~~~~~~~~~~~~~~~~~~~~~~

Chat responses of a stand-in engine, complete or as an event stream.
"""

from typing import Any, Final

import msgspec

from eelgrassfork.http_server import Call, CallerDisconnected

from .engine_batch import Generation
from .server_faults import FaultInjector
from .serving import respond_error

__all__ = ('respond_stream', 'respond_completion')

_DONE: Final = b'[DONE]'
_EVENT_STREAM: Final = 'text/event-stream'


async def respond_completion(
    call: Call, fault_injector: FaultInjector, generation: Generation
) -> None:
    """
    Send the completion once the generation has ended.

    :param call: the request.
    :param fault_injector: faults to apply.
    :param generation: the generation.
    """
    while not generation.ended:
        await generation.wait()
    await fault_injector.apply_to_response(call)
    if generation.state == 'cancelled':
        await respond_error(
            call, 409, 'cancelled', 'the generation was cancelled'
        )
        return
    words = [
        generation.token_text(number) for number in range(generation.produced)
    ]
    message = {'role': 'assistant', 'content': ''.join(words)}
    choice = {
        'index': 0,
        'message': message,
        'finish_reason': generation.finish_reason,
    }
    completion = {
        **_common_fields(generation, 'chat.completion'),
        'choices': [choice],
        'usage': _usage(generation),
    }
    headers = _headers(generation, 'application/json')
    await call.respond(200, msgspec.json.encode(completion), headers)


async def respond_stream(
    call: Call,
    fault_injector: FaultInjector,
    generation: Generation,
    first: int,
) -> None:
    """
    Stream the events of a generation as they are produced.

    Events are numbered from 0: one per token, then one with the usage, then
    ``[DONE]``. The stream of a cancelled generation is aborted.

    :param call: the request.
    :param fault_injector: faults to apply.
    :param generation: the generation.
    :param first: number of the first event to send.
    """
    while not (generation.produced or generation.ended):
        await generation.wait()
    await fault_injector.apply_to_response(call)
    if generation.state == 'cancelled' and generation.produced <= first:
        await respond_error(
            call, 409, 'cancelled', 'the generation was cancelled'
        )
        return
    await call.start(200, _headers(generation, _EVENT_STREAM))
    number = first
    while (event := await _event(generation, number)) is not None:
        await fault_injector.apply_to_event(call, number - first)
        await call.send(b'id: %d\ndata: %b\n\n' % (number, event))
        number += 1
    await call.finish()


async def _event(generation: Generation, number: int) -> bytes | None:
    while generation.produced <= number and not generation.ended:
        await generation.wait()
    if number < generation.produced:
        return _token_event(generation, number)
    if generation.state == 'cancelled':
        raise CallerDisconnected
    last_events = (_usage_event(generation), _DONE)
    after_tokens = number - generation.produced
    return last_events[after_tokens] if after_tokens < 2 else None


def _token_event(generation: Generation, number: int) -> bytes:
    delta = {'role': 'assistant', 'content': generation.token_text(number)}
    choice = {'index': 0, 'delta': delta, 'finish_reason': None}
    head = _common_fields(generation, 'chat.completion.chunk')
    return msgspec.json.encode({**head, 'choices': [choice]})


def _usage_event(generation: Generation) -> bytes:
    reason = generation.finish_reason
    choice = {'index': 0, 'delta': {}, 'finish_reason': reason}
    last = {
        **_common_fields(generation, 'chat.completion.chunk'),
        'choices': [choice],
        'usage': _usage(generation),
    }
    return msgspec.json.encode(last)


def _common_fields(generation: Generation, kind: str) -> dict[str, Any]:
    return {
        'id': f'chatcmpl-{generation.spec.request_id}',
        'object': kind,
        'created': 0,
        'model': generation.spec.chat.model,
    }


def _usage(generation: Generation) -> dict[str, Any]:
    prompt_tokens = generation.spec.chat.prompt_tokens
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': generation.produced,
        'total_tokens': prompt_tokens + generation.produced,
        'prompt_tokens_details': {'cached_tokens': generation.cached_tokens},
    }


def _headers(
    generation: Generation, content_type: str
) -> tuple[tuple[str, str], ...]:
    return (
        ('content-type', content_type),
        ('x-payer', generation.spec.payer),
    )
