"""
tests.bundles
~~~~~~~~~~~~~

Helpers that create signed bundles for tests.
"""

import hashlib
import json
import tempfile
from pathlib import Path

from nacl.signing import SigningKey

from eelgrassfork import bundle
from eelgrassfork.bundle_source import CompiledParts
from eelgrassfork.signed_file import seal_bundle
from eelgrassfork.signing import KeyPair

__all__ = (
    'KEY',
    'OTHER_KEY',
    'TRUSTED',
    'held_bundle',
    'key_hash',
    'signed_bundle',
    'write_sources',
)

KEY = KeyPair(SigningKey(b'1' * 32))
OTHER_KEY = KeyPair(SigningKey(b'2' * 32))
TRUSTED = {KEY.key_id: KEY.public_key}


def key_hash(key):
    return hashlib.sha256(key.encode()).hexdigest()


def signed_bundle(version, organisations=('atelier',), key=KEY):
    """Return a signed manifest and the encoded parts by hash."""
    bodies = {}

    def add(kind, content):
        part_hash, body = bundle.new_part(kind, content)
        bodies[part_hash] = body
        return part_hash

    leaves = [
        add(
            'organisations',
            {
                f'pazlen/{name}': {
                    'budgets_by_key_hash': {key_hash(name): 'main'},
                    'services': ['pazlen/matcher'],
                },
            },
        )
        for name in organisations
    ]
    roots = (
        add('fleets', {'pazlen': {}}),
        add('services', {'pazlen/matcher': {'kind': 'model', 'model': 'm'}}),
        add('index', leaves),
    )
    manifest = bundle.Manifest(version, roots, max(version - 1, 0))
    return bundle.seal_manifest(manifest, key), bodies


def held_bundle(version, kinds, aliases=None, key=KEY, **manifest):
    """Build a signed bundle from fields of records by kind and name."""
    bodies = dict(bundle.new_part(kind, kinds[kind]) for kind in kinds)
    if aliases is not None:
        bodies.update([bundle.new_part('aliases', aliases)])
    return seal_bundle(
        bundle.Manifest(version, (), **{'base': version - 1, **manifest}),
        CompiledParts(tuple(bodies), bodies),
        key,
    )


def write_sources(content):
    """
    Write the source files of a bundle to a new directory.

    Organisations may list plain API keys as ``keys``; these are hashed.
    """
    directory = tempfile.mkdtemp()
    for kind in ('fleets', 'places', 'services', 'organisations'):
        by_name = {
            name: _with_hashes(fields)
            for name, fields in content.get(kind, {}).items()
        }
        text = json.dumps(by_name, indent=2)
        Path(directory, f'{kind}.json').write_text(text, encoding='utf-8')
    return directory


def _with_hashes(fields):
    given = dict(fields)
    keys = given.pop('keys', None)
    if keys is not None:
        given['budgets_by_key_hash'] = {
            key_hash(key): budget for key, budget in keys.items()
        }
    return given
