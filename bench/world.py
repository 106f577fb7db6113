"""
bench.world
~~~~~~~~~~~

Runs complete routers and stand-ins in one process on a mock clock.
"""

import hashlib
import random
from typing import Any, NamedTuple

import trio

from eelgrassfork.bundle import CURRENT_KEY, Manifest, part_key, seal_manifest
from eelgrassfork.bundle_source import Entry, Sources, compile_parts
from eelgrassfork.bundle_types import Fleet, Organisation, Place, Service
from eelgrassfork.http_client import HttpClient
from eelgrassfork.ledger import (
    Refusal,
    decode_shard,
    empty_shard,
    encode_shard,
    top_up,
)
from eelgrassfork.names import shard_of
from eelgrassfork.options import Problems
from eelgrassfork.router import Router, RouterEnvironment
from eelgrassfork.settings import Endpoint, RouterSettings
from eelgrassfork.vm_list import VmRecord
from standins.engine import EngineSettings, EngineStandin
from standins.fake_platform import FakePlatform
from standins.plain_service import PlainServiceStandin
from standins.platform_core import PlatformCore, RateLimits

from .memory_transport import MemoryTransports
from .slope_bundle import KEY, TRUSTED

__all__ = ('FLEET', 'World', 'WorldSize')

FLEET = 'bench'
LLM = f'{FLEET}/llm'
STOCK = f'{FLEET}/stock'
SHARDS = 4
GRANTED_TOKENS = 10**12
READY_TIMEOUT_S = 30


class WorldSize(NamedTuple):
    """
    Number and settings of the processes to simulate.

    :param work_s: processing time of a request to the plain service.
    :param model: further fields of the model service.
    :param plain: further fields of the plain service.
    """

    routers: int = 2
    engines: int = 5
    plain_servers: int = 0
    organisations: int = 8
    work_s: float = 0.05
    model: dict[str, Any] = {}
    plain: dict[str, Any] = {}


class World:
    """
    Platform, backend servers and routers of one run.

    :param size: number and settings of the processes.
    :param seed: seed of all random values.
    """

    def __init__(self, size: WorldSize, seed: int) -> None:
        self.size = size
        self.transports = MemoryTransports()
        self.platform = FakePlatform(PlatformCore(RateLimits(1e6, 1e6)))
        transport = self.transports.transport()
        self.engines = [
            EngineStandin(EngineSettings('m', seed=seed + number), transport)
            for number in range(size.engines)
        ]
        self.plain_servers = [
            PlainServiceStandin(size.work_s, transport)
            for _ in range(size.plain_servers)
        ]
        self.http = HttpClient(max_idle=256, transport=transport)
        self.routers = [
            Router(
                _settings(number),
                RouterEnvironment(
                    transport,
                    self.platform.for_client(f'entry-{number}'),
                    source=random.Random(seed + number),
                ),
            )
            for number in range(size.routers)
        ]

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start everything and wait until the routers are ready.

        :param nursery: nursery of the background tasks.
        :raises trio.TooSlowError: if a router is not ready within 30 s.
        """
        for server in (*self.engines, *self.plain_servers):
            await server.start(nursery, '10.1.0.1', 0)
        self._put_vms()
        await self._put_bundle()
        await self._put_grants()
        for router in self.routers:
            await router.start(nursery)
        with trio.fail_after(READY_TIMEOUT_S):
            while any(router.unready() for router in self.routers):
                await trio.sleep(0.1)

    def key_headers(self, organisation: int) -> tuple[tuple[str, str], ...]:
        """
        Build the headers of an organisation's requests.

        :param organisation: number of the organisation.
        :returns: pairs of name and value.
        """
        return (('authorization', f'Bearer key-{organisation}'),)

    def _put_vms(self) -> None:
        records = [
            VmRecord(
                f'entry-{number}',
                'router',
                'live',
                FLEET,
                '',
                f'{FLEET}/place',
                'r',
                f'10.0.0.{number}:8080',
                f'10.0.0.{number}:8081',
            )
            for number in range(self.size.routers)
        ]
        for service, servers in (
            (LLM, self.engines),
            (STOCK, self.plain_servers),
        ):
            for number, server in enumerate(servers):
                records.append(
                    VmRecord(
                        f'{service.partition("/")[2]}-{number}',
                        'backend',
                        'live',
                        FLEET,
                        service,
                        f'{FLEET}/place',
                        'r',
                        server.address,
                    )
                )
        self.platform.set_vms(*records)

    async def _put_bundle(self) -> None:
        records: dict[str, list[Any]] = {
            'fleets': [Fleet(FLEET, SHARDS)],
            'places': [Place(f'{FLEET}/place', FLEET, 'r')],
            'services': [
                Service(LLM, 'model', 'm', **self.size.model),
                Service(STOCK, 'plain', **self.size.plain),
            ],
            'organisations': [
                Organisation(
                    f'{FLEET}/o-{number}',
                    {_sha256_hex(f'key-{number}'): 'main'},
                    frozenset((LLM, STOCK)),
                    max_in_flight=10_000,
                )
                for number in range(self.size.organisations)
            ],
        }
        problems = Problems()
        compiled = compile_parts(
            Sources(
                {
                    kind: {
                        each.name: Entry(each, (each.name,), problems)
                        for each in entries
                    }
                    for kind, entries in records.items()
                }
            )
        )
        for name, body in compiled.bodies_by_hash.items():
            await self.platform.put(part_key(name), body, None)
        sealed_manifest = seal_manifest(Manifest(1, compiled.hashes), KEY)
        await self.platform.put(CURRENT_KEY, sealed_manifest, None)

    async def _put_grants(self) -> None:
        for number in range(self.size.organisations):
            budget = f'{FLEET}/o-{number}/main'
            key = f'ledger/{FLEET}/{shard_of(budget, SHARDS)}'
            stored = await self.platform.get(key)
            shard = decode_shard(stored.body) if stored else empty_shard()
            changed = top_up(shard, budget, 'op-1', GRANTED_TOKENS)
            assert not isinstance(changed, Refusal)
            version = stored.version if stored else None
            await self.platform.put(key, encode_shard(changed), version)


def _settings(number: int) -> RouterSettings:
    host = f'10.0.0.{number}'
    return RouterSettings(
        vm=f'entry-{number}',
        fleet=FLEET,
        failure_domain=f'{FLEET}/place',
        region='r',
        callers=Endpoint(host, 8080),
        peers=Endpoint(host, 8081),
        operators=Endpoint(host, 8082),
        platform='',
        peer_key='a-key-of-some-length',
        operator_key_hash=_sha256_hex('operator'),
        trusted_keys=dict(TRUSTED),
    )


def _sha256_hex(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
