"""
bench.first_token
~~~~~~~~~~~~~~~~~

First token of a streamed chat through a router against the engine itself.
"""

import random
import statistics
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import trio

from eelgrassfork.http_client import ClientRequest, HttpClient

from .measure import emit, row
from .small_fleet import LLM, FleetSize, SmallFleet, key_of

__all__ = ('LARGEST_RATIO', 'measure')

LARGEST_RATIO = 1.5
EACH = 50
PROMPT_WORDS = (10, 200)
WARM_UP = 3


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """
    Ask router and engine in turn.

    :param seed: seed of the prompts.
    :returns: iterator of lines: medians and their ratio for each prompt.
    """
    with tempfile.TemporaryDirectory() as directory:
        yield from trio.run(_measure, Path(directory), seed)


async def _measure(directory: Path, seed: int) -> list[dict[str, Any]]:
    fleet = SmallFleet(directory, FleetSize())
    lines = []
    try:
        await fleet.start()
        for words in PROMPT_WORDS:
            lines += await _compare(fleet, words, random.Random(seed))
    finally:
        await fleet.close()
    return lines


async def _compare(
    fleet: SmallFleet, words: int, source: random.Random
) -> list[dict[str, Any]]:
    http = HttpClient()
    times: dict[str, list[float]] = {'router': [], 'engine': []}
    for number in range(WARM_UP + EACH):
        # Each goes first in half of the pairs.
        for way in sorted(times, reverse=bool(number % 2)):
            taken_s = await _first_token(http, fleet, way, words, source)
            if number >= WARM_UP:
                times[way].append(taken_s)
    await http.close()
    medians = {
        way: 1000 * statistics.median(listed) for way, listed in times.items()
    }
    inputs = {'prompt_words': words, 'each': EACH}
    ratio = medians['router'] / medians['engine']
    return [
        row('first_token.engine', medians['engine'], 'ms', **inputs),
        row('first_token.router', medians['router'], 'ms', **inputs),
        row('first_token.ratio', ratio, 'router/engine', **inputs),
    ]


async def _first_token(
    http: HttpClient,
    fleet: SmallFleet,
    way: str,
    words: int,
    source: random.Random,
) -> float:
    text = ' '.join(f'{source.getrandbits(24):06x}' for _ in range(words))
    content = {
        'model': LLM,
        'messages': [{'role': 'user', 'content': text}],
        'stream': True,
        'metadata': {'words': '4'},
    }
    addresses = {
        'router': fleet.router_addresses[0],
        'engine': fleet.engine_addresses[0],
    }
    request = ClientRequest(
        addresses[way],
        'POST',
        '/v1/chat/completions',
        (('authorization', f'Bearer {key_of(0)}'),),
        msgspec.json.encode(content),
    )
    started_at = trio.current_time()
    response = await http.request(request)
    first_at = 0.0
    async for chunk in response.chunks():
        if not first_at and b'"content"' in chunk:
            first_at = trio.current_time()
    await response.close()
    if response.status != 200:
        raise RuntimeError(f'{way} answered {response.status}')
    return first_at - started_at


def main() -> None:
    """Measure and print."""
    for line in measure(1):
        emit(line)


if __name__ == '__main__':
    main()
