"""
eelgrassfork.platform.heads
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes request and answer headers, and encodes those that routers add.
"""

import math
import time
from datetime import UTC, datetime
from http import HTTPStatus
from typing import Final, NamedTuple

import logbook

from ..errors import RequestError
from ..gateway.records import (
    AnswerHead,
    ForwardHead,
    Headers,
    PromptPart,
    ServerLoad,
)
from ..http_server import HOP_BY_HOP

__all__ = (
    'Added',
    'decode_answer',
    'decode_request',
    'encode_added',
    'encode_retry_after',
)

_log = logbook.Logger('heads')

_MS_PER_S: Final = 1000
# Nothing that a server does while it lives takes longer.
_LONGEST_PAUSE_S: Final = 3600.0
_HTTP_DATE: Final = '%a, %d %b %Y %H:%M:%S GMT'
# Of a header that can't be understood, in the log.
_SHOWN: Final = 40
_TARGET_LIMIT: Final = 65536
_REQUEST_ID: Final = 'x-request-id'
_DEADLINE: Final = 'x-request-deadline'
_KEY: Final = 'api-key'
_ORGANISATION: Final = 'x-tenant'
_EXPECTED_SERVER: Final = 'x-expect-replica'
_PRIORITY: Final = 'x-request-priority'
_LAST_EVENT_ID: Final = 'last-event-id'
_SEAL: Final = 'x-response-seal'
_NOT_RUN: Final = 'x-not-executed'
_LOAD: Final = 'x-replica-load'
_LEAVING: Final = 'server-leaving'
_RETRY_AFTER: Final = 'retry-after'
_MISDIRECTED: Final = 421

_PER_CONNECTION: Final = HOP_BY_HOP | {'content-length', 'expect'}
# Callers may not set what routers tell servers.
_ROUTERS_ONLY: Final = frozenset(
    (
        'host',
        _DEADLINE,
        _KEY,
        _ORGANISATION,
        _EXPECTED_SERVER,
        _PRIORITY,
        'x-expect-version',
        'x-hold',
        'x-pin-ms',
        'x-kv-backup',
        'kv-from',
        'kv-fetch',
    ),
)
# A second copy of these would let two readers see two requests.
_SINGLE: Final = (
    'host',
    'content-length',
    _REQUEST_ID,
    _DEADLINE,
    _KEY,
    _LAST_EVENT_ID,
    'x-model',
    'x-token-counts',
    'x-prompt-prefix',
)


class Added(NamedTuple):
    """
    What a router tells a server beside the caller's headers.

    :param patience_s: how long the answer is of use, in seconds.
    :param organisation: empty for anonymous requests.
    :param priority: 0 to 9, 0 first.
    :param last_event_id: where a stream goes on; empty if it starts.
    """

    server_id: str
    patience_s: float
    organisation: str
    priority: int
    last_event_id: str


def decode_request(method: str, target: str, headers: Headers) -> ForwardHead:
    """
    Understand a caller's request.

    :param method: HTTP method.
    :param target: request target as sent.
    :param headers: names in lower case.
    :returns: the request's head.
    :raises RequestError: ``invalid_request`` if it is ambiguous or lacks an
        identity.
    """
    _check(target, headers)
    texts_by_name = dict(headers)
    prompt, most = _token_counts(texts_by_name.get('x-token-counts', ''))
    host_header = texts_by_name.get('host', '')
    return ForwardHead(
        request_id=texts_by_name[_REQUEST_ID],
        method=method,
        target=target,
        host=host_header.partition(':')[0].lower(),
        host_header=host_header,
        path=target.partition('?')[0],
        key=texts_by_name.get(_KEY),
        timeout_s=_patience_s(texts_by_name.get(_DEADLINE, '')),
        prompt_tokens=prompt,
        max_output_tokens=most,
        parts=_parts(texts_by_name.get('x-prompt-prefix', '')),
        last_event_id=texts_by_name.get(_LAST_EVENT_ID, ''),
        headers=_end_to_end(headers, _ROUTERS_ONLY | {_LAST_EVENT_ID}),
    )


