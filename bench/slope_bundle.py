"""
bench.slope_bundle
~~~~~~~~~~~~~~~~~~

Measures the size and processing cost of the bundle by number of organisations.
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
# 3,300 organisations have 150,000 budgets in all.
BUDGETS_PER_ORGANISATION = 45
# Number of organisations that are changed, one at a time; the mean is reported
# because leaves differ in size.
CHANGES = 20
KEY = KeyPair(SigningKey(b'1' * 32))
TRUSTED = {KEY.key_id: KEY.public_key}


def make_sources(source: random.Random, organisations: int) -> Sources:
    """
    Generate validated sources of one fleet.

    :param source: random source of the keys.
    :param organisations: number of organisations.
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
    Generate an organisation with an API key for each of its budgets.

    :param source: random source of the keys.
    :param number: number in the name of the organisation.
    :returns: the organisation.
    """
    return Organisation(
        f'pazlen/organisation-{number:04}',
        {
            hashlib.sha256(source.randbytes(16)).hexdigest(): f'budget-{budget}'
            for budget in range(BUDGETS_PER_ORGANISATION)
        },
        frozenset(f'pazlen/model-{model}' for model in range(MODELS)),
    )


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Measure loading a whole bundle and a change of one organisation.

    :param seed: seed of the keys.
    :returns: iterator of measurement lines.
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
    after, changes = _change_organisations(source, sources, before)
    sealed_manifest = seal_manifest(Manifest(2, after.hashes), KEY)
    tracemalloc.start()
    held = _gather_bundle(1, before, None)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        ('whole', 'bytes'): sum(map(len, before.bodies_by_hash.values())),
        ('held', 'bytes'): held_bytes,
        ('parts', 'parts'): len(before.bodies_by_hash),
        ('manifest', 'bytes'): len(sealed_manifest),
        ('change', 'bytes'): statistics.mean(changes),
        ('take_whole', 'ms'): cpu_ms(
            lambda: _gather_bundle(1, before, None), 3
        ),
        ('verify', 'ms'): cpu_ms(
            lambda: open_manifest(sealed_manifest, TRUSTED)
        ),
        ('take_change', 'ms'): cpu_ms(lambda: _gather_bundle(2, after, held)),
    }


def _change_organisations(
    source: random.Random, sources: Sources, before: CompiledParts
) -> tuple[CompiledParts, list[int]]:
    after, changes = before, []
    entries = sources.entries_by_kind['organisations']
    for number in range(CHANGES):
        changed = make_organisation(source, number)
        original = entries[changed.name]
        entries[changed.name] = original._replace(record=changed)
        after = compile_parts(sources)
        entries[changed.name] = original
        new_hashes = after.bodies_by_hash.keys() - before.bodies_by_hash.keys()
        changes.append(
            sum(len(after.bodies_by_hash[name]) for name in new_hashes)
        )
    return after, changes


def _gather_bundle(
    version: int, compiled: CompiledParts, held: HeldBundle | None
) -> HeldBundle:
    sealed_manifest = seal_manifest(Manifest(version, compiled.hashes), KEY)
    signed = open_manifest(sealed_manifest, TRUSTED)

    async def fetch(hashes: list[str]) -> dict[str, bytes]:
        await trio.lowlevel.checkpoint()
        return {name: compiled.bodies_by_hash[name] for name in hashes}

    return trio.run(fetch_and_assemble, signed, held, fetch)
