"""
eelgrassfork.logs
~~~~~~~~~~~~~~~~~

Log lines as text or JSON, with part, request identity and no secrets.
"""

import re
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from datetime import timezone
from typing import Any, Final, Literal, NamedTuple, TextIO

import logbook
import msgspec

__all__ = ('LogForm', 'LogOptions', 'hide_secrets', 'request_context', 'set_up')

LogForm = Literal['text', 'json']

_request_id: ContextVar[str] = ContextVar('request_id', default='')

_HIDDEN: Final = '[hidden]'
# A key may follow "Bearer", or stand as the value of a header, JSON field or
# setting whose name says that it is one. Idempotency keys are of no use
# without the caller's key, so they stay readable.
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
    How a process logs.

    :param form: ``text`` for people, ``json`` for one object a line.
    :param level: lowest level that is written, such as ``info``.
    :param holder: identity of the process, in every JSON line.
    :param secrets: exact strings that are hidden wherever they appear,
        such as the operator's key.
    """

    form: LogForm = 'text'
    level: str = 'info'
    holder: str = ''
    secrets: tuple[str, ...] = ()


def set_up(options: LogOptions, stream: TextIO) -> logbook.Handler:
    """
    Send all log lines of the process to a stream.

    :param options: form, level and what to hide.
    :param stream: where lines go.
    :returns: the handler in force; ``pop_application`` takes it out.
    """
    handler = logbook.StreamHandler(
        stream, level=logbook.lookup_level(options.level.upper())
    )
    encode = _FORMATTERS_BY_FORM[options.form]

    def format_line(record: Any, _: object) -> str:  # noqa: WPS430
        return encode(record, options)

    handler.formatter = format_line
    handler.push_application()
    return handler


@contextmanager
def request_context(request_id: str) -> Iterator[None]:
    """
    Put a request identity on all log lines of the enclosed work.

    Tasks started within inherit it.

    :param request_id: identity of the request.
    """
    token = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(token)


def hide_secrets(text: str, secrets: tuple[str, ...] = ()) -> str:
    """
    Replace everything that looks like a key.

    :param text: text that may hold a key or an ``Authorization`` header.
    :param secrets: exact strings to hide as well.
    :returns: the text without them.
    """
    for secret in secrets:
        if secret:
            text = text.replace(secret, _HIDDEN)
    return _SECRET.sub(_hide_match, text)


def _hide_match(match: re.Match[str]) -> str:
    return match.group('name') + _HIDDEN


def _message_with_part(record: Any) -> str:
    prefix = f'{record.channel}: '
    message = str(record.message)
    return message if message.startswith(prefix) else prefix + message


def _escape(text: str) -> str:
    # A caller's text must not start a line of its own in the log.
    return _CONTROL.sub(_escape_match, text)


def _escape_match(match: re.Match[str]) -> str:
    return rf'\u{ord(match.group()):04x}'


def _time_of(record: Any) -> str:
    moment = record.time.replace(tzinfo=timezone.utc)
    return f'{moment.strftime("%Y-%m-%dT%H:%M:%S")}.{_milliseconds(moment)}Z'


def _milliseconds(moment: Any) -> str:
    return f'{moment.microsecond // 1000:03d}'


def _text_line(record: Any, options: LogOptions) -> str:
    message = _escape(hide_secrets(_message_with_part(record), options.secrets))
    request_id = _request_id.get()
    identity = f' request={request_id}' if request_id else ''
    line = f'{_time_of(record)} {record.level_name} {message}{identity}'
    trace = hide_secrets(record.formatted_exception or '', options.secrets)
    indented = [f'\n    {_escape(text)}' for text in trace.splitlines()]
    return line + ''.join(indented)


def _json_line(record: Any, options: LogOptions) -> str:
    fields = {
        'time': _time_of(record),
        'level': record.level_name,
        'part': record.channel,
        'message': _message_with_part(record),
        'holder': options.holder,
        'request_id': _request_id.get(),
        'trace': record.formatted_exception or '',
    }
    hidden: dict[str, Any] = {
        name: hide_secrets(text, options.secrets)
        for name, text in fields.items()
        if text
    }
    hidden.update(record.extra)
    return _escape(msgspec.json.encode(hidden).decode())


_FORMATTERS_BY_FORM: Final = {'text': _text_line, 'json': _json_line}