def encode_added(added: Added) -> Headers:
    """
    Write the headers that a router adds.

    :param added: what the server has to know.
    :returns: names and values.
    """
    headers = [
        (_DEADLINE, str(max(1, int(added.patience_s * _MS_PER_S)))),
        (_EXPECTED_SERVER, added.server_id),
        (_PRIORITY, str(added.priority)),
    ]
    if added.organisation:
        headers.append((_ORGANISATION, added.organisation))
    if added.last_event_id:
        headers.append((_LAST_EVENT_ID, added.last_event_id))
    return tuple(headers)


def decode_answer(status: int, headers: Headers) -> AnswerHead:
    """
    Understand the head of a server's answer.

    :param status: HTTP status.
    :param headers: names in lower case.
    :returns: the answer's head.
    """
    texts_by_name = dict(headers)
    return AnswerHead(
        status=status,
        not_run=_NOT_RUN in texts_by_name or status == _MISDIRECTED,
        sealed=bool(texts_by_name.get(_SEAL)),
        request_id=texts_by_name.get(_REQUEST_ID, ''),
        headers=_end_to_end(headers, frozenset((_REQUEST_ID, _LOAD))),
        load=_load(texts_by_name.get(_LOAD, '')),
        leaving=texts_by_name.get(_LEAVING, '').strip() == '1',
        pause_s=_pause_s(status, texts_by_name.get(_RETRY_AFTER, '')),
    )


def encode_retry_after(seconds: float) -> Headers:
    """
    Write when a caller should come back.

    :param seconds: delay.
    :returns: names and values.
    """
    return ((_RETRY_AFTER, f'{seconds:.3f}'),)


def _check(target: str, headers: Headers) -> None:
    names = [name for name, _ in headers]
    problems = [
        f'two {single} headers' for single in _SINGLE if names.count(single) > 1
    ]
    if 'content-length' in names and 'transfer-encoding' in names:
        problems.append('two lengths of the body')
    if _REQUEST_ID not in names:
        problems.append(f'{_REQUEST_ID} is missing')
    if not target.startswith('/') or len(target) > _TARGET_LIMIT:
        problems.append('the target must be a path')
    if problems:
        raise RequestError('invalid_request', ', '.join(problems))


def _end_to_end(headers: Headers, dropped: frozenset[str]) -> Headers:
    listed = {
        token.strip().lower()
        for name, text in headers
        if name == 'connection'
        for token in text.split(',')
    }
    drop = _PER_CONNECTION | dropped | (listed - set(_SINGLE))
    return tuple((name, text) for name, text in headers if name not in drop)


def _token_counts(text: str) -> tuple[int, int]:
    prompt, _, most = text.partition(',')
    if not (prompt.isdecimal() and most.isdecimal()):
        return 0, 0
    return int(prompt), int(most)


def _patience_s(text: str) -> float | None:
    try:
        patience_ms = float(text)
    except ValueError:
        return None
    if not math.isfinite(patience_ms) or patience_ms < 0:
        return None
    return patience_ms / _MS_PER_S


def _pause_s(status: int, text: str) -> float:
    # Other statuses say when the caller may come back, not this router.
    if status != HTTPStatus.SERVICE_UNAVAILABLE or not text:
        return 0
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = _seconds_until(text)
    if not math.isfinite(pause_s):
        _log.warning('ignored a pause', extra={'retry_after': text[:_SHOWN]})
        return 0
    return min(max(pause_s, 0), _LONGEST_PAUSE_S)


def _seconds_until(date: str) -> float:
    try:
        until = datetime.strptime(date, _HTTP_DATE)
    except ValueError:
        return math.nan
    return until.replace(tzinfo=UTC).timestamp() - time.time()


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(','):
        part_id, _, tokens = item.strip().partition(':')
        if part_id and tokens.isdecimal():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _load(text: str) -> ServerLoad | None:
    counts = text.split(',')
    if len(counts) != len(ServerLoad._fields):
        return None
    try:
        return ServerLoad(*(int(count) for count in counts))
    except ValueError:
        return None
