"""
eelgrassfork.gateway.part_quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Refuses requests that are likely to end their servers, or have parts of prompts
that are.
"""

from collections.abc import Callable
from typing import Final

import logbook
import trio

from ..errors import RequestError
from .attempt_guards import AttemptGuards
from .crash_evidence import find_cause
from .heartbeats import PartNotice
from .sending import Attempt
from .suspect_ids import is_request
from .suspect_parts import RETENTION_S, SuspectParts

__all__ = ('PartQuarantine',)

_log = logbook.Logger('quarantine')

# An answer that began earlier than this shows that the server survived its
# prompt.
_SUSPECT_AFTER_BEGIN_S: Final = 0.5


class _Quarantined:
    def __init__(self, since: float) -> None:
        self.since = since
        self.odds: float = 0
        self.refused = 0


class PartQuarantine:
    """
    Requests and prompt parts that are likely to end servers, by service.

    All routers apply the same rules to the same crashes, so that none has to
    be asked.

    :param count_servers: returns the number of servers of a service.
    :param on_news: called when other routers should learn something at once.
    :ivar suspects: requests and parts that were at servers when these
        ended.
    :ivar guards: attempts that are cancelled once they must not be answered.
    """

    def __init__(
        self,
        count_servers: Callable[[str], int],
        on_news: Callable[[], None],
    ) -> None:
        self.suspects = SuspectParts()
        self.guards = AttemptGuards()
        self._count_servers = count_servers
        self._on_news = on_news
        self._by_service: dict[str, dict[str, _Quarantined]] = {}

    @property
    def count(self) -> int:
        """Number of quarantined requests and parts, of all services."""
        return sum(map(len, self._by_service.values()))

    def cause(self, service: str, suspect_ids: tuple[str, ...]) -> str | None:
        """
        Find the reason for which a request must not be sent.

        :param service: name of the service.
        :param suspect_ids: the request, and shared parts of its prompt.
        :returns: id of the suspect, ``None`` if the request may be sent.
        """
        if service not in self._by_service:
            return None
        return self._cause(service, suspect_ids)

    def placement_key(self, service: str, suspect_ids: tuple[str, ...]) -> str:
        """
        Return the key that places requests with the same suspect together.

        They end one server at most, and the result tells the most.

        :param service: name of the service.
        :param suspect_ids: the request, and shared parts of its prompt.
        :returns: the suspect with the most crashes, the last part of equal
            ones; empty if none is suspect.
        """
        suspects = self.suspects.by_service.get(service, {})
        crash_count_by_part = {
            part_id: len(suspects[part_id].crashes_by_id)
            for part_id in reversed(suspect_ids)
            if part_id in suspects and suspects[part_id].is_new
        }
        if not crash_count_by_part:
            return ''
        return max(crash_count_by_part, key=crash_count_by_part.__getitem__)

    def refuse(
        self, service: str, suspect_ids: tuple[str, ...]
    ) -> RequestError:
        """
        Count a request that must not be sent.

        :param service: name of a service for which :meth:`cause` has found a
            part.
        :param suspect_ids: the request, and shared parts of its prompt.
        :returns: the error ``part_quarantined`` or ``request_quarantined``.
        """
        cause = self.cause(service, suspect_ids) or ''
        self._by_service[service][cause].refused += 1
        self.suspects.by_service[service][cause].record_seen()
        if is_request(cause):
            return RequestError(
                'request_quarantined',
                'servers ended each time that this request was sent',
                retry_after_s=RETENTION_S,
            )
        return RequestError(
            'part_quarantined',
            f'servers ended under requests with part {cause} of the prompt',
            retry_after_s=RETENTION_S,
        )

    def record_answer(self, service: str, suspect_ids: tuple[str, ...]) -> None:
        """
        Record a complete answer to a request.

        :param service: service of the server.
        :param suspect_ids: the request, and shared parts of its prompt.
        """
        if self.suspects.record_answer(service, suspect_ids):
            self._update(service, 'answer')
            self._on_news()

    def record_crash(
        self, attempt: Attempt, suspect_ids: tuple[str, ...]
    ) -> None:
        """
        Record that a server ended under an attempt.

        :param attempt: the attempt.
        :param suspect_ids: the request, and shared parts of its prompt.
        """
        begun_at = attempt.first_event_at
        now_s = trio.current_time()
        if begun_at is not None and now_s - begun_at > _SUSPECT_AFTER_BEGIN_S:
            return
        entry = attempt.server.entry
        if self.suspects.record_crash(
            entry, suspect_ids, self._count_servers(entry.service)
        ):
            self._update(entry.service, 'own request')
            self._on_news()

    def merge(self, notices: tuple[PartNotice, ...], source: str) -> None:
        """
        Apply what another router reports.

        :param notices: suspect parts that the router knows.
        :param source: VM of the router, for the log.
        """
        changed = {
            notice.service for notice in notices if self.suspects.merge(notice)
        }
        for service in changed:
            self._update(service, source)
        if changed:
            self._on_news()

    def lift(self, service: str, part_id: str) -> bool:
        """
        Lift the quarantine of a part at all routers, as an operator demands.

        :param service: name of the service.
        :param part_id: id of the part.
        :returns: whether anything was known of the part.
        """
        if not self.suspects.mark_cleared(service, part_id):
            return False
        self._update(service, 'operator')
        self._on_news()
        return True

    def crash_ids_by_part(self) -> dict[tuple[str, str], frozenset[int]]:
        """
        List the quarantined parts and the crashes that speak for them.

        :returns: crashes by service and part.
        """
        return {
            (notice.service, notice.part_id): frozenset(
                mention.crash_id for mention in notice.crashes
            )
            for notice in self.notices()
        }

    def notices(self) -> tuple[PartNotice, ...]:
        """
        Describe the quarantined parts for another router.

        :returns: one notice per part.
        """
        return tuple(
            self.suspects.make_notice(service, part_id)
            for service, quarantined in self._by_service.items()
            for part_id in quarantined
        )

    def discard_expired(self) -> None:
        """Drop parts that were not seen for a long time."""
        self.suspects.discard_expired()
        for service in tuple(self._by_service):
            self._update(service, 'expiry')

    def dump(self) -> list[dict[str, object]]:
        """
        Describe the quarantined parts for operators.

        :returns: one record per part.
        """
        now_s = trio.current_time()
        return [
            {
                'service': service,
                'part': part_id,
                'since_s': round(now_s - quarantined.since, 1),
                'log_odds': round(quarantined.odds, 1),
                'crashes': self._crash_ages_s(service, part_id),
                'refused': quarantined.refused,
            }
            for service, quarantined_by_part in self._by_service.items()
            for part_id, quarantined in quarantined_by_part.items()
        ]

    def _crash_ages_s(self, service: str, part_id: str) -> list[float]:
        now_s = trio.current_time()
        crashes = self.suspects.by_service[service][part_id].crashes_by_id
        return sorted(round(now_s - crash.at, 1) for crash in crashes.values())

    def _cause(self, service: str, suspect_ids: tuple[str, ...]) -> str | None:
        quarantined = self._by_service[service]
        if not any(one in quarantined for one in suspect_ids):
            return None
        suspects = self.suspects.by_service[service]
        histories = {
            part_id: suspect.history for part_id, suspect in suspects.items()
        }
        return find_cause(suspect_ids, histories, quarantined)

    def _update(self, service: str, source: str) -> None:
        odds_by_part = self.suspects.find_likely(service)
        former = self._by_service.pop(service, {})
        now_s = trio.current_time()
        present = {
            part_id: former.get(part_id) or _Quarantined(now_s)
            for part_id in odds_by_part
        }
        for likely_id, odds in odds_by_part.items():
            present[likely_id].odds = odds
        if present:
            self._by_service[service] = present
            self.guards.cancel_waiting(
                service,
                lambda suspect_ids: (
                    self._cause(service, suspect_ids) is not None
                ),
            )
        for lifted_id in former.keys() - present.keys():
            self._log('quarantine lifted', service, lifted_id, source)
        for added_id in present.keys() - former.keys():
            kind = 'request' if is_request(added_id) else 'part'
            self._log(f'{kind} quarantined', service, added_id, source)

    def _log(
        self, message: str, service: str, part_id: str, source: str
    ) -> None:
        fields: dict[str, object] = {
            'service': service,
            'prompt_part': part_id,
            'source': source,
        }
        quarantined = self._by_service.get(service, {}).get(part_id)
        if quarantined is not None:
            fields['log_odds'] = round(quarantined.odds, 1)
            fields['crash_ages_s'] = self._crash_ages_s(service, part_id)
        _log.warning(message, extra=fields)
