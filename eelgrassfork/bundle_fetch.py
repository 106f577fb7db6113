"""
eelgrassfork.bundle_fetch
~~~~~~~~~~~~~~~~~~~~~~~~~

Fetches bundles from the platform and from peers, and offers them to peers.
"""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple, Protocol

import logbook
import trio

from .bundle import part_key
from .errors import EelgrassError
from .held_bundle import (
    FetchAnswer,
    FetchParts,
    FetchRequest,
    HeldBundle,
    read_fetch_answer,
)
from .platform_types import StoredObject, WatchResult

__all__ = (
    'FETCH',
    'OFFER',
    'BundleSources',
    'Members',
    'Payload',
    'Peer',
    'PeerCalls',
    'Platform',
    'call_fetch',
    'fetch_peer_manifests',
    'has_live_peer',
    'has_ready_peer',
    'offer_to_peers',
    'parts_from_mapping',
    'parts_from_peers_or_platform',
    'parts_from_peer',
)

_log = logbook.Logger('rollout')

FETCH: Final = 'fetch_bundle'
OFFER: Final = 'offer_bundle'
_STARTING: Final = 'starting'
# Above any real version, so that peers send only parts and no manifest.
_NO_MANIFEST: Final = 2**62  # noqa: WPS432 - within MessagePack's integers

Payload = dict[str, Any]


class Platform(Protocol):
    """Platform interface used by the rollout."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object; ``None`` if it does not exist."""

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> WatchResult:
        """Wait for changes of objects under a key prefix."""


class Peer(Protocol):
    """State of a peer that the rollout uses."""

    @property
    def vm(self) -> str:
        """Name of the VM."""

    @property
    def failure_domain(self) -> str:
        """Qualified name of its failure domain."""

    @property
    def state(self) -> str:
        """One of ``starting``, ``ready`` and ``draining``."""

    @property
    def bundle_version(self) -> int:
        """Version of the bundle in force at the peer, or 0."""

    @property
    def suspect(self) -> bool:
        """Whether its heartbeats are overdue."""


class Members(Protocol):
    """Membership of the peers."""

    def peers(self) -> Sequence[Peer]:
        """List the routers from which heartbeats were received."""


class PeerCalls(Protocol):
    """Calls to and from peers."""

    def register(
        self, kind: str, handler: Callable[[str, Payload], Awaitable[Payload]]
    ) -> None:
        """Register the handler of a kind of call from peers."""

    async def call(self, vm: str, kind: str, payload: Payload) -> Payload:
        """Call a peer."""


class BundleSources(NamedTuple):
    """Platform and peers from which bundles are fetched."""

    platform: Platform
    peering: PeerCalls
    members: Members


async def call_fetch(
    sources: BundleSources, vm: str, request: FetchRequest
) -> FetchAnswer:
    """
    Request a manifest or parts from a peer.

    :param sources: platform and peers.
    :param vm: the peer's VM.
    :param request: payload of the call.
    :returns: the response, whose content is not verified.
    :raises EelgrassError: if there is no valid response.
    """
    return read_fetch_answer(await sources.peering.call(vm, FETCH, {**request}))


async def fetch_peer_manifests(sources: BundleSources) -> dict[str, bytes]:
    """
    Fetch the manifests of all started peers concurrently.

    :param sources: platform and peers.
    :returns: signed manifests by VM, of the peers with a bundle in force.
    """
    envelopes_by_vm: dict[str, bytes] = {}
    request = FetchRequest(have_version=0, parts=[])

    async def request_manifest(vm: str) -> None:
        try:
            answer = await call_fetch(sources, vm, request)
        except EelgrassError as error:
            _log.debug(
                'rollout: fetching the manifest from peer {} failed: {}',
                vm,
                error,
            )
            return
        if answer['ready']:
            envelopes_by_vm[vm] = answer['manifest']

    async with trio.open_nursery() as nursery:
        for peer in sources.members.peers():
            if peer.state != _STARTING:
                nursery.start_soon(request_manifest, peer.vm)
    return envelopes_by_vm


