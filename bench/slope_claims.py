"""
bench.slope_claims
~~~~~~~~~~~~~~~~~~

Measures the platform calls, size and processor time of claims.
"""

import random
import time
from collections.abc import Iterator
from typing import Any

import trio

from eelgrassfork.claim_records import (
    ClaimAnswer,
    ClaimRecord,
    decode_claim,
    encode_claim,
)
from eelgrassfork.claims import Claims, ClaimsIdentity, NewClaim
from standins.fake_platform import FakePlatform
from standins.platform_core import PlatformCore, RateLimits

from .measure import cpu_ms, row

__all__ = ('measure',)

ANSWER_BYTES = (0, 400, 4_000, 40_000)
REQUEST_COUNT = 200
CLAIM_COUNTS = (1_000, 4_000, 16_000)


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Count the platform calls of a claim and measure claim records.

    :param seed: seed of the answers.
    :returns: iterator of measurement lines.
    """
    source = random.Random(seed)
    for size in ANSWER_BYTES:
        record = _make_record(source, 1, size)
        body = encode_claim(record)
        inputs = {'answer_bytes': size}
        yield row('claims.record', len(body), 'bytes', **inputs)
        encode_ms = cpu_ms(lambda record=record: encode_claim(record))
        yield row('claims.encode', encode_ms, 'ms', **inputs)
        decode_ms = cpu_ms(lambda body=body: decode_claim(body))
        yield row('claims.decode', decode_ms, 'ms', **inputs)
    calls = trio.run(_count_calls)
    for kind, count in calls.items():
        yield row('claims.platform_calls', count, 'calls/request', kind=kind)
    for claim_count in CLAIM_COUNTS:
        figures = trio.run(_measure_listing, source, claim_count)
        yield row(
            'claims.reclaim_list', figures[0], 'bytes', claims=claim_count
        )
        yield row('claims.reclaim_list', figures[1], 'ms', claims=claim_count)


def _make_record(source: random.Random, number: int, size: int) -> ClaimRecord:
    answer = None
    if size:
        answer = ClaimAnswer(
            200, (('content-type', 'application/json'),), source.randbytes(size)
        )
    return ClaimRecord(
        body_hash=f'{source.getrandbits(256):064x}',
        holder=f'bg-south-entry-{number % 2800:05}.0a1b2c3d',
        listed_at=31_000,
        nonce=f'{source.getrandbits(96):024x}'[:16],
        request_id=f'req-{source.getrandbits(72):018x}'[:16],
        price=400,
        state='ran' if size else 'claimed',
        payer='bg-south-entry-00001.0a1b2c3d/pazlen/o-1/budget-1/1234',
        answer=answer,
    )


def _identity() -> ClaimsIdentity:
    return ClaimsIdentity('entry-1.0', lambda: 1, lambda holder, at: False)


async def _count_calls() -> dict[str, float]:
    core = PlatformCore(RateLimits(1e9, 1e9))
    async with trio.open_nursery() as nursery:
        claims = Claims(FakePlatform(core), _identity())
        await claims.start(nursery)
        for number in range(REQUEST_COUNT):
            new_claim = NewClaim(
                'pazlen/o/main', f'key-{number}', 'hash', 'r', 1
            )
            claim = await claims.claim(new_claim)
            await claims.record(claim, 'ran', ClaimAnswer(200, (), b'{}'))
        await claims.close()
        nursery.cancel_scope.cancel()
    return {
        kind: count / REQUEST_COUNT
        for kind, count in core.calls_by_kind.items()
    }


async def _measure_listing(
    source: random.Random, claim_count: int
) -> tuple[int, float]:
    core = PlatformCore(RateLimits(1e9, 1e9))
    size = 0
    for number in range(claim_count):
        body = encode_claim(_make_record(source, number, 400))
        core.objects.put(f'claims/pazlen/o/{number:064}', body, None)
        size += len(body)
    claims = Claims(FakePlatform(core), _identity())
    started_at = time.process_time()
    await claims.list_by_payer('bg-south-entry-00001.0a1b2c3d/')
    return size, 1000 * (time.process_time() - started_at)
