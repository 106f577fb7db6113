"""
eelgrassfork.chat_request
~~~~~~~~~~~~~~~~~~~~~~~~~

Validates chat requests, bounds their cost and builds the engine's request.
"""

import hashlib
import math
from typing import Any, Final, NamedTuple

import msgspec
import trio

from .bundle_lookup import find_service
from .bundle_types import Bundle, Caller, Service
from .claim_records import refusal_outcome
from .errors import RequestError
from .http_server import Call
from .routing import prefix_hash

__all__ = ('ChatRequest', 'model_name', 'parse_request')

_MESSAGE_TOKENS: Final = 8
_MAX_KEY_CHARACTERS: Final = 255
_DIGEST_BYTES: Final = 16
_MS: Final = 1000
# Fields besides the messages whose text engines add to the prompt.
_PROMPT_FIELDS: Final = (
    'tools',
    'functions',
    'tool_choice',
    'response_format',
    'chat_template_kwargs',
    'documents',
)

_Message = dict[str, Any]
_RawFields = dict[str, msgspec.Raw]


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool | None = False
    stream_options: _StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = 1


class ChatRequest(NamedTuple):
    """
    A validated chat request.

    :param identity: request identity at the engines.
    :param key: idempotency key, empty if there is none.
    :param first_attempt: whether no earlier attempt can exist: there is no
        key, or the caller marks this attempt as the first.
    :param body_hash: hash of the body as the caller sent it.
    :param max_tokens: cap on completion tokens.
    :param bound: upper bound of the cost in tokens.
    :param prefix: hash of the leading messages, for prefix-cache routing.
    :param priority: 0 starts first and is shed last; the numerically larger
        one of the service's and the organisation's.
    :param deadline: time on the clock of trio, infinite if there is none.
    :param body: body to send to the engine.
    """

    caller: Caller
    service: Service
    identity: str
    key: str
    first_attempt: bool
    body_hash: str
    stream: bool
    include_usage: bool
    max_tokens: int
    bound: int
    prefix: str
    priority: int
    deadline: float
    body: bytes


def parse_request(call: Call, caller: Caller, bundle: Bundle) -> ChatRequest:
    """
    Validate a chat request.

    :param call: the request as it arrived.
    :param caller: authenticated sender.
    :param bundle: configuration in force.
    :returns: the validated request.
    :raises RequestError: if it is invalid or not permitted.
    """
    chat, fields = _decode(call.body)
    service = _find_model(chat.model, caller, bundle)
    max_tokens = _token_cap(chat, service)
    key = call.headers_by_name.get('idempotency-key', '')
    if len(key) > _MAX_KEY_CHARACTERS:
        raise _invalid('the Idempotency-Key header is too long')
    body_hash = _digest(call.body)
    return ChatRequest(
        caller=caller,
        service=service,
        identity=_identity(caller, key, body_hash) or call.request_id,
        key=key,
        first_attempt=refusal_outcome(call.headers_by_name) == 'not_run',
        body_hash=body_hash,
        stream=bool(chat.stream),
        include_usage=_includes_usage(chat),
        max_tokens=max_tokens,
        bound=_prompt_bound(chat, fields, service) + max_tokens,
        prefix=prefix_hash(service.name, _leading_texts(chat.messages)),
        priority=max(service.priority, caller.organisation.priority),
        deadline=_deadline(call.headers_by_name),
        body=_engine_body(chat, fields, service, max_tokens),
    )


def model_name(service: str, fleet: str) -> str:
    """
    Return the name of a service in the ``model`` field.

    :param service: qualified name.
    :param fleet: fleet of the caller.
    :returns: the name, unqualified if the service is of the caller's fleet.
    """
    return service.removeprefix(f'{fleet}/')


def _decode(body: bytes) -> tuple[_ChatBody, _RawFields]:
    try:
        chat = msgspec.json.decode(body, type=_ChatBody)
        fields = msgspec.json.decode(body, type=_RawFields)
    except msgspec.DecodeError as error:
        raise _invalid(f'invalid chat request body: {error}') from None
    if not chat.messages:
        raise _invalid('messages is empty')
    if chat.n not in {None, 1}:
        raise _invalid('n other than 1 is not supported')
    return chat, fields


