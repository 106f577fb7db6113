"""
eelgrassfork.bundle_holder
~~~~~~~~~~~~~~~~~~~~~~~~~~

The highest verified bundle at this router, and where newer ones come from.
"""

from collections.abc import Callable, Mapping
from typing import Any

import logbook

from .bundle import CURRENT_KEY, BundleError, SignedManifest, open_manifest
from .bundle_fetch import (
    BundleSources,
    call_fetch,
    fetch_peer_manifests,
    parts_from_mapping,
    parts_from_peer,
    parts_from_peers_or_platform,
)
from .errors import EelgrassError
from .held_bundle import (
    FetchParts,
    FetchRequest,
    HeldBundle,
    fetch_and_assemble,
)
from .manifest import detach_parts
from .names import vm_of_holder

__all__ = ('BundleHolder',)

_log = logbook.Logger('rollout')


class BundleHolder:
    """
    Takes bundles that are verified and higher than the one held.

    :param trusted_keys: public keys in base64 by key identifier.
    :param sources: the platform and the peers.
    :param on_update: command to be run when a higher bundle is held.
    :ivar held: the bundle, or ``None``.
    :ivar problem: why a bundle was last refused or missed, or empty.
    """

    def __init__(
        self,
        trusted_keys: Mapping[str, str],
        sources: BundleSources,
        on_update: Callable[[], None],
    ) -> None:
        self.held: HeldBundle | None = None
        self.problem = ''
        self._trusted_keys = trusted_keys
        self._sources = sources
        self._on_update = on_update
        # Versions on their way from a peer, so that the heartbeats of many
        # peers don't fetch the same one many times.
        self._fetching: set[int] = set()

    @property
    def version(self) -> int:
        """Version held, or 0."""
        return self.held.bundle.version if self.held else 0

    async def read_platform(self) -> bool:
        """
        Take the accepted bundle from the platform.

        :returns: whether a bundle at least as new is held now.
        """
        try:
            stored = await self._sources.platform.get(CURRENT_KEY)
            if stored is None:
                return False
            await self.adopt_accepted(stored.body)
        except EelgrassError as error:
            self.record_problem('the platform', error)
            return False
        return True

    async def adopt_accepted(self, stored: bytes) -> None:
        """
        Take a bundle that the platform has accepted.

        :param stored: signed manifest and maybe parts, as stored there.
        :raises EelgrassError: if it is refused or its parts can't be had.
        """
        envelope, attached = detach_parts(stored)
        signed = self.verify(envelope)
        version = signed.manifest.version
        fallback = parts_from_peers_or_platform(self._sources, version)
        await self._adopt(signed, parts_from_mapping(attached, fallback))

    async def adopt_from_peers(self) -> bool:
        """
        Take the highest bundle that is in force at any peer.

        :returns: whether a bundle at least as new is held now.
        """
        signed_by_vm = _without_revoked_signers(
            await self._fetch_peer_manifests()
        )
        versions = [each.manifest.version for each in signed_by_vm.values()]
        # A lower version is not taken in place of the highest, even if the
        # parts of that one can't be had now.
        highest = max(versions, default=0)
        for vm, signed in signed_by_vm.items():
            if signed.manifest.version == highest:
                if await self._try_adopt_from_peer(vm, signed):
                    return True
        return False

    async def drop_if_revoked(self) -> None:
        """
        Drop the bundle if a ready peer's bundle revokes the key that signed
        it, and take that of the peers.

        Only for a start: settings may still list a revoked key, and nothing
        else tells a new process of the revocation. Of two bundles that
        revoke each other's keys none is taken; the settings have to decide.
        """
        held = self.held
        if held is None:
            return
        peers = await self._fetch_peer_manifests()
        revoking = [
            each for each in peers.values() if _revokes(each, held.signed)
        ]
        if not revoking:
            return
        self.held = None
        message = f'key {held.signed.key_id!r} is revoked'
        self.record_problem('a start', BundleError('bad_manifest', message))
        if not any(_revokes(held.signed, each) for each in revoking):
            await self.adopt_from_peers()

    async def fetch_from_peer(self, vm: str, version: int) -> None:
        """
        Take a bundle that a peer has told of; a failure is only noted.

        :param vm: the peer's VM.
        :param version: the version told.
        """
        if not self.should_fetch(version):
            return
        self._fetching.add(version)
        request = FetchRequest(have_version=self.version, parts=[])
        try:
            answer = await call_fetch(self._sources, vm, request)
            if answer['manifest']:
                signed = self.verify(answer['manifest'])
                await self._adopt(signed, parts_from_peer(self._sources, vm))
        except EelgrassError as error:
            self.record_problem(vm, error)
        finally:
            self._fetching.discard(version)

    async def adopt_offer(
        self, sender: str, payload: Mapping[str, Any]
    ) -> None:
        """
        Take a bundle that a peer offers.

        :param sender: the peer's holder.
        :param payload: ``manifest``, the signed manifest.
        :raises EelgrassError: if it is refused or its parts can't be had.
        """
        envelope = payload.get('manifest')
        if not isinstance(envelope, bytes):
            raise BundleError('bad_request', 'an offer needs a manifest')
        signed = self.verify(envelope)
        version = signed.manifest.version
        if not self.should_fetch(version):
            return
        self._fetching.add(version)
        fetch = parts_from_peer(self._sources, vm_of_holder(sender))
        try:
            await self._adopt(signed, fetch)
        finally:
            self._fetching.discard(version)

    def verify(self, envelope: bytes) -> SignedManifest:
        """
        Verify and decode a signed manifest that may follow the one held.

        :param envelope: as received from anyone.
        :returns: the manifest.
        :raises BundleError: ``bad_manifest``.
        """
        state = self.held.signed.key_state if self.held else None
        return open_manifest(envelope, self._trusted_keys, state)

    def should_fetch(self, version: int) -> bool:
        """
        Tell whether a version is worth fetching from a peer.

        :param version: version that a peer has.
        :returns: whether it is higher and not already on its way.
        """
        return version > self.version and version not in self._fetching

    def record_problem(self, source: str, error: EelgrassError) -> None:
        """
        Note why there is no newer bundle; a repetition is not logged.

        :param source: where it was to come from.
        :param error: what went wrong.
        """
        problem = f'no bundle from {source}: {error.message}'
        if problem != self.problem:
            _log.warning('rollout: {}', problem)
        self.problem = problem

    async def _fetch_peer_manifests(self) -> dict[str, SignedManifest]:
        signed_by_vm: dict[str, SignedManifest] = {}
        envelopes_by_vm = await fetch_peer_manifests(self._sources)
        for vm, envelope in envelopes_by_vm.items():
            try:
                signed_by_vm[vm] = open_manifest(envelope, self._trusted_keys)
            except BundleError as error:
                self.record_problem(vm, error)
        return signed_by_vm

    async def _try_adopt_from_peer(
        self, vm: str, signed: SignedManifest
    ) -> bool:
        try:
            await self._adopt(signed, parts_from_peer(self._sources, vm))
        except EelgrassError as error:
            self.record_problem(vm, error)
            return False
        return True

    async def _adopt(self, signed: SignedManifest, fetch: FetchParts) -> None:
        if signed.manifest.version <= self.version:
            return
        held = await fetch_and_assemble(signed, self.held, fetch)
        # Another source may have brought a newer one in the meantime, or one
        # that revokes the key of this one.
        if held.bundle.version > self.version:
            self.held = held._replace(signed=self.verify(signed.envelope))
            self.problem = ''
            self._on_update()


def _revokes(one: SignedManifest, other: SignedManifest) -> bool:
    return other.key_id in one.key_state.revoked


def _without_revoked_signers(
    signed_by_vm: Mapping[str, SignedManifest],
) -> dict[str, SignedManifest]:
    """Leave out bundles whose key another one revokes."""
    all_manifests = signed_by_vm.values()
    return {
        vm: signed
        for vm, signed in signed_by_vm.items()
        if not any(_revokes(other, signed) for other in all_manifests)
    }
