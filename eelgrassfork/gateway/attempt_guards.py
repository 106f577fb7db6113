"""
eelgrassfork.gateway.attempt_guards
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cancels attempts that wait at servers once they must not be answered any more.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

import trio

from .sending import Attempt

__all__ = ('AttemptGuards',)


class _Guarded(NamedTuple):
    suspect_ids: tuple[str, ...]
    scope: trio.CancelScope


class AttemptGuards:
    """Attempts in progress, by the service of their server."""

    def __init__(self) -> None:
        self._guarded_by_service: dict[str, dict[Attempt, _Guarded]] = {}

    @contextmanager
    def guard(
        self, attempt: Attempt, suspect_ids: tuple[str, ...]
    ) -> Iterator[None]:
        """
        Make an attempt cancellable; it then ends without an error.

        :param attempt: the attempt.
        :param suspect_ids: the request, and shared parts of its prompt.
        """
        service = attempt.server.entry.service
        guarded = self._guarded_by_service.setdefault(service, {})
        with trio.CancelScope() as scope:
            guarded[attempt] = _Guarded(suspect_ids, scope)
            try:
                yield
            finally:
                guarded.pop(attempt)

    def cancel_waiting(
        self, service: str, is_refused: Callable[[tuple[str, ...]], bool]
    ) -> None:
        """
        Cancel attempts whose answer has not begun.

        :param service: name of the service.
        :param is_refused: returns whether requests with the given parts are
            refused.
        """
        guarded_by_attempt = self._guarded_by_service.get(service, {})
        for attempt, guarded in guarded_by_attempt.items():
            is_waiting = attempt.first_event_at is None
            if is_waiting and is_refused(guarded.suspect_ids):
                guarded.scope.cancel()
