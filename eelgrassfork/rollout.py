"""
eelgrassfork.rollout
~~~~~~~~~~~~~~~~~~~~

Rollout of bundles to this router, from the platform or from peers.
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

    :param failure_domain: qualified name of this router's failure domain.
    :param trusted_keys: public keys in base64 by key identifier.
    :param watch_s: time-out of one watch call to the platform.
    :param offer_s: time-out for peers to accept an offered bundle.
    :param frozen_s: lag of the event loop above which the router refuses
        requests until it has checked for a newer bundle.
    :param catch_up_s: time-out of that check and of the activation that may
        follow.
    :param peer_discovery_s: time that peers have at start-up to be discovered
        (if the platform is down) or to become ready (if it is up).
    """

    failure_domain: str
    trusted_keys: Mapping[str, str]
    watch_s: float = 5
    offer_s: float = 2
    frozen_s: float = 5
    catch_up_s: float = 4
    peer_discovery_s: float = 1.5


class Rollout:  # noqa: WPS214 - a small method for each task and query
    """
    Gets bundles from the platform and from peers; the version never decreases.

    A bundle is first held: it is verified, and served to peers on request. It
    comes into force after it was offered to the live peers of the failure
    domain.

    :param settings: keys and time-outs.
    :param sources: the platform and the peers.
    :param is_watcher: returns whether this router watches the platform for
        its failure domain.
    :ivar current: the bundle in force, or ``None``.
    :ivar trial: validates bundles before they are accepted.
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
        self._in_force_callbacks: list[Callable[[], None]] = []
        self._changed = trio.Event()
        self._started = False
        self._catching_up = False
        self._last_tick_at: float = 0
        self._in_force_at: float = 0
        self._nursery: trio.Nursery | None = None

    @property
    def version(self) -> int:
        """Version of the bundle in force, or 0."""
        return self.current.version if self.current else 0

    @property
    def held_version(self) -> int:
        """Highest verified version, in force or about to be, or 0."""
        return self._holder.version

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Register the handlers of peer calls, and start the background tasks.

        :param nursery: nursery for the background tasks.
        """
        self._nursery = nursery
        self._last_tick_at = trio.current_time()
        self._sources.peering.register(FETCH, self._serve_fetch)
        self._sources.peering.register(OFFER, self._serve_offer)
        nursery.start_soon(self._follow_platform)
        nursery.start_soon(self._activate_forever)
        nursery.start_soon(self._monitor_loop_lag)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Release nothing; the nursery owns the tasks."""
        await trio.lowlevel.checkpoint()

    def on_bundle_in_force(self, callback: Callable[[], None]) -> None:
        """
        Register a callback for each time that a bundle comes into force.

        :param callback: called without arguments; reads the bundle from
            :attr:`current`.
        """
        self._in_force_callbacks.append(callback)

    def is_ready(self) -> bool:
        """
        Return whether requests may be served.

        :returns: false without a bundle, and after the event loop was frozen
            until the check for a newer bundle is done.
        """
        if self.current is None or self._catching_up:
            return False
        lag_s = trio.current_time() - self._last_tick_at - _TICK_S
        return lag_s <= self._settings.frozen_s

    def note_peer_version(self, version: int, vm: str) -> None:
        """
        Process the version in a peer's heartbeat; fetches a newer one.

        :param version: version in force at the peer.
        :param vm: VM of the peer.
        """
        wanted = self._started and self._holder.should_fetch(version)
        if wanted and self._nursery is not None:
            self._nursery.start_soon(self._holder.fetch_from_peer, vm, version)

    def dump(self) -> dict[str, Any]:
        """
        Return the state for operators.

        :returns: versions, the seconds since the current one came into force,
            keys, readiness, and why a bundle was last refused or not fetched.
        """
        age_s = trio.current_time() - self._in_force_at
        held = self._holder.held
        return {
            'version': self.version,
            'held_version': self.held_version,
            'in_force_for_s': round(age_s, 1) if self.current else None,
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
        while not await self._take_first_bundle():
            failures += 1
            await trio.sleep(_backoff_s(failures))
        self._started = True
        self._signal_change()

    async def _take_first_bundle(self) -> bool:
        if await self._holder.read_platform():
            await self._wait_for_ready_peer()
        else:
            await trio.sleep(self._settings.peer_discovery_s)
            if not await self._holder.adopt_from_peers():
                return False
        await self._holder.drop_if_revoked()
        return self._holder.held is not None

    async def _wait_for_ready_peer(self) -> None:
        with trio.move_on_after(self._settings.peer_discovery_s):
            while not has_ready_peer(self._sources):
                await trio.sleep(_PEER_POLL_S)

    def _should_watch(self) -> bool:
        # A router without a live peer in its failure domain would not be
        # notified of new versions.
        domain = self._settings.failure_domain
        return self._is_watcher() or not has_live_peer(self._sources, domain)

    async def _watch_once(self, revision: int) -> int:
        changes = await self._sources.platform.watch(
            CURRENT_KEY, revision, self._settings.watch_s
        )
        for stored in changes.objects:
            if stored.key == CURRENT_KEY and stored.version:
                await self._holder.adopt_accepted(stored.body)
        return changes.revision

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
        _log.info('rollout: bundle version {} is in force', bundle.version)
        for callback in self._in_force_callbacks:
            callback()
        self._signal_change()

    async def _monitor_loop_lag(self) -> None:
        while True:
            self._last_tick_at = trio.current_time()
            await trio.sleep(_TICK_S)
            lag_s = trio.current_time() - self._last_tick_at - _TICK_S
            if lag_s > self._settings.frozen_s and self.current is not None:
                _log.warning('rollout: event loop lagged by {:.1f} s', lag_s)
                await self._catch_up()

    async def _catch_up(self) -> None:
        self._catching_up = True
        with trio.move_on_after(self._settings.catch_up_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_platform_and_cancel, nursery)
                nursery.start_soon(self._holder.adopt_from_peers)
            while self.held_version > self.version:
                await self._changed.wait()
        self._catching_up = False

    async def _read_platform_and_cancel(self, nursery: trio.Nursery) -> None:
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
    max_delay_s = _FIRST_BACKOFF_S * float(2**doublings)
    return max_delay_s * random.uniform(_BACKOFF_JITTER, 1)
