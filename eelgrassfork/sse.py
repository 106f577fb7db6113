"""
eelgrassfork.sse
~~~~~~~~~~~~~~~~

Splits a byte stream into server-sent events without changing them.
"""

import re
from typing import Final

from .errors import EelgrassError

__all__ = ('DONE', 'EventSplitter', 'EventTooLarge', 'event_data', 'make_event')

DONE: Final = b'[DONE]'
_MAX_EVENT_BYTES: Final = 1_048_576
_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_LONGEST_END: Final = 4
_DATA: Final = b'data:'


class EventTooLarge(EelgrassError):
    """An event exceeds the bound."""


class EventSplitter:
    """
    Collects bytes until events are whole.

    :param max_event_bytes: largest event.
    """

    def __init__(self, max_event_bytes: int = _MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = bytearray()

    @property
    def pending(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return bytes(self._rest)

    def feed(self, chunk: bytes) -> list[bytes]:
        """
        Take bytes as they come.

        :param chunk: next bytes of the stream.
        :returns: the events that are whole now, with their blank line.
        :raises EventTooLarge: ``event_too_large``.
        """
        scanned = max(0, len(self._rest) - _LONGEST_END + 1)
        self._rest += chunk
        events = []
        start = 0
        for end in _END.finditer(self._rest, scanned):
            events.append(bytes(self._rest[start : end.end()]))
            start = end.end()
        del self._rest[:start]
        largest = max(map(len, events), default=0)
        if max(largest, len(self._rest)) > self._max_event_bytes:
            raise EventTooLarge(
                'event_too_large',
                f'an event exceeds {self._max_event_bytes} bytes',
            )
        return events


def event_data(event: bytes) -> bytes:
    """
    Read the data of an event.

    :param event: the whole event.
    :returns: its data lines joined by newlines; empty for a comment.
    """
    lines = [
        line[len(_DATA) :].removeprefix(b' ')
        for line in event.splitlines()
        if line.startswith(_DATA)
    ]
    return lines[0] if len(lines) == 1 else b'\n'.join(lines)


def make_event(data: bytes, name: str = '') -> bytes:
    """
    Write an event.

    :param data: its data, without line ends.
    :param name: its type, if not the default one.
    :returns: the event with its blank line.
    """
    head = f'event: {name}\n'.encode() if name else b''
    return b'%bdata: %b\n\n' % (head, data)
