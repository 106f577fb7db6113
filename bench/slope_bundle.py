"""
bench.slope_bundle
~~~~~~~~~~~~~~~~~~

Cost of the bundle against the number of organisations.
"""

import hashlib
import random
import statistics
import tracemalloc
from collections.abc import Iterator
from typing import Any

import trio
from nacl.signing import SigningKey

from eelgrassfork.bundle import Manifest, open_manifest, seal_manifest
from eelgrassfork.bundle_source import (
    CompiledParts,
    Entry,
    Sources,
    compile_parts,
)
from eelgrassfork.bundle_types import Fleet, Organisation, Place, Service
from eelgrassfork.held_bundle import HeldBundle, fetch_and_assemble
from eelgrassfork.options import Problems
from eelgrassfork.signing import KeyPair

from .measure import cpu_ms, fit, row
from .target import DOMAIN_REGIONS, MODELS

__all__ = ('make_sources', 'measure')

ORGANISATIONS = (200, 800, 1_600, 3_300)
# 150,000 budgets of 3,300 organisations.
BUDGETS_EACH = 45
# Leaves differ in size; one change each of so many organisations.
CHANGES = 20
KEY = KeyPair(SigningKey(b'1' * 32))
TRUSTED = {KEY.key_id: KEY.public_key}


def make_sources(source: random.Random, organisations: int) -> Sources:
    """
    Make checked sources of one fleet.

    :param source: random source of the keys.
    :param organisations: how many organisations.
    :returns: the sources.
    """
    records = {
        'fleets': [Fleet('pazlen', 1_200)],
        'places': [
            Place(name, 'pazlen', region)
            for name, region in DOMAIN_REGIONS.items()
        ],
        'services': [
            Service(f'pazlen/model-{number}', 'model', f'model-{number}')
            for number in range(MODELS)
        ],
        'organisations': [
            make_organisation(source, number) for number in range(organisations)
        ],
    }
    problems = Problems()
    return Sources(
        {
            kind: {
                record.name: Entry(record, (record.name,), problems)
                for record in listed
            }
            for kind, listed in records.items()
        }
    )


def make_organisation(source: random.Random, number: int) -> Organisation:
    """
    Make an organisation with a key for each of its budgets.

    :param source: random source of the keys.
    :param number: what names it.
    :returns: the organisation.
    """
    return Organisation(
        f'pazlen/organisation-{number:04}',
        {
            hashlib.sha256(source.randbytes(16)).hexdigest(): f'budget-{budget}'
            for budget in range(BUDGETS_EACH)
        },
        frozenset(f'pazlen/model-{model}' for model in range(MODELS)),
    )


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure taking a whole bundle, and one change of one organisation.

    :param seed: seed of the keys.
    :returns: iterator of lines.
    """
    points: dict[tuple[str, str], list[tuple[tuple[float, ...], float]]] = {}
    for organisations in ORGANISATIONS:
        for key, value in _figures(seed, organisations).items():
            yield row(
                f'bundle.{key[0]}', value, key[1], organisations=organisations
            )
            points.setdefault(key, []).append(((organisations,), value))
    for (step, unit), listed in points.items():
        yield {
            'measure': f'bundle.{step}',
            'unit': unit,
            'fit': fit(listed, ('per_organisation',)),
        }


def _figures(seed: int, organisations: int) -> dict[tuple[str, str], float]:
    source = random.Random(seed)
    sources = make_sources(source, organisations)
    before = compile_parts(sources)
    after, changes = _change_some(source, sources, before)
    envelope = seal_manifest(Manifest(2, after.hashes), KEY)
    tracemalloc.start()
    held = _take(1, before, None)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        ('whole', 'bytes'): sum(map(len, before.bodies_by_hash.values())),
        ('held', 'bytes'): held_bytes,
        ('parts', 'parts'): len(before.bodies_by_hash),
        ('manifest', 'bytes'): len(envelope),
        ('change', 'bytes'): statistics.mean(changes),
        ('take_whole', 'ms'): cpu_ms(lambda: _take(1, before, None), 3),
        ('verify', 'ms'): cpu_ms(lambda: open_manifest(envelope, TRUSTED)),
        ('take_change', 'ms'): cpu_ms(lambda: _take(2, after, held)),
    }


def _change_some(
    source: random.Random, sources: Sources, before: CompiledParts
) -> tuple[CompiledParts, list[int]]:
    after, changes = before, []
    entries = sources.entries_by_kind['organisations']
    for number in range(CHANGES):
        changed = make_organisation(source, number)
        kept = entries[changed.name]
        entries[changed.name] = kept._replace(record=changed)
        after = compile_parts(sources)
        entries[changed.name] = kept
        new = after.bodies_by_hash.keys() - before.bodies_by_hash.keys()
        changes.append(sum(len(after.bodies_by_hash[name]) for name in new))
    return after, changes


def _take(
    version: int, compiled: CompiledParts, held: HeldBundle | None
) -> HeldBundle:
    envelope = seal_manifest(Manifest(version, compiled.hashes), KEY)
    signed = open_manifest(envelope, TRUSTED)

    async def fetch(hashes: list[str]) -> dict[str, bytes]:
        await trio.lowlevel.checkpoint()
        return {name: compiled.bodies_by_hash[name] for name in hashes}

    return trio.run(fetch_and_assemble, signed, held, fetch)
