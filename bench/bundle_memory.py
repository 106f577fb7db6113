"""
bench.bundle_memory
~~~~~~~~~~~~~~~~~~~

Memory and processor time of one router's bundle at the target's size.

Prints JSON lines. The bundle is signed by a child process, so that this
process holds only what a router holds.
"""

import argparse
import gc
import hashlib
import json
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import trio
from nacl.signing import SigningKey

from eelgrassfork.bundle import (
    Manifest,
    new_part,
    open_manifest,
    seal_manifest,
)
from eelgrassfork.held_bundle import fetch_and_assemble
from eelgrassfork.signing import KeyPair

KEY = KeyPair(SigningKey(b'1' * 32))
TRUSTED = {KEY.key_id: KEY.public_key}
MODELS = 4
LOOK_UPS = 20_000


def key_hash(organisation: int, budget: int) -> str:
    return hashlib.sha256(f'{organisation}-{budget}'.encode()).hexdigest()


def write_bundle(path: str, organisations: int, budgets: int) -> None:
    """Sign a bundle in the layout of compile_parts, without its checks."""
    from eelgrassfork.bundle_source import Entry, Sources, compile_parts
    from eelgrassfork.bundle_types import Fleet, Organisation, Service
    from eelgrassfork.options import Problems

    models = [f'pazlen/model-{number}' for number in range(MODELS)]
    records = {
        'fleets': [Fleet('pazlen', 1_200)],
        'places': [],
        'services': [Service(name, 'model', 'm') for name in models],
        'organisations': [
            Organisation(
                f'pazlen/organisation-{number:04}',
                {
                    key_hash(number, each): f'b-{each}'
                    for each in range(budgets)
                },
                frozenset(models),
            )
            for number in range(organisations)
        ],
    }
    problems = Problems()
    parts = compile_parts(
        Sources(
            {
                kind: {each.name: Entry(each, (), problems) for each in listed}
                for kind, listed in records.items()
            }
        )
    )
    envelope = seal_manifest(Manifest(1, parts.hashes), KEY)
    encoded = msgspec.msgpack.encode([envelope, parts.bodies_by_hash])
    Path(path).write_bytes(encoded)


def resident_mb() -> float:
    gc.collect()
    status = Path('/proc/self/status').read_text().split('\n')
    line = next(line for line in status if line.startswith('VmRSS'))
    return int(line.split()[1]) / 1024


def say(measure: str, value: float, unit: str, **inputs: object) -> None:
    line = {'measure': measure, **inputs, 'value': round(value, 3)}
    sys.stdout.write(json.dumps({**line, 'unit': unit}) + '\n')


def hold(path: str, organisations: int, budgets: int) -> None:
    """Hold the bundle of a file and look callers up in it."""
    size = {'organisations': organisations, 'budgets_each': budgets}
    envelope, bodies = msgspec.msgpack.decode(Path(path).read_bytes())
    parts_mb = sum(map(len, bodies.values())) / 1e6
    signed = open_manifest(envelope, TRUSTED)

    async def fetch(hashes: list[str]) -> dict[str, bytes]:
        await trio.lowlevel.checkpoint()
        return {part_hash: bodies.pop(part_hash) for part_hash in hashes}

    before = resident_mb()
    started = time.process_time()
    held = trio.run(fetch_and_assemble, signed, None, fetch)
    taken_s = time.process_time() - started
    say('bundle.parts', parts_mb, 'MB', **size)
    say('bundle.beside_parts', resident_mb() - before, 'MB', **size)
    say('bundle.take_whole', taken_s, 's', **size)
    source = random.Random(1)
    hashes = [
        key_hash(source.randrange(organisations), source.randrange(budgets))
        for _ in range(LOOK_UPS)
    ]
    callers = held.bundle.callers_by_key_hash
    times = []
    for each in hashes:
        started = time.perf_counter()
        assert callers.get(each) is not None
        times.append(time.perf_counter() - started)
    say('bundle.look_up_mean', statistics.mean(times) * 1e6, 'us', **size)
    say('bundle.look_up_worst', max(times) * 1e6, 'us', **size)
    say('bundle.after_look_ups', resident_mb() - before, 'MB', **size)
    name, change = change_of(held, key_hash(0, 0))
    bodies.update(change)
    signed = open_manifest(name, TRUSTED)
    started = time.process_time()
    trio.run(fetch_and_assemble, signed, held, fetch)
    say('bundle.take_change', time.process_time() - started, 's', **size)


def change_of(held, changed_key):
    """Sign version 2, in which one leaf has one more organisation."""
    bodies = {part: each.body for part, each in held.parts_by_hash.items()}
    leaf = next(
        part
        for part, body in bodies.items()
        if changed_key.encode() in body or bytes.fromhex(changed_key) in body
    )
    content = msgspec.msgpack.decode(bodies[leaf])['content']
    content['pazlen/new'] = {'budgets_by_key_hash': {}, 'services': []}
    new_leaf, body = new_part('organisations', content)
    roots = []
    new = {new_leaf: body}
    for part in held.signed.manifest.parts:
        hashes = list(held.parts_by_hash[part].hashes)
        if leaf in hashes:
            hashes[hashes.index(leaf)] = new_leaf
            part, new_body = new_part('index', hashes)
            new[part] = new_body
        roots.append(part)
    return seal_manifest(Manifest(2, tuple(roots)), KEY), new


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--organisations', type=int, default=3_300)
    parser.add_argument('--budgets', type=int, default=45)
    parser.add_argument('--write', default='')
    given = parser.parse_args()
    sizes = (given.organisations, given.budgets)
    if given.write:
        write_bundle(given.write, *sizes)
        return
    with tempfile.TemporaryDirectory() as directory:
        path = f'{directory}/bundle'
        subprocess.run(
            [sys.executable, '-m', 'bench.bundle_memory', '--write', path]
            + ['--organisations', str(sizes[0]), '--budgets', str(sizes[1])],
            check=True,
        )
        hold(path, *sizes)


if __name__ == '__main__':
    main()
