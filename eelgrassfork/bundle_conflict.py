"""
eelgrassfork.bundle_conflict
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Explains why a submitted bundle conflicts with the accepted one.
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
# Concurrent submissions are few; reading each version takes several calls.
_MAX_VERSIONS: Final = 64


class SubmitConflict(EelgrassError):
    """
    Another bundle was accepted first and stays in place.

    :ivar comparison: changes of both bundles relative to their common base,
        or ``None`` if the base could not be read.
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
    Compare a rejected bundle with the accepted one.

    :param store: store of older bundles.
    :param new: the rejected bundle.
    :param accepted: the accepted bundle.
    :returns: the error, with both values of each conflicting field and the
        author of the accepted value.
    :raises EelgrassError: if the platform does not answer.
    """
    manifest = new.signed.manifest
    message = (
        f'version {accepted.version} is already accepted: version '
        f'{manifest.version}, based on {manifest.base}, conflicts with it'
    )
    if accepted.held is None or manifest.base > accepted.version:
        return SubmitConflict('conflict', message)
    message = f'{message}; it was signed {describe_signer(accepted.held)}'
    base = await _read_base(store, manifest.base, accepted.held)
    if base is None:
        lines = [message, f'base version {manifest.base} is not available']
        return SubmitConflict('conflict', '\n'.join(lines))
    comparison = compare(base, new.bundle, accepted.held.bundle)
    authors = await _find_authors(store, base, accepted.held, comparison)
    lines = [message, *_describe(comparison, authors)]
    if len(lines) > _MAX_LINES:
        omitted = len(lines) - _MAX_LINES
        lines = [*lines[:_MAX_LINES], f'{omitted} more lines omitted']
    return SubmitConflict('conflict', '\n'.join(lines), comparison)


def describe_signer(held: HeldBundle) -> str:
    """
    Describe the author of a bundle.

    :param held: the bundle.
    :returns: text with the author's name and the key identifier.
    """
    author = held.signed.manifest.author or 'an unnamed author'
    return f'by {author} with key {held.signed.key_id}'


def changed_names(changes: Iterable[Change]) -> list[str]:
    """
    List the records that contain changed fields.

    :param changes: changes of fields.
    :returns: kind and name of each record, sorted, without duplicates.
    """
    return sorted(
        {f'{change.field.kind} {change.field.name}' for change in changes}
    )


def _describe(
    comparison: Comparison, authors: dict[FieldName, str]
) -> list[str]:
    if not comparison.conflicts:
        ours = ', '.join(changed_names(comparison.ours.values()))
        theirs = ', '.join(changed_names(comparison.theirs.values()))
        return [
            f'your changes: {ours or "none"}',
            f'changes accepted since the base: {theirs or "none"}',
            'no field conflicts: use --merge to apply your changes to it',
        ]
    return [
        _conflict_line(field, comparison, authors.get(field, ''))
        for field in comparison.conflicts
    ]


def _conflict_line(
    field: FieldName, comparison: Comparison, author: str
) -> str:
    ours = comparison.ours.get(field)
    theirs = comparison.theirs.get(field)
    change = ours or theirs
    before = change.before if change else None
    our_value: Any = ours.after if ours else before
    their_value: Any = theirs.after if theirs else before
    line = (
        f'{field}: yours {our_value!r}, accepted {their_value!r}, '
        f'before {before!r}'
    )
    return f'{line}; {author}' if author else line


async def _read_base(
    store: BundleStore, version: int, accepted: HeldBundle
) -> Bundle | None:
    if version == 0:
        return Bundle(0, {}, {}, {}, {}, {})
    held = await store.replaced(version, accepted)
    return held.bundle if held else None


async def _find_authors(
    store: BundleStore,
    base: Bundle,
    accepted: HeldBundle,
    comparison: Comparison,
) -> dict[FieldName, str]:
    """Find the author of the accepted value of each conflicting field."""
    authors: dict[FieldName, str] = {}
    before = base
    async for held in _versions(store, base, accepted):
        for field in comparison.conflicts:
            value = value_of(held.bundle, field)
            if value != value_of(before, field):
                version = held.bundle.version
                authors[field] = f'version {version} {describe_signer(held)}'
        before = held.bundle
    return authors


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
