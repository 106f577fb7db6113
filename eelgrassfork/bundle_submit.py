"""
eelgrassfork.bundle_submit
~~~~~~~~~~~~~~~~~~~~~~~~~~

Submits signed bundles to the platform and merges concurrent changes.
"""

import random
from typing import Final, NamedTuple

import trio

from .bundle import (
    CURRENT_KEY,
    BundleError,
    Manifest,
    SignedManifest,
    open_manifest,
    part_key,
)
from .bundle_conflict import (
    SubmitConflict,
    changed_names,
    explain_conflict,
)
from .bundle_join import apply_changes
from .bundle_source import compile_parts
from .bundle_store import (
    Accepted,
    BundleStore,
    history_key,
    put_if_absent,
)
from .bundle_types import Bundle
from .errors import EelgrassError
from .held_bundle import HeldBundle
from .key_list import merge_key_lists
from .manifest import attach_parts, detach_parts
from .options import OptionsError
from .platform_types import AnswerLost, Conflict
from .signed_file import seal_bundle
from .signing import KeyPair

__all__ = (
    'SubmitRefused',
    'Submitted',
    'put_parts',
    'submit',
    'submit_merged',
)

# One submission succeeds in each round of a race, so that a few concurrent
# operators need few attempts.
_MAX_ATTEMPTS: Final = 20
_MAX_BACKOFF_S: Final = 0.5


class SubmitRefused(EelgrassError):
    """The bundle violates a rule and was not submitted."""


class Submitted(NamedTuple):
    """
    Result of a successful submission.

    :param version: version of the accepted bundle.
    :param is_new: false if its content had already been accepted.
    :param joined: names of records that others changed concurrently and
        whose changes were merged into the bundle.
    """

    version: int
    is_new: bool
    joined: tuple[str, ...] = ()


async def submit(
    store: BundleStore, new: HeldBundle, accepted: Accepted
) -> bool:
    """
    Submit a bundle whose base is the accepted bundle.

    Conflicts are resolved by the conditional update of ``bundle/current``: of
    several submissions with the same base, one succeeds.

    :param store: bundles at the platform.
    :param new: the verified bundle.
    :param accepted: the accepted bundle, read just before.
    :returns: false if the bundle had already been accepted.
    :raises SubmitConflict: ``conflict``, with the differing fields and their
        authors.
    :raises SubmitRefused: ``shards_changed``, or ``keys_refused`` if routers
        would reject its signature or key list.
    :raises PlatformError: if the platform does not answer; after
        :class:`AnswerLost` the bundle may have been accepted.
    """
    if accepted.held and accepted.held.signed.envelope == new.signed.envelope:
        return False
    if new.signed.manifest.base != accepted.version:
        if await _was_accepted(store, new.signed):
            return False
        raise await explain_conflict(store, new, accepted)
    _check_keys(store, new, accepted)
    _check_shards(new.bundle, accepted)
    await put_parts(store, new, accepted)
    if accepted.held:
        # The history lets a later conflict report list the changes since the
        # common base of both bundles.
        key = history_key(accepted.version)
        envelope = accepted.held.signed.envelope
        await put_if_absent(store.platform, key, envelope)
    await _put_current(store, new, accepted)
    return True


async def put_parts(
    store: BundleStore, new: HeldBundle, accepted: Accepted
) -> None:
    """
    Write the parts of a bundle; they have no effect until it is accepted.

    :param store: bundles at the platform.
    :param new: the bundle.
    :param accepted: the accepted bundle, whose parts are already stored.
    :raises PlatformError: if the platform does not answer.
    """
    for part_hash, body in _new_bodies(new, accepted).items():
        await put_if_absent(store.platform, part_key(part_hash), body)


