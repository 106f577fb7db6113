"""
eelgrassfork.platform.heads
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes request and response headers and encodes the headers added by routers.
"""

import itertools
import math
import re
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
    NamedLimit,
    PromptPart,
    ServerLoad,
)
from ..http_server import HOP_BY_HOP

__all__ = (
    'AddedHeaders',
    'decode_response',
    'decode_request',
    'encode_added_headers',
    'encode_retry_after',
)

_log = logbook.Logger('heads')

_MS_PER_S: Final = 1000
# No operation of a live server takes longer than this.
_MAX_PAUSE_S: Final = 3600.0
# Higher than any rate at which the fleet sends requests.
_MAX_LIMIT_PER_S: Final = 1_000_000.0
_DECIMAL: Final = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')
_STATUS_LINE: Final = re.compile(r'HTTP/1\.[01] [1-5][0-9]{2}')
_HTTP_DATE: Final = '%a, %d %b %Y %H:%M:%S GMT'
# Length to which an invalid header value is truncated in the log.
# Larger counts than any prompt or queue has, so that sums of them stay exact.
_MAX_COUNT: Final = 1_000_000_000
_MAX_LOGGED_CHARS: Final = 40
# Running and waiting requests and slots; a slowdown in percent may follow.
_LOAD_COUNTS: Final = 3
_PERCENT: Final = 100
# Counts the invalid slowdowns of this process.
_slowdown_warnings = itertools.count()
# Bounds of the slowdown as a factor.  A false report neither makes a server
# look free nor excludes it for good.
_MIN_SLOWDOWN: Final = 0.1
_MAX_SLOWDOWN: Final = 100.0
_MAX_TARGET_LENGTH: Final = 65536
_REQUEST_ID: Final = 'x-request-id'
_DEADLINE: Final = 'x-request-deadline'
_API_KEY: Final = 'api-key'
_ORGANISATION: Final = 'x-tenant'
_EXPECTED_SERVER: Final = 'x-expect-replica'
_PRIORITY: Final = 'x-request-priority'
_LAST_EVENT_ID: Final = 'last-event-id'
_RESPONSE_SEAL: Final = 'x-response-seal'
_NOT_EXECUTED: Final = 'x-not-executed'
_LOAD: Final = 'x-replica-load'
_LEAVING: Final = 'server-leaving'
_RETRY_AFTER: Final = 'retry-after'
_SERVER_LIMIT: Final = 'server-limit'
_MISDIRECTED: Final = 421

