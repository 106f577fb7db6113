"""
eelgrassfork.held_bundle
~~~~~~~~~~~~~~~~~~~~~~~~

A verified bundle with its parts, and its exchange between routers.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, NamedTuple, TypedDict

import msgspec
import trio

from .bundle import (
    BundleError,
    Part,
    SignedManifest,
    assemble,
    missing_parts,
    needed_parts,
    read_part,
)
from .bundle_types import Bundle

__all__ = (
    'FetchAnswer',
    'FetchParts',
    'FetchRequest',
    'HeldBundle',
    'answer_fetch',
    'fetch_and_assemble',
    'read_fetch_answer',
)

# Bounds the transfer time of a response and its memory at both ends.
_MAX_ANSWER_BYTES: Final = 524_288

FetchParts = Callable[[list[str]], Awaitable[Mapping[str, bytes]]]


class HeldBundle(NamedTuple):
    """A verified bundle with the manifest and parts that peers may fetch."""

    signed: SignedManifest
    parts_by_hash: dict[str, Part]
    bundle: Bundle


class FetchRequest(TypedDict):
    """
    Payload of ``fetch_bundle``.

    :ivar have_version: version of the requester; the manifest is sent only if
        its version is higher.
    :ivar parts: hashes of the requested parts.
    """

    have_version: int
    parts: list[str]


class FetchAnswer(TypedDict):
    """
    Result of ``fetch_bundle``.

    :ivar version: version that the peer holds, or 0.
    :ivar ready: whether a bundle is in force at the peer.
    :ivar manifest: signed manifest, or empty.
    :ivar parts: requested parts by hash, up to the size limit of a response.
    """

    version: int
    ready: bool
    manifest: bytes
    parts: dict[str, bytes]


def answer_fetch(
    held: HeldBundle | None, ready: bool, payload: Mapping[str, Any]
) -> FetchAnswer:
    """
    Handle a peer's request for a manifest or parts.

    :param held: highest verified bundle of this router, or ``None``.
    :param ready: whether a bundle is in force at this router.
    :param payload: a :class:`FetchRequest`, not yet validated.
    :returns: the response.
    :raises BundleError: ``bad_request`` if the payload is malformed.
    """
    try:
        request = msgspec.convert(dict(payload), FetchRequest)
    except msgspec.ValidationError as error:
        raise BundleError('bad_request', str(error)) from None
    if held is None:
        return FetchAnswer(version=0, ready=False, manifest=b'', parts={})
    version = held.bundle.version
    is_newer = version > request['have_version']
    return FetchAnswer(
        version=version,
        ready=ready,
        manifest=held.signed.envelope if is_newer else b'',
        parts=_bounded_parts(held, request['parts']),
    )


def read_fetch_answer(payload: Mapping[str, Any]) -> FetchAnswer:
    """
    Validate the types of a peer's response.

    :param payload: result of the call.
    :returns: the response.
    :raises BundleError: ``bad_answer`` if it is malformed.
    """
    try:
        return msgspec.convert(dict(payload), FetchAnswer)
    except msgspec.ValidationError as error:
        raise BundleError('bad_answer', str(error)) from None


async def fetch_and_assemble(
    signed: SignedManifest, held: HeldBundle | None, fetch: FetchParts
) -> HeldBundle:
    """
    Fetch, verify and assemble the bundle of a manifest.

    :param signed: a verified manifest.
    :param held: bundle whose parts are reused, or ``None``.
    :param fetch: fetches parts; may return only some of the requested ones.
    :returns: the complete bundle.
    :raises BundleError: ``parts_missing`` if a fetch returned none of the
        requested parts, or another code if the content is invalid.
    :raises EelgrassError: errors of ``fetch``.
    """
    manifest = signed.manifest
    available = dict(held.parts_by_hash) if held else {}
    while missing := missing_parts(manifest, available):
        bodies = await fetch(missing)
        received = [part for part in missing if part in bodies]
        if not received:
            message = (
                f'no missing part of version {manifest.version} was received'
            )
            raise BundleError('parts_missing', message)
        for part_hash in received:
            available[part_hash] = read_part(part_hash, bodies[part_hash])
            # Decoding a thousand parts takes over half a second.
            await trio.lowlevel.checkpoint()
    parts_by_hash = {
        needed: available[needed]
        for needed in needed_parts(manifest, available)
    }
    previous = held.bundle if held else None
    bundle = assemble(manifest, parts_by_hash, previous)
    return HeldBundle(signed, parts_by_hash, bundle)


def _bounded_parts(held: HeldBundle, hashes: list[str]) -> dict[str, bytes]:
    bodies: dict[str, bytes] = {}
    size = 0
    for part_hash in hashes:
        part = held.parts_by_hash.get(part_hash)
        if part is None:
            continue
        size += len(part.body)
        if bodies and size > _MAX_ANSWER_BYTES:
            break
        bodies[part_hash] = part.body
    return bodies
