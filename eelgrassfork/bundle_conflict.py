"""
eelgrassfork.bundle_conflict
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Why a bundle can't follow the accepted one, for the operator who lost a race.
"""

from collections.abc import AsyncIterator, Iterable
from typing import Any, Final

from .bundle_changes import Change, Comparison, FieldName, compare, value_of
from .bundle_store import Accepted, BundleStore
from .bundle_types import Bundle
from .errors import EelgrassError
from .held_bundle import HeldBundle

__all__ = (
    'SubmitConflict',
    'changed_names',
    'explain_conflict',
    'describe_signer',
)

_MAX_LINES: Final = 40
# A race is against few versions; reading each one takes some calls.
_MAX_VERSIONS: Final = 64


class SubmitConflict(EelgrassError):
    """
    Another bundle was accepted first; nothing of it is lost.

    :ivar comparison: changes of both, if the bundle that both were made
        from could be read.
    """

    def __init__(
        self, code: str, message: str, comparison: Comparison | None = None
    ) -> None:
        super().__init__(code, message)
        self.comparison = comparison


async def explain_conflict(
    store: BundleStore, new: HeldBundle, accepted: Accepted
) -> SubmitConflict:
    """
    Compare a bundle with the accepted one it does not follow.

    :param store: where older bundles stand.
    :param new: the refused bundle.
    :param accepted: the accepted one.
    :returns: the error, naming each field that clashes with both values and
        who wrote the accepted one.
    :raises EelgrassError: if the platform does not answer.
    """
    manifest = new.signed.manifest
    message = (
        f'version {accepted.version} is accepted, so version '
        f'{manifest.version}, made from {manifest.base}, can not follow'
    )
    if accepted.held is None or manifest.base > accepted.version:
        return SubmitConflict('conflict', message)
    message = f'{message}; the accepted one is {describe_signer(accepted.held)}'
    base = await _read_base(store, manifest.base, accepted.held)
    if base is None:
        lines = [message, f'version {manifest.base} is not kept']
        return SubmitConflict('conflict', '\n'.join(lines))
    comparison = compare(base, new.bundle, accepted.held.bundle)
    writers = await _find_writers(store, base, accepted.held, comparison)
    lines = [message, *_describe(comparison, writers)]
    if len(lines) > _MAX_LINES:
        left = len(lines) - _MAX_LINES
        lines = [*lines[:_MAX_LINES], f'and {left} more lines']
    return SubmitConflict('conflict', '\n'.join(lines), comparison)


def describe_signer(held: HeldBundle) -> str:
    """
    Describe who wrote a bundle.

    :param held: the bundle.
    :returns: name and key identifier.
    """
    author = held.signed.manifest.author or 'an unnamed person'
    return f'by {author} with key {held.signed.key_id}'


def changed_names(changes: Iterable[Change]) -> list[str]:
    """
    Name the records that changes belong to.

    :param changes: changes of fields.
    :returns: kinds and names, in order.
    """
    return sorted(
        {f'{change.field.kind} {change.field.name}' for change in changes}
    )


def _describe(
    comparison: Comparison, writers: dict[FieldName, str]
) -> list[str]:
    if not comparison.conflicts:
        ours = ', '.join(changed_names(comparison.ours.values()))
        theirs = ', '.join(changed_names(comparison.theirs.values()))
        return [
            f'yours changes {ours or "nothing"}',
            f'since then were changed {theirs or "no records"}',
            'no field clashes: --merge makes your changes on the accepted one',
        ]
    return [
        _clash_line(field, comparison, writers.get(field, ''))
        for field in comparison.conflicts
    ]


def _clash_line(field: FieldName, comparison: Comparison, writer: str) -> str:
    ours = comparison.ours.get(field)
    theirs = comparison.theirs.get(field)
    one = ours or theirs
    before = one.before if one else None
    mine: Any = ours.after if ours else before
    other: Any = theirs.after if theirs else before
    line = f'{field}: yours {mine!r}, accepted {other!r}, before {before!r}'
    return f'{line}; {writer}' if writer else line


async def _read_base(
    store: BundleStore, version: int, accepted: HeldBundle
) -> Bundle | None:
    if version == 0:
        return Bundle(0, {}, {}, {}, {}, {})
    held = await store.replaced(version, accepted)
    return held.bundle if held else None


async def _find_writers(
    store: BundleStore,
    base: Bundle,
    accepted: HeldBundle,
    comparison: Comparison,
) -> dict[FieldName, str]:
    """Tell who wrote the accepted value of each field that clashes."""
    writers: dict[FieldName, str] = {}
    before = base
    async for held in _versions(store, base, accepted):
        for field in comparison.conflicts:
            value = value_of(held.bundle, field)
            if value != value_of(before, field):
                version = held.bundle.version
                writers[field] = f'version {version} {describe_signer(held)}'
        before = held.bundle
    return writers


async def _versions(
    store: BundleStore, base: Bundle, accepted: HeldBundle
) -> AsyncIterator[HeldBundle]:
    first = base.version + 1
    last = accepted.bundle.version
    for version in range(max(first, last - _MAX_VERSIONS), last):
        held = await store.replaced(version, accepted)
        if held is not None:
            yield held
    yield accepted
