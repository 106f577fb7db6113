"""
eelgrassfork.gateway.suspect_parts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests, and parts of prompts, that were at servers when these ended, as all
routers know.
"""

import random
from collections.abc import Iterable
from hashlib import blake2b
from typing import Final, NamedTuple

import trio

from .crash_evidence import RATE_WINDOW_S, CrashRate, PartHistory, log_odds
from .heartbeats import CrashMention, PartNotice
from .records import ServerEntry

__all__ = (
    'RETENTION_S',
    'Crash',
    'Suspect',
    'SuspectParts',
    'crash_id_of',
)

# Time after the last crash, or the last refused request, until a part may be
# sent again.  Long enough for operators to act.
RETENTION_S: Final = 600.0
# A part that was answered within this time before a crash is known to be safe
# for the present weights of the servers.
_ANSWER_VALID_S: Final = 60.0
# Reports lose the time that they are on the way, which must not make a crash
# look later than an answer.
_CLOCK_MARGIN_S: Final = 0.5
_MAX_CRASHES_PER_PART: Final = 16
_MAX_CRASHES: Final = 1024
_MAX_SUSPECTS: Final = 1024
# Parts in frequent use are refreshed before they are dropped.
_MAX_ANSWERED: Final = 4096
# Time for which every report has a change; with a few recipients each quarter
# of a second it reaches thousands of routers.
_SPREAD_S: Final = 2.0
_MAX_FRESH_NOTICES: Final = 8
# Others, for routers that have just started or were cut off.
_SAMPLE_SIZE: Final = 4
# Own knowledge of an answer is reported if it is newer by this much.
_ANSWER_NEWS_S: Final = 1.0
_MS_PER_S: Final = 1000
_NEVER: Final = float('-inf')
_DIGEST_BYTES: Final = 8

PartKey = tuple[str, str]


class Crash(NamedTuple):
    """
    End of a server with requests in progress.

    :param at: when it happened, on trio's clock.
    :param servers: servers of its service at that time.
    """

    at: float
    servers: int


class Suspect:
    """
    A request, or a part of a prompt, that was at servers when these ended.

    :ivar crashes_by_id: newest crashes since the last complete answer to a
        request with the part.
    :ivar answered_at: time of that answer on trio's clock, minus infinity
        without one.
    :ivar seen_at: last crash, or last refused request with the part.
    :ivar changed_at: when this router last learned something new.
    """

    def __init__(self, answered_at: float) -> None:
        self.crashes_by_id: dict[int, Crash] = {}
        self.answered_at = answered_at
        self.seen_at: float = _NEVER
        self.changed_at: float = _NEVER

    @property
    def history(self) -> PartHistory:
        """Crashes and answers of the part."""
        first_at = min(
            (crash.at for crash in self.crashes_by_id.values()), default=0
        )
        return PartHistory(
            frozenset(self.crashes_by_id),
            first_at - self.answered_at <= _ANSWER_VALID_S,
        )

    @property
    def is_new(self) -> bool:
        """Whether it was at a crash, and at no answer before."""
        return bool(self.crashes_by_id) and not self.history.was_answered

    def add_crash(self, crash_id: int, crash: Crash) -> bool:
        """
        Record a crash.

        :param crash_id: identity of the crash.
        :param crash: its time.
        :returns: whether it is new, and later than the last answer.
        """
        known = self.crashes_by_id.get(crash_id)
        is_old = crash.at <= self.answered_at + _CLOCK_MARGIN_S
        if known is not None or is_old:
            return False
        self.crashes_by_id[crash_id] = crash
        if len(self.crashes_by_id) > _MAX_CRASHES_PER_PART:
            oldest = min(
                self.crashes_by_id, key=lambda key: self.crashes_by_id[key].at
            )
            self.crashes_by_id.pop(oldest)
        return crash_id in self.crashes_by_id

    def record_seen(self) -> None:
        """Record that a request with the part was refused."""
        self.seen_at = trio.current_time()

    def record_answer(self, answered_at: float) -> bool:
        """
        Record a complete answer, which clears the part of earlier crashes.

        :param answered_at: time of the answer on trio's clock.
        :returns: whether a crash was dropped.
        """
        self.answered_at = max(self.answered_at, answered_at)
        cleared = [
            crash_id
            for crash_id, crash in self.crashes_by_id.items()
            if crash.at <= self.answered_at + _CLOCK_MARGIN_S
        ]
        for crash_id in cleared:
            self.crashes_by_id.pop(crash_id)
        return bool(cleared)