def parts_from_peer(sources: BundleSources, vm: str) -> FetchParts:
    """
    Create a part fetcher that reads from one peer.

    :param sources: platform and peers.
    :param vm: the peer's VM.
    :returns: the fetcher.
    """

    async def fetch(hashes: list[str]) -> Mapping[str, bytes]:
        request = FetchRequest(have_version=_NO_MANIFEST, parts=hashes)
        answer = await call_fetch(sources, vm, request)
        return answer['parts']

    return fetch


def parts_from_peers_or_platform(
    sources: BundleSources, version: int
) -> FetchParts:
    """
    Create a part fetcher that tries peers before the platform.

    Reading from peers reduces the read load of the platform.

    :param sources: platform and peers.
    :param version: peers with a lower version in force are skipped.
    :returns: the fetcher.
    """

    async def fetch(hashes: list[str]) -> Mapping[str, bytes]:
        bodies = await _parts_from_peers(sources, version, hashes)
        return bodies or await _parts_from_platform(sources.platform, hashes)

    return fetch


def parts_from_mapping(
    bodies_by_hash: Mapping[str, bytes], fallback: FetchParts
) -> FetchParts:
    """
    Create a part fetcher that serves parts received with a manifest.

    :param bodies_by_hash: the parts, not verified.
    :param fallback: fetcher used if none of the requested parts is there.
    :returns: the fetcher.
    """

    async def fetch(hashes: list[str]) -> Mapping[str, bytes]:
        found = {
            part_hash: bodies_by_hash[part_hash]
            for part_hash in hashes
            if part_hash in bodies_by_hash
        }
        return found or await fallback(hashes)

    return fetch


async def offer_to_peers(
    sources: BundleSources,
    failure_domain: str,
    held: HeldBundle,
    timeout_s: float,
) -> None:
    """
    Offer a bundle to the live peers of a failure domain.

    Peers that have this version or a higher one in force are skipped.

    :param sources: platform and peers.
    :param failure_domain: qualified name of the failure domain.
    :param held: the bundle.
    :param timeout_s: time-out for the responses in seconds.
    """
    payload = {'manifest': held.signed.envelope}

    async def offer(vm: str) -> None:
        try:
            await sources.peering.call(vm, OFFER, payload)
        except EelgrassError as error:
            _log.debug(
                'rollout: offering the bundle to peer {} failed: {}', vm, error
            )

    with trio.move_on_after(timeout_s):
        async with trio.open_nursery() as nursery:
            for peer in _live_peers(sources, failure_domain):
                if peer.bundle_version < held.bundle.version:
                    nursery.start_soon(offer, peer.vm)


def has_live_peer(sources: BundleSources, failure_domain: str) -> bool:
    """
    Return whether a failure domain has a live peer.

    :param sources: platform and peers.
    :param failure_domain: qualified name of the failure domain.
    :returns: whether at least one of its peers is not suspect.
    """
    return bool(_live_peers(sources, failure_domain))


def has_ready_peer(sources: BundleSources) -> bool:
    """
    Return whether any known peer may have a bundle in force.

    :param sources: platform and peers.
    :returns: whether at least one peer has left the state ``starting``.
    """
    return any(peer.state != _STARTING for peer in sources.members.peers())


def _live_peers(sources: BundleSources, failure_domain: str) -> list[Peer]:
    return [
        peer
        for peer in sources.members.peers()
        if peer.failure_domain == failure_domain and not peer.suspect
    ]


async def _parts_from_peers(
    sources: BundleSources, version: int, hashes: list[str]
) -> Mapping[str, bytes]:
    for peer in sources.members.peers():
        if peer.suspect or peer.bundle_version < version:
            continue
        try:
            bodies = await parts_from_peer(sources, peer.vm)(hashes)
        except EelgrassError as error:
            _log.debug(
                'rollout: fetching parts from peer {} failed: {}',
                peer.vm,
                error,
            )
            continue
        if bodies:
            return bodies
    return {}


async def _parts_from_platform(
    platform: Platform, hashes: list[str]
) -> dict[str, bytes]:
    bodies = {}
    for part_hash in hashes:
        stored = await platform.get(part_key(part_hash))
        if stored is not None:
            bodies[part_hash] = stored.body
    return bodies
