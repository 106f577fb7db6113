"""
eelgrassfork.bundle_trial
~~~~~~~~~~~~~~~~~~~~~~~~~

Trial of a bundle at one router before it is accepted.

An accepted bundle is in force everywhere within seconds and is never rolled
back, so staged checks can only precede acceptance. A trial verifies and
assembles the bundle as if it came into force, reports problems, and discards
the result.
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
    Result of a trial.

    :param version: version of the tried bundle, or 0 if it is invalid or its
        parts can't be fetched.
    :param in_force: version in force at the router, or 0.
    :param problems: reasons why the bundle must not be accepted.
    :param notices: effects that an operator should check before acceptance.
    :param took_ms: duration of the trial in milliseconds.
    """

    version: int
    in_force: int
    problems: list[str]
    notices: list[str]
    took_ms: float


class BundleTrial:
    """
    Runs trials of bundles, one at a time.

    :param holder: verifies manifests and provides the parts already held.
    :param sources: platform and peers, for the missing parts.
    :param failure_domain: qualified name of this router's place.
    :param in_force: returns the bundle in force, or ``None``.
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
        # Assembling a bundle takes up to a second of CPU time.
        self._limiter = trio.CapacityLimiter(1)

    async def run(
        self, envelope: bytes, listed_services: Collection[str]
    ) -> TrialReport:
        """
        Run a trial; the bundle is neither retained nor sent to peers.

        :param envelope: signed manifest, whose parts are stored at the
            platform.
        :param listed_services: qualified names of the services that have
            backend servers in the VM list.
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
            yield f'version {new.version} is not above {held}, the version held'
        if self._failure_domain not in new.places_by_name:
            yield f'it lacks this place, {self._failure_domain}'
        services = current.services_by_name if current else {}
        known = services.keys() & set(listed_services)
        for name in sorted(known):
            if current_name(new, name) not in new.services_by_name:
                yield f'it lacks the service {name}, which has listed servers'


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
