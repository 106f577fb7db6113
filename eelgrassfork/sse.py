"""
eelgrassfork.sse
~~~~~~~~~~~~~~~~

Splits a byte stream into server-sent events, byte for byte.
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
    """An event exceeds the size limit."""


class EventSplitter:
    """
    Incremental splitter that buffers incomplete events.

    :param max_event_bytes: size limit of an event.
    """

    def __init__(self, max_event_bytes: int = _MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._pending = bytearray()

    @property
    def pending(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return bytes(self._pending)

    def feed(self, chunk: bytes) -> list[bytes]:
        """
        Add bytes of the stream.

        :param chunk: next bytes of the stream.
        :returns: the events completed by them, with their blank line.
        :raises EventTooLarge: if an event exceeds the size limit.
        """
        scanned = max(0, len(self._pending) - _LONGEST_END + 1)
        self._pending += chunk
        events = []
        start = 0
        for end in _END.finditer(self._pending, scanned):
            events.append(bytes(self._pending[start : end.end()]))
            start = end.end()
        del self._pending[:start]
        largest = max(map(len, events), default=0)
        if max(largest, len(self._pending)) > self._max_event_bytes:
            raise EventTooLarge(
                'event_too_large',
                f'event exceeds {self._max_event_bytes} bytes',
            )
        return events


def event_data(event: bytes) -> bytes:
    """
    Extract the data of an event.

    :param event: the complete event.
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
    Encode an event.

    :param data: its data, without line breaks.
    :param name: its type; empty for the default type.
    :returns: the event with its blank line.
    """
    head = f'event: {name}\n'.encode() if name else b''
    return b'%bdata: %b\n\n' % (head, data)
