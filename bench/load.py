"""
bench.load
~~~~~~~~~~

Open-loop load generator.

Requests start at their scheduled times, regardless of the latency of earlier
ones, and latencies are measured from the scheduled start.
"""

import argparse
import collections
import json
import time
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import msgspec
import trio
from hdrh.histogram import HdrHistogram

from eelgrassfork.http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
    Response,
)
from eelgrassfork.transport import TCP, Transport

from .measure import emit
from .profile import CHAT, Planned, Profile, Stream, plan, read_profile

__all__ = ('Load', 'Target', 'main')

MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99, 99.9)
US_PER_S = 1_000_000
LATE_START_S = 0.1


class Target(NamedTuple):
    """
    Target of the load.

    :param urls: base URLs, used in turn.
    :param key: API key; ``{organisation}`` is replaced by the number of the
        organisation.
    :param addresses_by_name: addresses of the stand-ins that accept faults.
    """

    urls: tuple[str, ...]
    key: str = ''
    addresses_by_name: dict[str, str] = {}


class _StreamStatistics:
    """Outcomes and latencies of one stream of requests."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.by_second: dict[int, collections.Counter[str]] = {}
        self.histograms = {
            name: HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
            for name in ('first_byte', 'whole', 'between_events', 'refusal')
        }

    def record_duration(self, name: str, seconds: float) -> None:
        bounded = min(max(int(seconds * US_PER_S), 1), MAX_DURATION_US)
        self.histograms[name].record_value(bounded)

    def record_outcome(self, second: int, outcome: str) -> None:
        self.outcomes[outcome] += 1
        counter = self.by_second.setdefault(second, collections.Counter())
        counter[outcome] += 1


class Load:
    """
    Runs a profile against base URLs.

    :param profile: arrivals and faults.
    :param target: target of the load.
    :param seed: overrides the seed of the profile.
    :param transport: transport of the connections.
    """

    def __init__(
        self,
        profile: Profile,
        target: Target,
        seed: int | None = None,
        transport: Transport = TCP,
    ) -> None:
        self._profile = profile
        self._target = target
        self._planned = plan(profile, seed)
        # Idempotency keys must not repeat those of an earlier run with the
        # same seed.
        self._run_id = f'{time.time_ns():x}'
        self._http = HttpClient(max_idle=256, transport=transport)
        self._statistics_by_stream = {
            name: _StreamStatistics() for name in profile.streams
        }
        self._started_at: float = 0
        self._late_starts = 0
        self._worst_late_s: float = 0

    async def run(self) -> None:
        """Send all requests and wait for the responses."""
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in self._profile.faults:
                if fault.where in self._target.addresses_by_name:
                    nursery.start_soon(self._set_fault, fault)
            for number, conversation in enumerate(self._planned):
                await trio.sleep_until(self._started_at + conversation.at_s)
                nursery.start_soon(self._run_conversation, conversation, number)
        await self._http.close()

    def lines(self) -> Iterator[dict[str, Any]]:
        """
        Summarise the run.

        :returns: iterator of measurement lines: delays of the generator
            itself, then outcomes, latencies and counts by second of each
            stream.
        """
        yield {
            'measure': 'load.generator',
            'profile': self._profile.name,
            'conversations': len(self._planned),
            'late_starts': self._late_starts,
            'worst_late_ms': round(1000 * self._worst_late_s, 1),
        }
        for name, statistics in self._statistics_by_stream.items():
            yield {
                'measure': 'load.outcomes',
                'stream': name,
                'by_outcome': dict(statistics.outcomes),
            }
            for kind, histogram in statistics.histograms.items():
                if histogram.get_total_count():
                    yield self._percentile_line(name, kind, histogram)
            for second, counter in sorted(statistics.by_second.items()):
                yield {
                    'measure': 'load.second',
                    'stream': name,
                    'second': second,
                    'by_outcome': dict(counter),
                }

    def _percentile_line(
        self, stream: str, kind: str, histogram: HdrHistogram
    ) -> dict[str, Any]:
        return {
            'measure': f'load.{kind}',
            'stream': stream,
            'count': histogram.get_total_count(),
            'unit': 'ms',
            **{
                f'p{percentile:g}': round(
                    histogram.get_value_at_percentile(percentile) / 1000, 2
                )
                for percentile in PERCENTILES
            },
            'max': round(histogram.get_max_value() / 1000, 2),
            'histogram_us': histogram.encode().decode(),
        }

    async def _run_conversation(
        self, conversation: Planned, number: int
    ) -> None:
        intended_at = self._started_at + conversation.at_s
        url = self._target.urls[number % len(self._target.urls)]
        for turn in range(len(conversation.bodies)):
            if turn:
                pause_s = conversation.pauses_s[turn - 1]
                intended_at = trio.current_time() + pause_s
                await trio.sleep_until(intended_at)
            late_s = trio.current_time() - intended_at
            self._late_starts += late_s > LATE_START_S
            self._worst_late_s = max(self._worst_late_s, late_s)
            outcome = await self._send_turn(
                conversation, turn, url, intended_at
            )
            second = int(intended_at - self._started_at)
            self._statistics_by_stream[conversation.stream].record_outcome(
                second, outcome
            )
            if outcome != 'ok':
                return

    async def _send_turn(
        self, conversation: Planned, turn: int, url: str, intended_at: float
    ) -> str:
        stream = self._profile.streams[conversation.stream]
        statistics = self._statistics_by_stream[conversation.stream]
        request = self._request(conversation, stream, turn, url)
        # The time-out counts from the scheduled start, even if the request
        # started late.
        with trio.move_on_at(intended_at + stream.timeout_s):
            try:
                return await self._exchange(request, statistics, intended_at)
            except HttpClientError as error:
                return error.code
        return 'timeout'

    async def _exchange(
        self,
        request: ClientRequest,
        statistics: _StreamStatistics,
        intended_at: float,
    ) -> str:
        response = await self._http.request(
            request, ClientTimeouts(5, 600, 600)
        )
        try:
            if response.status != 200:
                code = _error_code(response.status, await response.read())
                statistics.record_duration(
                    'refusal', trio.current_time() - intended_at
                )
                return code
            return await self._read(response, statistics, intended_at)
        finally:
            await response.close()

    async def _read(
        self,
        response: Response,
        statistics: _StreamStatistics,
        intended_at: float,
    ) -> str:
        headers = response.headers_by_name
        is_stream = 'event-stream' in headers.get('content-type', '')
        last_at, tail = 0.0, b''
        async for chunk in response.chunks():
            now = trio.current_time()
            if not last_at:
                statistics.record_duration('first_byte', now - intended_at)
            elif is_stream:
                statistics.record_duration('between_events', now - last_at)
            last_at, tail = now, (tail + chunk)[-64:]
        if is_stream and b'data: [DONE]' not in tail:
            return 'cut'
        statistics.record_duration('whole', trio.current_time() - intended_at)
        return 'ok'

    def _request(
        self, conversation: Planned, stream: Stream, turn: int, url: str
    ) -> ClientRequest:
        parts = urlsplit(url)
        headers = [('content-type', 'application/json')]
        if self._target.key:
            key = self._target.key.format(
                organisation=conversation.organisation
            )
            headers.append(('authorization', f'Bearer {key}'))
        if stream.once:
            name = f'{self._run_id}-{conversation.stream}-{conversation.number}'
            headers.append(('idempotency-key', f'{name}-{turn}'))
            headers.append(('x-stainless-retry-count', '0'))
        if stream.deadline_ms:
            headers.append(('x-request-timeout-ms', str(stream.deadline_ms)))
        is_chat = stream.kind == 'chat'
        return ClientRequest(
            parts.netloc,
            'POST' if is_chat else stream.method,
            parts.path.rstrip('/') + (CHAT if is_chat else stream.target),
            tuple(headers),
            conversation.bodies[turn],
        )

    async def _set_fault(self, fault: Any) -> None:
        await trio.sleep_until(self._started_at + fault.at_s)
        address = self._target.addresses_by_name[fault.where]
        body = json.dumps(fault.set).encode()
        await self._http.fetch(
            ClientRequest(address, 'POST', '/admin/faults', (), body)
        )


def _error_code(status: int, body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)['error']['code'])
    except (msgspec.DecodeError, KeyError, TypeError):
        return f'status_{status}'


def _parse_pairs(pairs: Iterable[str]) -> dict[str, str]:
    return dict(pair.split('=', 1) for pair in pairs)


def main() -> None:
    """Run a profile and print its measurement lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'profile', help='path of a file, or name of a profile in bench/profiles'
    )
    parser.add_argument('urls', nargs='+', help='base URLs')
    parser.add_argument(
        '--key',
        default='',
        help='API key; {organisation} is replaced by a number',
    )
    parser.add_argument(
        '--at', action='append', default=[], metavar='NAME=ADDRESS'
    )
    parser.add_argument('--seed', type=int)
    options = parser.parse_args()
    target = Target(tuple(options.urls), options.key, _parse_pairs(options.at))
    load = Load(read_profile(options.profile), target, options.seed)
    trio.run(load.run)
    for line in load.lines():
        emit(line)


if __name__ == '__main__':
    main()
