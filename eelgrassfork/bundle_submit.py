"""
eelgrassfork.bundle_submit
~~~~~~~~~~~~~~~~~~~~~~~~~~

Acceptance of signed bundles at the platform, and joining of races.
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
    put_once,
)
from .bundle_types import Bundle
from .errors import EelgrassError
from .held_bundle import HeldBundle
from .key_list import merge_key_lists
from .manifest import join_parts, split_parts
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

# Each round of a race has a winner, so a few operators need few tries.
_MAX_TRIES: Final = 20
_MAX_PAUSE_S: Final = 0.5


class SubmitRefused(EelgrassError):
    """The bundle must not come into force."""


class Submitted(NamedTuple):
    """
    What was accepted.

    :param version: version of the accepted bundle.
    :param is_new: false if it had been accepted before.
    :param joined: records that others changed and the bundle has too.
    """

    version: int
    is_new: bool
    joined: tuple[str, ...] = ()


async def submit(
    store: BundleStore, new: HeldBundle, accepted: Accepted
) -> bool:
    """
    Let the platform accept a bundle that was made from the accepted one.

    The conditional update of ``bundle/current`` decides: of several
    operators who read the same version, one is accepted.

    :param store: where bundles stand.
    :param new: the verified bundle.
    :param accepted: the accepted bundle, read just before.
    :returns: false if it had been accepted before.
    :raises SubmitConflict: ``conflict``, naming what differs and who wrote.
    :raises SubmitRefused: ``shards_changed``, or ``keys_refused`` if routers
        would not take it.
    :raises PlatformError: if the platform does not answer; after
        :class:`AnswerLost` the bundle may be accepted.
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
        # Whoever lost a race against the new bundle is told what changed
        # since the one that both were made from.
        key = history_key(accepted.version)
        envelope = accepted.held.signed.envelope
        await put_once(store.platform, key, envelope)
    await _put_current(store, new, accepted)
    return True


async def put_parts(
    store: BundleStore, new: HeldBundle, accepted: Accepted
) -> None:
    """
    Write the parts of a bundle; they change nothing until it is accepted.

    :param store: where bundles stand.
    :param new: the bundle.
    :param accepted: a bundle whose parts are there.
    :raises PlatformError: if the platform does not answer.
    """
    for part_hash, body in _new_bodies(new, accepted).items():
        await put_once(store.platform, part_key(part_hash), body)


async def submit_merged(
    store: BundleStore, new: HeldBundle, key: KeyPair
) -> Submitted:
    """
    Let the platform accept a bundle, on top of what others changed.

    :param store: where bundles stand.
    :param new: the verified bundle.
    :param key: key of the operator, who signs what is joined.
    :returns: what was accepted.
    :raises SubmitConflict: ``conflict`` if a field clashes, the records of
        both don't fit together, or others are faster each time.
    :raises EelgrassError: what :func:`submit` raises.
    """
    tried = new
    joined: set[str] = set()
    for _ in range(_MAX_TRIES):
        accepted = await store.accepted(tried)
        conflict = await _conflict_of(store, tried, accepted)
        if conflict is None:
            names = tuple(sorted(joined))
            return Submitted(tried.bundle.version, is_new=True, joined=names)
        if accepted.held is None or conflict.comparison is None:
            raise conflict
        joined.update(changed_names(conflict.comparison.theirs.values()))
        tried = _join(new, conflict, accepted.held, key)
        if _content(tried) == _content(accepted.held):
            return Submitted(accepted.version, is_new=False)
        await trio.sleep(random.uniform(0, _MAX_PAUSE_S))
    raise SubmitConflict('conflict', 'other operators were faster each time')


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
        message = f'the changes of both do not fit together: {error.message}'
        raise SubmitConflict('conflict', message) from None
    base = accepted.bundle.version
    version = max(base + 1, new.bundle.version)
    mine = new.signed.manifest
    keys = merge_key_lists((accepted.signed.manifest.keys, mine.keys))
    manifest = Manifest(version, (), base, mine.author, keys)
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
    # A budget whose shard moved would start again with a whole new ledger
    # entry, beside the one that was spent.
    if accepted.held is None:
        return
    for name, fleet in accepted.held.bundle.fleets_by_name.items():
        changed = new.fleets_by_name.get(name, fleet)
        if changed.ledger_shards != fleet.ledger_shards:
            message = (
                f'fleet {name} has budgets in {fleet.ledger_shards} shards, '
                'which can not be changed'
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
    # Its answer was lost, and others have followed since.
    key = history_key(signed.manifest.version)
    stored = await store.platform.get(key)
    return stored is not None and stored.body == signed.envelope


async def _put_current(
    store: BundleStore, new: HeldBundle, accepted: Accepted
) -> None:
    envelope = new.signed.envelope
    stored = join_parts(envelope, _new_bodies(new, accepted))
    try:
        await store.platform.put(CURRENT_KEY, stored, accepted.object_version)
    except Conflict:
        now = await store.accepted(new)
        if now.held is None or now.held.signed.envelope != envelope:
            raise await explain_conflict(store, new, now) from None
    except AnswerLost:
        found = await store.platform.get(CURRENT_KEY)
        if found is None or split_parts(found.body)[0] != envelope:
            raise
