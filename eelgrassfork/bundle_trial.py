"""
eelgrassfork.bundle_trial
~~~~~~~~~~~~~~~~~~~~~~~~~

A bundle tried at one router before it is accepted.

An accepted bundle is in force everywhere within seconds and never goes back,
so stages can only come before acceptance. A trial verifies and assembles the
bundle as if it came into force, reports what is wrong, and keeps nothing.
"""

from collections.abc import Callable, Collection, Iterator
from typing import Final, NamedTuple

import trio

from .bundle_changes import ABSENT, changes_between
from .bundle_fetch import BundleSources, parts_from_peers_or_platform
from .bundle_holder import BundleHolder
from .bundle_lookup import current_name
from .bundle_types import Bundle
from .errors import EelgrassError
from .held_bundle import HeldBundle, fetch_and_assemble

__all__ = ('BundleTrial', 'TrialReport')

_KEY_FIELD: Final = 'budgets_by_key_hash.'
_MS: Final = 1000


class TrialReport(NamedTuple):
    """
    What a router found.

    :param version: version that was tried, or 0 if it can't be read.
    :param in_force: version in force at the router, or 0.
    :param problems: why the bundle must not be accepted.
    :param notices: what a person should know before.
    :param took_ms: time the trial took in milliseconds.
    """

    version: int
    in_force: int
    problems: list[str]
    notices: list[str]
    took_ms: float


class BundleTrial:
    """
    Tries bundles, one after the other.

    :param holder: verifies bundles and has the parts at hand.
    :param sources: where missing parts come from.
    :param failure_domain: qualified name of this router's place.
    :param in_force: query for the bundle in force.
    """

    def __init__(
        self,
        holder: BundleHolder,
        sources: BundleSources,
        failure_domain: str,
        in_force: Callable[[], Bundle | None],
    ) -> None:
        self._holder = holder
        self._sources = sources
        self._failure_domain = failure_domain
        self._in_force = in_force
        # Assembling a whole bundle takes up to a second of processor time.
        self._limiter = trio.CapacityLimiter(1)

    async def run(
        self, envelope: bytes, listed_services: Collection[str]
    ) -> TrialReport:
        """
        Try a bundle; nothing of it is kept or handed to peers.

        :param envelope: signed manifest; its parts stand at the platform.
        :param listed_services: services of listed backend servers.
        :returns: the report.
        """
        async with self._limiter:
            started = trio.current_time()
            current = self._in_force()
            version = 0
            notices: list[str] = []
            try:
                held = await self._assemble(envelope)
            except EelgrassError as error:
                problems = [error.message]
            else:
                version = held.bundle.version
                problems = list(
                    self._problems(held.bundle, current, listed_services)
                )
                services = {
                    current_name(held.bundle, name) for name in listed_services
                }
                notices.extend(_notices(held.bundle, current, services))
            took_ms = _MS * (trio.current_time() - started)
            in_force = current.version if current else 0
            return TrialReport(
                version, in_force, problems, notices, round(took_ms, 1)
            )

    async def _assemble(self, envelope: bytes) -> HeldBundle:
        signed = self._holder.verify(envelope)
        version = signed.manifest.version
        fetch = parts_from_peers_or_platform(self._sources, version)
        return await fetch_and_assemble(signed, self._holder.held, fetch)

    def _problems(
        self,
        new: Bundle,
        current: Bundle | None,
        listed_services: Collection[str],
    ) -> Iterator[str]:
        held = self._holder.version
        if new.version <= held:
            yield f'version {new.version} is not above {held}, which is held'
        if self._failure_domain not in new.places_by_name:
            yield f'it lacks this place, {self._failure_domain}'
        services = current.services_by_name if current else {}
        known = services.keys() & set(listed_services)
        for name in sorted(known):
            if current_name(new, name) not in new.services_by_name:
                yield f'it lacks the service {name}, whose servers are listed'


def _notices(
    new: Bundle, current: Bundle | None, listed_services: set[str]
) -> Iterator[str]:
    if current is None:
        return
    for name in sorted(
        new.services_by_name.keys()
        - current.services_by_name.keys()
        - listed_services
    ):
        yield f'the new service {name} has no listed server'
    changes = [
        change
        for change in changes_between(current, new)
        if change.field.field.startswith(_KEY_FIELD)
    ]
    removed = sum(change.after is ABSENT for change in changes)
    moved = sum(ABSENT not in change[1:] for change in changes)
    if removed:
        yield f'{removed} keys stop working'
    if moved:
        yield f'{moved} keys draw on another budget'