def _find_model(model: str, caller: Caller, bundle: Bundle) -> Service:
    service = find_service(bundle, model, caller.fleet)
    if service is None or service.kind != 'model':
        raise RequestError(
            'unknown_service',
            f'unknown model {model!r} in bundle version {bundle.version}',
        )
    if service.name not in caller.organisation.services:
        raise RequestError(
            'service_forbidden',
            f'the organisation is not allowed to call {service.name}',
        )
    return service


def _token_cap(chat: _ChatBody, service: Service) -> int:
    requested = chat.max_completion_tokens
    if requested is None:
        requested = chat.max_tokens
    if requested is None:
        return service.max_tokens
    if requested < 1:
        raise _invalid('the maximum number of tokens must be at least 1')
    return min(requested, service.max_tokens)


def _identity(caller: Caller, key: str, body_hash: str) -> str:
    # The identity includes the body because engines attach a request to the
    # generation of a known identity without comparing bodies: the same key
    # with another body must never get the answer to the first one.
    if not key:
        return ''
    scoped_key = f'{caller.fleet}\n{caller.organisation.name}\n{key}'
    return f'key-{_digest(scoped_key.encode())}-{body_hash}'


def _includes_usage(chat: _ChatBody) -> bool:
    return chat.stream_options is not None and chat.stream_options.include_usage


def _prompt_bound(chat: _ChatBody, fields: _RawFields, service: Service) -> int:
    extra = sum(len(bytes(fields.get(name, b''))) for name in _PROMPT_FIELDS)
    return extra + sum(
        _MESSAGE_TOKENS + _message_bound(message, service)
        for message in chat.messages
    )


def _message_bound(message: _Message, service: Service) -> int:
    texts, images = _content_parts(message)
    others = [
        msgspec.json.encode(value)
        for name, value in message.items()
        if name not in {'role', 'content'} and value is not None
    ]
    text_bytes = sum(len(text.encode()) for text in texts)
    return (
        text_bytes + sum(map(len, others)) + len(images) * service.image_tokens
    )


def _content_parts(message: _Message) -> tuple[list[str], list[str]]:
    content = message.get('content')
    if content is None:
        return [], []
    if isinstance(content, str):
        return [content], []
    texts: list[str] = []
    images: list[str] = []
    for part in content if isinstance(content, list) else [content]:
        fields = part if isinstance(part, dict) else {}
        kind = fields.get('type')
        if kind == 'image_url':
            images.append(str(fields.get('image_url')))
        elif kind in {'text', 'refusal'}:
            texts.append(str(fields.get(kind, '')))
        else:
            # The number of tokens of such content has no known bound.
            raise _invalid(f'content of type {kind!r} is not supported')
    return texts, images


def _leading_texts(messages: list[_Message]) -> list[str]:
    leading: list[str] = []
    for message in messages:
        role = str(message.get('role'))
        texts, images = _content_parts(message)
        leading += [role, *texts, *images]
        if role == 'user':
            break
    return leading


def _deadline(headers_by_name: dict[str, str]) -> float:
    timeout = headers_by_name.get('x-request-timeout-ms')
    if timeout is None:
        return math.inf
    if not timeout.isdecimal():
        raise _invalid('X-Request-Timeout-Ms is not a non-negative integer')
    return trio.current_time() + int(timeout) / _MS


def _engine_body(
    chat: _ChatBody, fields: _RawFields, service: Service, max_tokens: int
) -> bytes:
    cap_field = (
        'max_tokens'
        if chat.max_completion_tokens is None
        else 'max_completion_tokens'
    )
    body: dict[str, Any] = {
        name: value
        for name, value in fields.items()
        if name not in {'max_tokens', 'max_completion_tokens'}
    }
    body['model'] = service.model
    body[cap_field] = max_tokens
    if chat.stream:
        # The router needs the usage for billing, even if the caller did not
        # request it.
        options = msgspec.json.decode(fields.get('stream_options', b'null'))
        body['stream_options'] = {**(options or {}), 'include_usage': True}
    return msgspec.json.encode(body)


def _digest(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def _invalid(message: str) -> RequestError:
    return RequestError('invalid_request', message)
