"""
eelgrassfork.gateway.event_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks the events of one stream that several servers may continue.
"""

import re
from typing import Final

from ..errors import EelgrassError
from ..sse import EventSplitter

__all__ = ('BrokenStream', 'EventRelay')

_ID: Final = re.compile(rb'^id:[ ]?(\d+)\r?$', re.MULTILINE)


class BrokenStream(EelgrassError):
    """Events are missing, or not in order."""


class EventRelay:
    """
    Passes on whole events once each and in order.

    :param last_event_id: id of the last event that the caller has, empty at
        the start.
    :ivar events: number of events passed on.
    """

    def __init__(self, last_event_id: str) -> None:
        self.last_event_id = last_event_id
        self.events = 0
        self._splitter = EventSplitter()

    @property
    def is_whole(self) -> bool:
        """Whether no event is left half read."""
        return not self._splitter.pending

    def begin(self) -> None:
        """Take the events of another server from now on."""
        self._splitter = EventSplitter()

    def feed(self, chunk: bytes) -> bytes:
        """
        Take bytes of a stream.

        :param chunk: bytes as they come.
        :returns: bytes to pass on now, maybe none.
        :raises BrokenStream: if an event is missing.
        :raises EventTooLarge: if an event exceeds the bound.
        """
        return b''.join(
            event
            for event in self._splitter.feed(chunk)
            if self._is_next(event)
        )

    def _is_next(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last_event_id.isdecimal():
            known = int(self.last_event_id)
            if number <= known:
                return False
            if number > known + 1:
                raise BrokenStream(
                    'events_missing', f'event {number} follows {known}'
                )
        self.last_event_id = str(number)
        self.events += 1
        return True