class SuspectParts:
    """
    Table of suspects by service, merged from all routers.

    A suspect is a part of a prompt or a request; ``part_id`` names either, as
    in the messages of former builds.  The table is bounded in size: what was
    seen longest ago is dropped first.

    :ivar by_service: suspects by the id of the part.
    """

    def __init__(self) -> None:
        self.by_service: dict[str, dict[str, Suspect]] = {}
        self._crashes_by_service: dict[str, dict[int, Crash]] = {}
        self._answered_at: dict[PartKey, float] = {}
        self._random = random.Random()

    def record_answer(self, service: str, part_ids: Iterable[str]) -> bool:
        """
        Record a complete answer to a request.

        :param service: service of the server.
        :param part_ids: parts that the request shares with others.
        :returns: whether a suspect part was cleared by it.
        """
        now_s = trio.current_time()
        cleared = False
        for part_id in part_ids:
            self._remember_answer((service, part_id), now_s)
            suspect = self.by_service.get(service, {}).get(part_id)
            if suspect is not None and suspect.record_answer(now_s):
                suspect.changed_at = now_s
                cleared = True
        return cleared

    def record_crash(
        self, entry: ServerEntry, part_ids: Iterable[str], servers: int
    ) -> bool:
        """
        Record that a request was suspect when its server ended.

        :param entry: entry of the server.
        :param part_ids: parts that the request shares with others.
        :param servers: present number of servers of the service.
        :returns: whether one of the parts was not suspect of this crash yet.
        """
        crash = Crash(trio.current_time(), servers)
        crash_id = crash_id_of(entry)
        changed = [
            self._add_crash((entry.service, part_id), crash_id, crash)
            for part_id in part_ids
        ]
        return any(changed)

    def merge(self, notice: PartNotice) -> bool:
        """
        Apply what another router reports of a part.

        :param notice: the report.
        :returns: whether anything about the part is new.
        """
        now_s = trio.current_time()
        key = (notice.service, notice.part_id)
        changed = [
            self._add_crash(
                key,
                mention.crash_id,
                Crash(now_s - _seconds(mention.age_ms), mention.servers),
            )
            for mention in notice.crashes
            if _seconds(mention.age_ms) <= RETENTION_S
        ]
        suspect = self.by_service.get(notice.service, {}).get(notice.part_id)
        if suspect is None:
            return False
        suspect.seen_at = max(
            suspect.seen_at, now_s - _seconds(notice.seen_age_ms)
        )
        reported_at = _NEVER
        if notice.answered_age_ms is not None:
            reported_at = now_s - _seconds(notice.answered_age_ms)
        if suspect.record_answer(reported_at):
            changed.append(True)
        elif (
            notice.crashes
            and suspect.answered_at > reported_at + _ANSWER_NEWS_S
        ):
            # The other router does not know this yet.
            suspect.changed_at = now_s
        if any(changed):
            suspect.changed_at = now_s
        return any(changed)

    def mark_cleared(self, service: str, part_id: str) -> bool:
        """
        Drop what speaks against a part, for all routers.

        :param service: name of the service.
        :param part_id: id of the part.
        :returns: whether the part was suspect.
        """
        return self.record_answer(service, (part_id,))

    def find_likely(self, service: str) -> dict[str, float]:
        """
        Find the parts that are likely to end the servers of a service.

        :param service: name of the service.
        :returns: logarithm of their odds by the id of the part.
        """
        odds_by_part = {
            part_id: log_odds(suspect.history, self._rate(service, suspect))
            for part_id, suspect in self.by_service.get(service, {}).items()
            if suspect.crashes_by_id
        }
        return {
            part_id: odds for part_id, odds in odds_by_part.items() if odds > 0
        }

    def notices(self) -> tuple[PartNotice, ...]:
        """
        Choose the parts that are reported to other routers now.

        :returns: recent changes, those with most crashes first, and a random
            sample of the others.
        """
        oldest = trio.current_time() - _SPREAD_S
        keys = [
            (service, part_id)
            for service, suspects in self.by_service.items()
            for part_id in suspects
        ]
        fresh = [key for key in keys if self._suspect(key).changed_at >= oldest]
        fresh.sort(key=self._priority, reverse=True)
        chosen = fresh[:_MAX_FRESH_NOTICES]
        rest = [
            key
            for key in keys
            if key not in chosen and self._suspect(key).crashes_by_id
        ]
        chosen += self._random.sample(rest, min(_SAMPLE_SIZE, len(rest)))
        return tuple(self.make_notice(*key) for key in chosen)

    def make_notice(self, service: str, part_id: str) -> PartNotice:
        """
        Describe a suspect part for another router.

        :param service: name of the service.
        :param part_id: id of the part, which must be suspect.
        :returns: the notice.
        """
        suspect = self.by_service[service][part_id]
        answered_age_ms = None
        if suspect.answered_at > _NEVER:
            answered_age_ms = _age_ms(suspect.answered_at)
        return PartNotice(
            service,
            part_id,
            tuple(
                CrashMention(crash_id, _age_ms(crash.at), crash.servers)
                for crash_id, crash in suspect.crashes_by_id.items()
            ),
            answered_age_ms,
            _age_ms(suspect.seen_at),
        )

    def discard_expired(self) -> None:
        """Drop what was seen too long ago, and what exceeds the bounds."""
        now_s = trio.current_time()
        for service, suspects in self.by_service.items():
            by_age = sorted(suspects.items(), key=lambda pair: -pair[1].seen_at)
            self.by_service[service] = {
                part_id: suspect
                for part_id, suspect in by_age[:_MAX_SUSPECTS]
                if now_s - suspect.seen_at <= _retention_s(suspect)
            }
        for service, crashes in self._crashes_by_service.items():
            newest = sorted(crashes.items(), key=lambda pair: -pair[1].at)
            self._crashes_by_service[service] = {
                crash_id: crash
                for crash_id, crash in newest[:_MAX_CRASHES]
                if now_s - crash.at <= RETENTION_S
            }

    def _suspect(self, key: PartKey) -> Suspect:
        return self.by_service[key[0]][key[1]]

    def _priority(self, key: PartKey) -> tuple[bool, int]:
        history = self._suspect(key).history
        return not history.was_answered, len(history.crash_ids)

    def _add_crash(self, key: PartKey, crash_id: int, crash: Crash) -> bool:
        service, part_id = key
        known = self._crashes_by_service.setdefault(service, {})
        # All parts of a crash have the time at which it was heard of first.
        crash = known.setdefault(crash_id, crash)
        suspects = self.by_service.setdefault(service, {})
        suspect = suspects.get(part_id)
        if suspect is None:
            suspect = Suspect(self._answered_at.get(key, _NEVER))
        if not suspect.add_crash(crash_id, crash):
            return False
        suspects[part_id] = suspect
        suspect.seen_at = max(suspect.seen_at, crash.at)
        suspect.changed_at = trio.current_time()
        return True

    def _rate(self, service: str, suspect: Suspect) -> CrashRate:
        own = suspect.crashes_by_id
        last_at = max(crash.at for crash in own.values())
        others = sum(
            crash_id not in own
            and last_at - RATE_WINDOW_S <= crash.at <= last_at
            for crash_id, crash in self._crashes_by_service[service].items()
        )
        return CrashRate(others, max(crash.servers for crash in own.values()))

    def _remember_answer(self, key: PartKey, now_s: float) -> None:
        self._answered_at.pop(key, None)
        self._answered_at[key] = now_s
        if len(self._answered_at) > _MAX_ANSWERED:
            self._answered_at.pop(next(iter(self._answered_at)))


def crash_id_of(entry: ServerEntry) -> int:
    """
    Compute the identity of a crash, the same at all routers.

    :param entry: entry of the server that ended.
    :returns: unsigned integer of 64 bits.
    """
    return _digest(f'{entry.id}/{entry.incarnation}')


def _digest(text: str) -> int:
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def _retention_s(suspect: Suspect) -> float:
    return RETENTION_S if suspect.crashes_by_id else _ANSWER_VALID_S


def _seconds(age_ms: int) -> float:
    return max(0, age_ms) / _MS_PER_S


def _age_ms(at: float) -> int:
    return int((trio.current_time() - at) * _MS_PER_S)