_CONNECTION_HEADERS: Final = HOP_BY_HOP | {'content-length', 'expect'}
# Headers from routers to servers, which callers must not set.
_ROUTER_HEADERS: Final = frozenset(
    (
        'host',
        _DEADLINE,
        _API_KEY,
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
# If one of these were repeated, two parsers could interpret the request
# differently (request smuggling).
_SINGLE_VALUED: Final = (
    'host',
    'content-length',
    _REQUEST_ID,
    _DEADLINE,
    _API_KEY,
    _LAST_EVENT_ID,
    'x-model',
    'x-token-counts',
    'x-prompt-prefix',
)


class AddedHeaders(NamedTuple):
    """
    Values of the headers that a router adds to a request to a server.

    :param server_id: server for which the request is meant.
    :param remaining_s: remaining time until the deadline, in seconds.
    :param organisation: empty for anonymous requests.
    :param priority: 0 to 9, where 0 is the most urgent.
    :param last_event_id: event after which a stream resumes; empty for a new
        stream.
    """

    server_id: str
    remaining_s: float
    organisation: str
    priority: int
    last_event_id: str


def decode_request(method: str, target: str, headers: Headers) -> ForwardHead:
    """
    Decode the head of a caller's request.

    :param method: HTTP method.
    :param target: request target as sent.
    :param headers: names, in lower case, and values.
    :returns: the decoded head.
    :raises RequestError: ``invalid_request`` if the request is ambiguous, has
        no request ID, or its target is not a path or is too long.
    """
    _check_request(target, headers)
    texts_by_name = dict(headers)
    prompt_tokens, max_output = _parse_token_counts(
        texts_by_name.get('x-token-counts', '')
    )
    host_header = texts_by_name.get('host', '')
    return ForwardHead(
        request_id=texts_by_name[_REQUEST_ID],
        method=method,
        target=target,
        host=host_header.partition(':')[0].lower(),
        host_header=host_header,
        path=target.partition('?')[0],
        key=texts_by_name.get(_API_KEY),
        timeout_s=_parse_remaining_s(texts_by_name.get(_DEADLINE, '')),
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output,
        parts=_parse_prompt_parts(texts_by_name.get('x-prompt-prefix', '')),
        last_event_id=texts_by_name.get(_LAST_EVENT_ID, ''),
        headers=_end_to_end_headers(
            headers, _ROUTER_HEADERS | {_LAST_EVENT_ID}
        ),
    )


def encode_added_headers(added: AddedHeaders) -> Headers:
    """
    Encode the headers that a router adds to a request to a server.

    :param added: values to encode.
    :returns: names and values of the headers.
    """
    headers = [
        (_DEADLINE, str(max(1, int(added.remaining_s * _MS_PER_S)))),
        (_EXPECTED_SERVER, _as_utf8_bytes(added.server_id)),
        (_PRIORITY, str(added.priority)),
    ]
    if added.organisation:
        headers.append((_ORGANISATION, _as_utf8_bytes(added.organisation)))
    if added.last_event_id:
        headers.append((_LAST_EVENT_ID, added.last_event_id))
    return tuple(headers)


def decode_response(status: int, headers: Headers) -> AnswerHead:
    """
    Decode the head of a server's response.

    :param status: HTTP status.
    :param headers: names, in lower case, and values.
    :returns: the decoded head.
    """
    texts_by_name = dict(headers)
    return AnswerHead(
        status=status,
        not_run=_is_refused_early(status, headers),
        sealed=bool(texts_by_name.get(_RESPONSE_SEAL)),
        request_id=_decode_answered_id(headers),
        headers=_end_to_end_headers(headers, frozenset((_REQUEST_ID, _LOAD))),
        load=_parse_load(texts_by_name.get(_LOAD, '')),
        leaving=texts_by_name.get(_LEAVING, '').strip() == '1',
        pause_s=_parse_pause_s(status, texts_by_name.get(_RETRY_AFTER, '')),
        limit=_parse_limit(headers),
    )


def encode_retry_after(seconds: float) -> Headers:
    """
    Encode the delay after which a caller should retry.

    :param seconds: delay in seconds.
    :returns: names and values of the headers.
    """
    return ((_RETRY_AFTER, f'{seconds:.3f}'),)


def _as_utf8_bytes(text: str) -> str:
    # Header values hold one character for each byte.
    return text.encode('utf-8', 'replace').decode('latin-1')


def _check_request(target: str, headers: Headers) -> None:
    names = [name for name, _ in headers]
    problems = [
        f'repeated {single} header'
        for single in _SINGLE_VALUED
        if names.count(single) > 1
    ]
    if 'content-length' in names and 'transfer-encoding' in names:
        problems.append('both content-length and transfer-encoding are set')
    if _REQUEST_ID not in names:
        problems.append(f'missing {_REQUEST_ID} header')
    if not all(text.isascii() for name, text in headers if name == _REQUEST_ID):
        problems.append(f'the {_REQUEST_ID} header is not ASCII')
    if not target.startswith('/') or len(target) > _MAX_TARGET_LENGTH:
        problems.append(
            'the request target must be a path within the length limit'
        )
    if problems:
        raise RequestError('invalid_request', ', '.join(problems))


def _end_to_end_headers(headers: Headers, dropped: frozenset[str]) -> Headers:
    nominated = {
        token.strip().lower()
        for name, text in headers
        if name == 'connection'
        for token in text.split(',')
    }
    excluded = _CONNECTION_HEADERS | dropped | (nominated - set(_SINGLE_VALUED))
    return tuple((name, text) for name, text in headers if name not in excluded)


def _is_refused_early(status: int, headers: Headers) -> bool:
    names = {name for name, _ in headers}
    if _NOT_EXECUTED not in names and status != _MISDIRECTED:
        return False
    # The beginning of a stray head may end within a header, so that the head
    # of the true response continues it and adds the id of the request.
    return not any(_STATUS_LINE.search(text) for _, text in headers)


def _decode_answered_id(headers: Headers) -> str:
    ids = {text for name, text in headers if name == _REQUEST_ID}
    return ids.pop() if len(ids) == 1 else ''


def _parse_token_counts(text: str) -> tuple[int, int]:
    prompt_tokens, _, max_output = text.partition(',')
    if not (prompt_tokens.isdecimal() and max_output.isdecimal()):
        return 0, 0
    return _parse_count(prompt_tokens), _parse_count(max_output)


def _parse_count(digits: str) -> int:
    significant = digits.lstrip('0')
    if len(significant) > len(str(_MAX_COUNT)):
        return _MAX_COUNT
    return min(int(significant or '0'), _MAX_COUNT)


def _parse_remaining_s(text: str) -> float | None:
    try:
        remaining_ms = float(text)
    except ValueError:
        return None
    if not math.isfinite(remaining_ms) or remaining_ms < 0:
        return None
    return remaining_ms / _MS_PER_S


def _parse_pause_s(status: int, text: str) -> float:
    # With other statuses, the header is meant for the caller, not for this
    # router.
    if status != HTTPStatus.SERVICE_UNAVAILABLE or not text:
        return 0
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = _seconds_until(text)
    if not math.isfinite(pause_s):
        _log.warning(
            'ignored an invalid retry-after header',
            extra={'retry_after': text[:_MAX_LOGGED_CHARS]},
        )
        return 0
    return min(max(pause_s, 0), _MAX_PAUSE_S)


def _parse_limit(headers: Headers) -> NamedLimit:
    texts = [
        text.strip()
        for name, field in headers
        if name == _SERVER_LIMIT
        for text in field.split(',')
    ]
    limits = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    if len(limits) < len(texts):
        _log.warning(
            'ignored an invalid server-limit header',
            extra={'server_limit': ','.join(texts)[:_MAX_LOGGED_CHARS]},
        )
    if limits:
        # A header given more than once is as strict as its lowest value.
        return NamedLimit(min(*limits, _MAX_LIMIT_PER_S))
    return NamedLimit(None, is_valid=not texts)


def _seconds_until(date: str) -> float:
    try:
        date_time = datetime.strptime(date, _HTTP_DATE)
    except ValueError:
        return math.nan
    return date_time.replace(tzinfo=UTC).timestamp() - time.time()


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(','):
        part_id, _, tokens = item.strip().partition(':')
        if part_id and tokens.isdecimal():
            parts.append(PromptPart(part_id, _parse_count(tokens)))
    return tuple(parts)


def _parse_load(text: str) -> ServerLoad | None:
    figures = [figure.strip() for figure in text.split(',')]
    counts = figures[:_LOAD_COUNTS]
    if len(counts) < _LOAD_COUNTS:
        return None
    if not all(count.isdecimal() for count in counts):
        return None
    running, waiting, slots = map(_parse_count, counts)
    slowdown = _parse_slowdown(*figures[_LOAD_COUNTS : _LOAD_COUNTS + 1])
    return ServerLoad(running, waiting, slots, slowdown)


def _parse_slowdown(text: str = '') -> float:
    # Zero is invalid: taken for a fast server, it would attract all requests.
    percent = float(text) if _DECIMAL.fullmatch(text) else 0
    if not percent:
        if text:
            _warn_of_slowdown(text[:_MAX_LOGGED_CHARS])
        return 1.0
    return min(max(percent / _PERCENT, _MIN_SLOWDOWN), _MAX_SLOWDOWN)


def _warn_of_slowdown(text: str) -> None:
    # Once in a process: such a server may send thousands of answers a minute.
    if next(_slowdown_warnings) == 0:
        _log.warning(
            'ignored an invalid slowdown in a load report; further ones are '
            'not logged',
            extra={'slowdown': text},
        )
