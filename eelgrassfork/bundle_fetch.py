"""
eelgrassfork.bundle_fetch
~~~~~~~~~~~~~~~~~~~~~~~~~

Bundles asked of the platform and of peers, and offered to peers.
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
# No version is higher, so that no manifest is sent with the parts.
_NO_MANIFEST: Final = 2**62  # noqa: WPS432 - within MessagePack's integers

Payload = dict[str, Any]


class Platform(Protocol):
    """What the rollout asks of the platform."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object."""

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> WatchResult:
        """Wait for a change."""


class Peer(Protocol):
    """What the rollout needs to know of a peer."""

    @property
    def vm(self) -> str:
        """Name of the VM."""

    @property
    def failure_domain(self) -> str:
        """Qualified name of its place."""

    @property
    def state(self) -> str:
        """One of starting, ready and draining."""

    @property
    def bundle_version(self) -> int:
        """Version in force there, or 0."""

    @property
    def suspect(self) -> bool:
        """Whether it is silent."""


class Members(Protocol):
    """Who the peers are."""

    def peers(self) -> Sequence[Peer]:
        """List routers that were heard."""


class PeerCalls(Protocol):
    """Calls to and from peers."""

    def register(
        self, kind: str, handler: Callable[[str, Payload], Awaitable[Payload]]
    ) -> None:
        """Let peers make a call."""

    async def call(self, vm: str, kind: str, payload: Payload) -> Payload:
        """Call a peer."""


class BundleSources(NamedTuple):
    """Where bundles come from."""

    platform: Platform
    peering: PeerCalls
    members: Members


async def call_fetch(
    sources: BundleSources, vm: str, request: FetchRequest
) -> FetchAnswer:
    """
    Ask a peer for its manifest or for parts.

    :param sources: where bundles come from.
    :param vm: the peer's VM.
    :param request: what to ask for.
    :returns: the answer; its content is not verified.
    :raises EelgrassError: if there is no valid answer.
    """
    return read_fetch_answer(await sources.peering.call(vm, FETCH, {**request}))


async def fetch_peer_manifests(sources: BundleSources) -> dict[str, bytes]:
    """
    Ask all peers at once for their manifests.

    :param sources: where bundles come from.
    :returns: envelopes by VM, of the peers that have a bundle in force.
    """
    envelopes_by_vm: dict[str, bytes] = {}
    request = FetchRequest(have_version=0, parts=[])

    async def request_manifest(vm: str) -> None:
        try:
            answer = await call_fetch(sources, vm, request)
        except EelgrassError as error:
            _log.debug('rollout: no bundle from {}: {}', vm, error)
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
    Make a source of parts that asks one peer.

    :param sources: where bundles come from.
    :param vm: the peer's VM.
    :returns: the source.
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
    Make a source that asks peers first, to spare the platform's reads.

    :param sources: where bundles come from.
    :param version: peers below it are not asked.
    :returns: the source.
    """

    async def fetch(hashes: list[str]) -> Mapping[str, bytes]:
        bodies = await _parts_from_peers(sources, version, hashes)
        return bodies or await _parts_from_platform(sources.platform, hashes)

    return fetch


def parts_from_mapping(
    bodies_by_hash: Mapping[str, bytes], fallback: FetchParts
) -> FetchParts:
    """
    Make a source of parts that came with a manifest.

    :param bodies_by_hash: the parts, not verified.
    :param fallback: source of further ones.
    :returns: the source.
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
    sources: BundleSources, failure_domain: str, held: HeldBundle, wait_s: float
) -> None:
    """
    Offer a bundle to the live peers of a failure domain.

    :param sources: where peers are found.
    :param failure_domain: qualified name of the place.
    :param held: the bundle.
    :param wait_s: longest wait for the peers in seconds.
    """
    payload = {'manifest': held.signed.envelope}

    async def offer(vm: str) -> None:
        try:
            await sources.peering.call(vm, OFFER, payload)
        except EelgrassError as error:
            _log.debug('rollout: {} did not take the offer: {}', vm, error)

    with trio.move_on_after(wait_s):
        async with trio.open_nursery() as nursery:
            for peer in _live_peers(sources, failure_domain):
                if peer.bundle_version < held.bundle.version:
                    nursery.start_soon(offer, peer.vm)


def has_live_peer(sources: BundleSources, failure_domain: str) -> bool:
    """
    Tell whether any peer of a failure domain is heard.

    :param sources: where peers are found.
    :param failure_domain: qualified name of the place.
    :returns: whether one is not suspect.
    """
    return bool(_live_peers(sources, failure_domain))


def has_ready_peer(sources: BundleSources) -> bool:
    """
    Tell whether any peer that may have a bundle in force was heard.

    :param sources: where peers are found.
    :returns: whether one is not just starting.
    """
    return any(each.state != _STARTING for each in sources.members.peers())


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
            _log.debug('rollout: no parts from {}: {}', peer.vm, error)
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