async def submit_merged(
    store: BundleStore, new: HeldBundle, key: KeyPair
) -> Submitted:
    """
    Submit a bundle, merging it with concurrent changes of other operators.

    :param store: bundles at the platform.
    :param new: the verified bundle.
    :param key: key of the operator, which signs merged bundles.
    :returns: the accepted version and the merged records.
    :raises SubmitConflict: ``conflict`` if both changed the same field, the
        merged records are invalid, or every attempt lost a race.
    :raises EelgrassError: other errors of :func:`submit`.
    """
    candidate = new
    joined: set[str] = set()
    for _ in range(_MAX_ATTEMPTS):
        accepted = await store.accepted(candidate)
        conflict = await _conflict_of(store, candidate, accepted)
        if conflict is None:
            names = tuple(sorted(joined))
            return Submitted(
                candidate.bundle.version, is_new=True, joined=names
            )
        if accepted.held is None or conflict.comparison is None:
            raise conflict
        joined.update(changed_names(conflict.comparison.theirs.values()))
        candidate = _join(new, conflict, accepted.held, key)
        if _content(candidate) == _content(accepted.held):
            return Submitted(accepted.version, is_new=False)
        await trio.sleep(random.uniform(0, _MAX_BACKOFF_S))
    raise SubmitConflict(
        'conflict', 'all attempts lost a race against other operators'
    )


async def _conflict_of(
    store: BundleStore, new: HeldBundle, accepted: Accepted
) -> SubmitConflict | None:
    try:
        await submit(store, new, accepted)
    except SubmitConflict as conflict:
        return conflict
    return None


def _join(
    new: HeldBundle,
    conflict: SubmitConflict,
    accepted: HeldBundle,
    key: KeyPair,
) -> HeldBundle:
    comparison = conflict.comparison
    if comparison is None or comparison.conflicts:
        raise conflict
    changes = comparison.ours.values()
    try:
        sources = apply_changes(accepted.bundle, new.bundle, changes)
    except OptionsError as error:
        message = f'the merged changes are invalid: {error.message}'
        raise SubmitConflict('conflict', message) from None
    base = accepted.bundle.version
    version = max(base + 1, new.bundle.version)
    own_manifest = new.signed.manifest
    keys = merge_key_lists((accepted.signed.manifest.keys, own_manifest.keys))
    manifest = Manifest(version, (), base, own_manifest.author, keys)
    return seal_bundle(manifest, compile_parts(sources), key)


def _content(held: HeldBundle) -> tuple[object, ...]:
    manifest = held.signed.manifest
    return manifest.parts, manifest.keys


def _check_keys(
    store: BundleStore, new: HeldBundle, accepted: Accepted
) -> None:
    if accepted.held is None:
        return
    state = accepted.held.signed.key_state
    try:
        open_manifest(new.signed.envelope, store.trusted_keys, state)
    except BundleError as error:
        raise SubmitRefused('keys_refused', error.message) from None


def _check_shards(new: Bundle, accepted: Accepted) -> None:
    # A budget that moved to another shard would get a new, unspent ledger
    # entry in addition to the one already drawn on.
    if accepted.held is None:
        return
    for name, fleet in accepted.held.bundle.fleets_by_name.items():
        changed = new.fleets_by_name.get(name, fleet)
        if changed.ledger_shards != fleet.ledger_shards:
            message = (
                f'fleet {name} has its budgets in {fleet.ledger_shards} ledger '
                'shards; this number can not be changed'
            )
            raise SubmitRefused('shards_changed', message)


def _new_bodies(new: HeldBundle, accepted: Accepted) -> dict[str, bytes]:
    known = accepted.held.parts_by_hash if accepted.held else {}
    return {
        part_hash: part.body
        for part_hash, part in new.parts_by_hash.items()
        if part_hash not in known
    }


async def _was_accepted(store: BundleStore, signed: SignedManifest) -> bool:
    # The response of its submission was lost, and later bundles have replaced
    # it since.
    key = history_key(signed.manifest.version)
    stored = await store.platform.get(key)
    return stored is not None and stored.body == signed.envelope


async def _put_current(
    store: BundleStore, new: HeldBundle, accepted: Accepted
) -> None:
    envelope = new.signed.envelope
    stored = attach_parts(envelope, _new_bodies(new, accepted))
    try:
        await store.platform.put(CURRENT_KEY, stored, accepted.object_version)
    except Conflict:
        current = await store.accepted(new)
        if current.held is None or current.held.signed.envelope != envelope:
            raise await explain_conflict(store, new, current) from None
    except AnswerLost:
        found = await store.platform.get(CURRENT_KEY)
        if found is None or detach_parts(found.body)[0] != envelope:
            raise
