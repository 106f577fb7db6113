"""
eelgrassfork.gateway.event_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks the order of events in a stream that may continue on another server.
"""

import re
from typing import Final

from ..errors import EelgrassError
from ..sse import EventSplitter
from .prices import UNKNOWN_TOKENS_PER_EVENT

__all__ = ('EventsMissing', 'EventRelay')

_ID_LINE: Final = re.compile(rb'^id:[ ]?(\d+)\r?$', re.MULTILINE)


class EventsMissing(EelgrassError):
    """Events are missing from a stream."""


class EventRelay:
    """
    Relays each complete event once and in order.

    :param last_event_id: id of the last event that the caller received, empty
        for a new stream.
    :ivar events: number of numbered events relayed.
    :ivar output_tokens: price of these events, each by its own server.
    """

    def __init__(self, last_event_id: str) -> None:
        self.last_event_id = last_event_id
        self.events = 0
        self.output_tokens = 0
        self._tokens_per_event = UNKNOWN_TOKENS_PER_EVENT
        self._splitter = EventSplitter()

    @property
    def at_event_boundary(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._splitter.pending

    def switch_server(
        self, tokens_per_event: int = UNKNOWN_TOKENS_PER_EVENT
    ) -> None:
        """
        Discard any partial event and expect the stream of another server.

        :param tokens_per_event: price of each event of that server.
        """
        self._splitter = EventSplitter()
        self._tokens_per_event = tokens_per_event

    def feed(self, chunk: bytes) -> bytes:
        """
        Process received bytes of the stream.

        :param chunk: received bytes.
        :returns: complete events to relay, possibly empty.
        :raises EventsMissing: if an event is missing.
        :raises EventTooLarge: if an event exceeds the size limit.
        """
        return b''.join(
            event for event in self._splitter.feed(chunk) if self._accept(event)
        )

    def _accept(self, event: bytes) -> bool:
        match = _ID_LINE.search(event)
        if match is None:
            return True
        number = int(match.group(1))
        if self.last_event_id.isdecimal():
            last = int(self.last_event_id)
            if number <= last:
                return False
            if number > last + 1:
                raise EventsMissing(
                    'events_missing',
                    f'received event {number} after event {last}',
                )
        self.last_event_id = str(number)
        self.events += 1
        self.output_tokens += self._tokens_per_event
        return True
