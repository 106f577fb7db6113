"""
eelgrassfork.rollout
~~~~~~~~~~~~~~~~~~~~

Which bundle is in force at this router.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import logbook
import trio

from .bundle import CURRENT_KEY
from .bundle_fetch import (
    FETCH,
    OFFER,
    BundleSources,
    Payload,
    has_live_peer,
    has_ready_peer,
    offer_to_peers,
)
from .bundle_holder import BundleHolder
from .bundle_trial import BundleTrial
from .bundle_types import Bundle
from .errors import EelgrassError
from .held_bundle import HeldBundle, answer_fetch

__all__ = ('Rollout', 'RolloutSettings')

_log = logbook.Logger('rollout')

_TICK_S: Final = 1
_PEER_POLL_S: Final = 0.05
_FIRST_BACKOFF_S: Final = 0.5
_MAX_DOUBLINGS: Final = 2
_BACKOFF_JITTER: Final = 0.5


class RolloutSettings(NamedTuple):
    """
    Settings of the rollout; times in seconds.

    :param failure_domain: qualified name of this router's place.
    :param trusted_keys: public keys in base64 by key identifier.
    :param watch_s: longest wait of one watch at the platform.
    :param offer_s: longest wait for peers to take an offered bundle.
    :param frozen_s: lateness of the event loop after which the bundle is
        caught up before requests are served.
    :param catch_up_s: longest time for catching up.
    :param settle_s: time given to peers to make themselves known while the
        platform is down at the start.
    """

    failure_domain: str
    trusted_keys: Mapping[str, str]
    watch_s: float = 5
    offer_s: float = 2
    frozen_s: float = 5
    catch_up_s: float = 4
    settle_s: float = 1.5


class Rollout:  # noqa: WPS214 - a small method for each task and query
    """
    Takes bundles from the platform and from peers; never goes back.

    A bundle is first held: verified, and handed to peers that ask. It comes
    into force once it was offered to the live peers of the failure domain.

    :param settings: keys and times.
    :param sources: the platform and the peers.
    :param is_watcher: query whether this router watches the platform for
        its failure domain.
    :ivar current: the bundle in force, or ``None``.
    :ivar trial: tries bundles before they are accepted.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        sources: BundleSources,
        is_watcher: Callable[[], bool],
    ) -> None:
        self.current: Bundle | None = None
        self._settings = settings
        self._sources = sources
        self._is_watcher = is_watcher
        self._holder = BundleHolder(
            settings.trusted_keys, sources, self._signal_change
        )
        self.trial = BundleTrial(
            self._holder,
            sources,
            settings.failure_domain,
            lambda: self.current,
        )
        self._on_in_force: list[Callable[[], None]] = []
        self._changed = trio.Event()
        self._started = False
        self._catching_up = False
        self._ticked_at: float = 0
        self._in_force_at: float = 0
        self._nursery: trio.Nursery | None = None

    @property
    def version(self) -> int:
        """Version in force, or 0."""
        return self.current.version if self.current else 0

    @property
    def held_version(self) -> int:
        """Highest verified version here, in force or about to be, or 0."""
        return self._holder.version

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Register the peers' calls and follow the platform.

        :param nursery: where this runs.
        """
        self._nursery = nursery
        self._ticked_at = trio.current_time()
        self._sources.peering.register(FETCH, self._serve_fetch)
        self._sources.peering.register(OFFER, self._serve_offer)
        nursery.start_soon(self._follow_platform)
        nursery.start_soon(self._activate_forever)
        nursery.start_soon(self._watch_lateness)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Nothing to release; the nursery owns the tasks."""
        await trio.lowlevel.checkpoint()

    def on_in_force(self, command: Callable[[], None]) -> None:
        """
        Run a command each time a bundle comes into force.

        :param command: takes the bundle from :attr:`current`.
        """
        self._on_in_force.append(command)

    def is_ready(self) -> bool:
        """
        Tell whether requests may be served.

        :returns: false without a bundle, and after the event loop was
            frozen until the bundle was caught up.
        """
        if self.current is None or self._catching_up:
            return False
        late = trio.current_time() - self._ticked_at - _TICK_S
        return late <= self._settings.frozen_s

    def heard(self, version: int, vm: str) -> None:
        """
        Note the version in a peer's heartbeat; a newer one is fetched.

        :param version: version in force at the peer.
        :param vm: the peer's VM.
        """
        wanted = self._started and self._holder.should_fetch(version)
        if wanted and self._nursery is not None:
            self._nursery.start_soon(self._holder.fetch_from_peer, vm, version)

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: versions, the age of the one in force in seconds, and why
            a bundle was last refused or missed.
        """
        age = trio.current_time() - self._in_force_at
        held = self._holder.held
        return {
            'version': self.version,
            'held_version': self.held_version,
            'in_force_for_s': round(age, 1) if self.current else None,
            'signed_by': held.signed.key_id if held else None,
            **_key_ids(held),
            'ready': self.is_ready(),
            'catching_up': self._catching_up,
            'last_problem': self._holder.problem,
        }

    async def _follow_platform(self) -> None:
        await self._start_up()
        revision = 0
        failures = 0
        while True:
            if not self._should_watch():
                await trio.sleep(_TICK_S)
                continue
            try:
                revision = await self._watch_once(revision)
            except EelgrassError as error:
                self._holder.record_problem('the platform', error)
                revision = 0
                failures += 1
                await trio.sleep(_backoff_s(failures))
            else:
                failures = 0

    async def _start_up(self) -> None:
        failures = 0
        while not await self._took_first():
            failures += 1
            await trio.sleep(_backoff_s(failures))
        self._started = True
        self._signal_change()

    async def _took_first(self) -> bool:
        if await self._holder.read_platform():
            await self._wait_for_ready_peer()
        else:
            await trio.sleep(self._settings.settle_s)
            if not await self._holder.adopt_from_peers():
                return False
        await self._holder.drop_if_revoked()
        return self._holder.held is not None

    async def _wait_for_ready_peer(self) -> None:
        with trio.move_on_after(self._settings.settle_s):
            while not has_ready_peer(self._sources):
                await trio.sleep(_PEER_POLL_S)

    def _should_watch(self) -> bool:
        # A router that hears no peer of its failure domain would learn of a
        # new version from nobody.
        domain = self._settings.failure_domain
        return self._is_watcher() or not has_live_peer(self._sources, domain)

    async def _watch_once(self, revision: int) -> int:
        seen = await self._sources.platform.watch(
            CURRENT_KEY, revision, self._settings.watch_s
        )
        for stored in seen.objects:
            if stored.key == CURRENT_KEY and stored.version:
                await self._holder.adopt_accepted(stored.body)
        return seen.revision

    async def _serve_fetch(self, sender: str, payload: Payload) -> Payload:
        await trio.lowlevel.checkpoint()
        held = self._holder.held
        return {**answer_fetch(held, self.current is not None, payload)}

    async def _serve_offer(self, sender: str, payload: Payload) -> Payload:
        await self._holder.adopt_offer(sender, payload)
        return {'version': self._holder.version}

    async def _activate_forever(self) -> None:
        while True:
            changed = self._changed
            held = self._holder.held
            if held and self._started and held.bundle.version > self.version:
                await offer_to_peers(
                    self._sources,
                    self._settings.failure_domain,
                    held,
                    self._settings.offer_s,
                )
                self._put_in_force(held.bundle)
            else:
                await changed.wait()

    def _put_in_force(self, bundle: Bundle) -> None:
        self.current = bundle
        self._in_force_at = trio.current_time()
        _log.info('rollout: bundle {} is in force', bundle.version)
        for command in self._on_in_force:
            command()
        self._signal_change()

    async def _watch_lateness(self) -> None:
        while True:
            self._ticked_at = trio.current_time()
            await trio.sleep(_TICK_S)
            late = trio.current_time() - self._ticked_at - _TICK_S
            if late > self._settings.frozen_s and self.current is not None:
                _log.warning('rollout: the event loop was {:.1f} s late', late)
                await self._catch_up()

    async def _catch_up(self) -> None:
        self._catching_up = True
        with trio.move_on_after(self._settings.catch_up_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_platform_first, nursery)
                nursery.start_soon(self._holder.adopt_from_peers)
            while self.held_version > self.version:
                await self._changed.wait()
        self._catching_up = False

    async def _read_platform_first(self, nursery: trio.Nursery) -> None:
        if await self._holder.read_platform():
            nursery.cancel_scope.cancel()

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _key_ids(held: HeldBundle | None) -> dict[str, list[str]]:
    if held is None:
        return {}
    state = held.signed.key_state
    return {
        'trusted_key_ids': sorted(state.keys),
        'revoked_key_ids': sorted(state.revoked),
    }


def _backoff_s(failures: int) -> float:
    doublings = min(failures, _MAX_DOUBLINGS)
    longest = _FIRST_BACKOFF_S * float(2**doublings)
    return longest * random.uniform(_BACKOFF_JITTER, 1)
