"""
eelgrassfork.bundle_holder
~~~~~~~~~~~~~~~~~~~~~~~~~~

Holds the highest verified bundle of this router and fetches newer ones.
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
    Adopts bundles that are verified and of a higher version than the held one.

    :param trusted_keys: public keys in base64 by key identifier.
    :param sources: platform and peers.
    :param on_update: callback, called after a higher version was adopted.
    :ivar held: the bundle, or ``None``.
    :ivar problem: why the last bundle was rejected or could not be fetched;
        empty after an adoption.
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
        # Versions being fetched from a peer; avoids duplicate fetches when
        # the heartbeats of many peers announce the same version.
        self._fetching: set[int] = set()

    @property
    def version(self) -> int:
        """Version of the held bundle, or 0."""
        return self.held.bundle.version if self.held else 0

    async def read_platform(self) -> bool:
        """
        Read the accepted bundle from the platform and adopt it.

        :returns: whether the held bundle is now at least as new.
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
        Adopt a bundle that the platform has accepted.

        :param stored: signed manifest, optionally with attached parts, as
            stored at the platform.
        :raises EelgrassError: if it is invalid or its parts can't be fetched.
        """
        envelope, attached = detach_parts(stored)
        signed = self.verify(envelope)
        version = signed.manifest.version
        fallback = parts_from_peers_or_platform(self._sources, version)
        await self._adopt(signed, parts_from_mapping(attached, fallback))

    async def adopt_from_peers(self) -> bool:
        """
        Adopt the highest bundle that is in force at any peer.

        :returns: whether the held bundle is now at least as new.
        """
        signed_by_vm = _without_revoked_signers(
            await self._fetch_peer_manifests()
        )
        versions = [each.manifest.version for each in signed_by_vm.values()]
        # There is no fallback to a lower version if the parts of the highest
        # can't be fetched.
        highest = max(versions, default=0)
        for vm, signed in signed_by_vm.items():
            if signed.manifest.version == highest:
                if await self._try_adopt_from_peer(vm, signed):
                    return True
        return False

    async def drop_if_revoked(self) -> None:
        """
        Drop the held bundle if a ready peer's bundle revokes its signing key,
        and adopt the peers' bundle.

        Used only at start-up: the settings may still list a revoked key, and
        a new process has no other source for the revocation. If two bundles
        revoke each other's keys, neither is adopted; the operator resolves
        this in the settings.
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
        message = f'signing key {held.signed.key_id!r} is revoked'
        self.record_problem('start-up', BundleError('bad_manifest', message))
        if not any(_revokes(held.signed, each) for each in revoking):
            await self.adopt_from_peers()

    async def fetch_from_peer(self, vm: str, version: int) -> None:
        """
        Fetch and adopt a version that a peer has announced.

        Failures are recorded as :attr:`problem` and not raised.

        :param vm: the peer's VM.
        :param version: the announced version.
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
        Adopt a bundle that a peer offers.

        :param sender: holder name of the peer, which includes its VM.
        :param payload: ``manifest``, the signed manifest.
        :raises EelgrassError: if it is invalid or its parts can't be fetched.
        """
        envelope = payload.get('manifest')
        if not isinstance(envelope, bytes):
            raise BundleError(
                'bad_request', 'offer without a manifest of type bytes'
            )
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
        Verify and decode a signed manifest against the held key state.

        :param envelope: signed manifest from an untrusted source.
        :returns: the manifest.
        :raises BundleError: ``bad_manifest``.
        """
        state = self.held.signed.key_state if self.held else None
        return open_manifest(envelope, self._trusted_keys, state)

    def should_fetch(self, version: int) -> bool:
        """
        Return whether a version should be fetched from a peer.

        :param version: version that a peer has.
        :returns: whether it is higher than the held one and not being
            fetched already.
        """
        return version > self.version and version not in self._fetching

    def record_problem(self, source: str, error: EelgrassError) -> None:
        """
        Record why a bundle could not be adopted; repetitions are not logged.

        :param source: source of the bundle, such as the peer's VM.
        :param error: the failure.
        """
        problem = f'bundle not adopted (source: {source}): {error.message}'
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
        # A concurrent fetch may have adopted a higher version, or one that
        # revokes the signing key of this one.
        if held.bundle.version > self.version:
            self.held = held._replace(signed=self.verify(signed.envelope))
            self.problem = ''
            self._on_update()


def _revokes(one: SignedManifest, other: SignedManifest) -> bool:
    return other.key_id in one.key_state.revoked


def _without_revoked_signers(
    signed_by_vm: Mapping[str, SignedManifest],
) -> dict[str, SignedManifest]:
    """Exclude manifests whose signing key another one revokes."""
    all_manifests = signed_by_vm.values()
    return {
        vm: signed
        for vm, signed in signed_by_vm.items()
        if not any(_revokes(other, signed) for other in all_manifests)
    }
