"""
eelgrassfork.logs
~~~~~~~~~~~~~~~~~

Formats log lines as text or JSON with component and request ID, and redacts
secrets.
"""

import re
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from datetime import timezone
from typing import Any, Final, Literal, NamedTuple, TextIO

import logbook
import msgspec

__all__ = (
    'LogFormat',
    'LogOptions',
    'redact_secrets',
    'request_context',
    'configure_logging',
)

LogFormat = Literal['text', 'json']

_request_id: ContextVar[str] = ContextVar('request_id', default='')

_REDACTED: Final = '[hidden]'
# A key may follow "Bearer", or be the value of a header, JSON field or setting
# whose name marks it as a key. Idempotency keys are useless without the caller's
# API key, so they are not redacted.
_SECRET: Final = re.compile(
    r'(?P<name>\bbearer\s+'
    r'|\bauthorization\b["\']?\s*[:=,]\s*(?:b?["\'])?'
    r'(?:(?:basic|bearer)\s+)?'
    r'|\b(?:api|peer|operator|private|secret)[_-]?key\b["\']?\s*[:=]\s*["\']?'
    r')[^\s"\',;}\])]+',
    re.IGNORECASE,
)
_CONTROL: Final = re.compile(r'[\x00-\x1f\x7f\x85\u2028\u2029]')


class LogOptions(NamedTuple):
    """
    Logging options of a process.

    :param line_format: ``text`` for people, ``json`` for one object per line.
    :param level: minimum level that is logged, such as ``info``.
    :param holder: identifier of the process, included in every JSON line.
    :param secrets: exact strings that are redacted wherever they appear,
        such as the operator's key.
    """

    line_format: LogFormat = 'text'
    level: str = 'info'
    holder: str = ''
    secrets: tuple[str, ...] = ()


def configure_logging(options: LogOptions, stream: TextIO) -> logbook.Handler:
    """
    Write all log lines of the process to a stream.

    :param options: format, level, process identifier and secrets.
    :param stream: stream to which lines are written.
    :returns: the installed handler; its ``pop_application`` removes it.
    """
    handler = logbook.StreamHandler(
        stream, level=logbook.lookup_level(options.level.upper())
    )
    encode = _ENCODERS_BY_FORMAT[options.line_format]

    def format_line(record: Any, _: object) -> str:  # noqa: WPS430
        return encode(record, options)

    handler.formatter = format_line
    handler.push_application()
    return handler


@contextmanager
def request_context(request_id: str) -> Iterator[None]:
    """
    Add a request ID to all log lines written within the context.

    Tasks started within the context inherit it.

    :param request_id: ID of the request.
    """
    token = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(token)


def redact_secrets(text: str, secrets: tuple[str, ...] = ()) -> str:
    """
    Redact everything that looks like a key.

    :param text: text that may contain a key or an ``Authorization`` header.
    :param secrets: exact strings to redact as well.
    :returns: the text with each secret replaced by a placeholder.
    """
    for secret in secrets:
        if secret:
            text = text.replace(secret, _REDACTED)
    return _SECRET.sub(_redact_match, text)


def _redact_match(match: re.Match[str]) -> str:
    return match.group('name') + _REDACTED


def _prefixed_message(record: Any) -> str:
    prefix = f'{record.channel}: '
    message = str(record.message)
    return message if message.startswith(prefix) else prefix + message


def _escape(text: str) -> str:
    # Text from a caller must not inject a line into the log.
    return _CONTROL.sub(_escape_match, text)


def _escape_match(match: re.Match[str]) -> str:
    return rf'\u{ord(match.group()):04x}'


def _format_time(record: Any) -> str:
    timestamp = record.time.replace(tzinfo=timezone.utc)
    return (
        f'{timestamp.strftime("%Y-%m-%dT%H:%M:%S")}.{_milliseconds(timestamp)}Z'
    )


def _milliseconds(timestamp: Any) -> str:
    return f'{timestamp.microsecond // 1000:03d}'


def _text_line(record: Any, options: LogOptions) -> str:
    message = _escape(
        redact_secrets(_prefixed_message(record), options.secrets)
    )
    request_id = _request_id.get()
    identity = f' request={request_id}' if request_id else ''
    line = f'{_format_time(record)} {record.level_name} {message}{identity}'
    trace = redact_secrets(record.formatted_exception or '', options.secrets)
    indented = [f'\n    {_escape(text)}' for text in trace.splitlines()]
    return line + ''.join(indented)


def _json_line(record: Any, options: LogOptions) -> str:
    fields = {
        'time': _format_time(record),
        'level': record.level_name,
        'part': record.channel,
        'message': _prefixed_message(record),
        'holder': options.holder,
        'request_id': _request_id.get(),
        'trace': record.formatted_exception or '',
    }
    redacted: dict[str, Any] = {
        name: redact_secrets(text, options.secrets)
        for name, text in fields.items()
        if text
    }
    redacted.update(record.extra)
    return _escape(msgspec.json.encode(redacted).decode())


_ENCODERS_BY_FORMAT: Final = {'text': _text_line, 'json': _json_line}
