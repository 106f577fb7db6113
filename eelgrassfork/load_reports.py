"""
eelgrassfork.load_reports
~~~~~~~~~~~~~~~~~~~~~~~~~

Polls backend servers for load and cache events; probes ejected ones.
"""

import random
from typing import Final, Literal, NamedTuple

import logbook
import msgspec
import trio

from .backends import Backends, CacheEvent, PollTarget
from .http_client import (
    ClientRequest,
    ClientTimeouts,
    ConnectFailed,
    HttpClient,
    HttpClientError,
)

__all__ = ('LoadReports', 'PollSettings')

_log = logbook.Logger('load_reports')

_OK: Final = 200
_SERVER_ERROR: Final = 500


class PollSettings(NamedTuple):
    """
    Polling intervals and limits.

    :param interval_s: time between two polls of a server, in seconds.
    :param jitter: largest relative random change of the delay between
        rounds.
    :param max_per_round: maximum number of servers polled in one round;
        limits the traffic of a router with a large number of servers.
    :param rounds_per_event_read: number of rounds for each read of the cache
        events.
    :param timeout_s: time-out of a poll in seconds.
    """

    interval_s: float = 1
    jitter: float = 0.25
    max_per_round: int = 16
    rounds_per_event_read: int = 5
    timeout_s: float = 1


class _LoadReport(msgspec.Struct):
    running: int
    waiting: int


class _CacheEventBody(msgspec.Struct):
    number: int
    kind: Literal['stored', 'evicted']
    prefix: str


class _CacheEventsBody(msgspec.Struct):
    events: list[_CacheEventBody]


class LoadReports:
    """
    Polls the servers in use for their load reports.

    :param backends: receives reports, cache events and probe results.
    :param http: client for the polls.
    :param settings: polling intervals and limits.
    :param source: random source for jitter.
    """

    def __init__(
        self,
        backends: Backends,
        http: HttpClient,
        settings: PollSettings,
        source: random.Random,
    ) -> None:
        self._backends = backends
        self._http = http
        self._settings = settings
        self._source = source
        self._scope = trio.CancelScope()
        self._round = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """
        Start polling in the background.

        :param nursery: nursery in which the polls run.
        """
        nursery.start_soon(self._run)
        await trio.lowlevel.checkpoint()

    async def close(self) -> None:
        """Stop polling."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    async def _run(self) -> None:
        settings = self._settings
        with self._scope:
            while True:
                spread = settings.jitter * (2 * self._source.random() - 1)
                await trio.sleep(settings.interval_s * (1 + spread))
                self._round += 1
                await self._poll_due()

    async def _poll_due(self) -> None:
        settings = self._settings
        min_interval_s = settings.interval_s * (1 - settings.jitter)
        targets = self._backends.polls_due(
            min_interval_s, settings.max_per_round
        )
        async with trio.open_nursery() as nursery:
            for target in targets:
                self._backends.record_poll(target.vm)
                nursery.start_soon(self._poll, target)

    async def _poll(self, target: PollTarget) -> None:
        try:
            status, body = await self._get(target, '/v1/load')
        except HttpClientError as error:
            self._record_failure(target, error)
            return
        if target.probe:
            alive = status < _SERVER_ERROR
            self._backends.record_probe(target.vm, alive)
            _log.info(
                'backends: probe of {} returned status {}', target.vm, status
            )
        self._apply_report(target, status, body)
        if self._round % self._settings.rounds_per_event_read == 0:
            await self._poll_events(target)

    def _apply_report(
        self, target: PollTarget, status: int, body: bytes
    ) -> None:
        if status != _OK:
            return
        try:
            report = msgspec.json.decode(body, type=_LoadReport)
        except msgspec.DecodeError as error:
            _log.warning(
                'backends: invalid load report from {}: {}', target.vm, error
            )
            return
        self._backends.record_load(target.vm, report.running, report.waiting)

    def _record_failure(
        self, target: PollTarget, error: HttpClientError
    ) -> None:
        if target.probe:
            self._backends.record_probe(target.vm, alive=False)
        elif isinstance(error, ConnectFailed):
            self._backends.record_failure(target.vm)

    async def _poll_events(self, target: PollTarget) -> None:
        path = f'/v1/cache-events?after={target.events_after}'
        try:
            status, body = await self._get(target, path)
        except HttpClientError:
            return
        if status != _OK:
            return
        try:
            decoded = msgspec.json.decode(body, type=_CacheEventsBody)
        except msgspec.DecodeError as error:
            _log.warning(
                'backends: invalid cache events from {}: {}', target.vm, error
            )
            return
        events = [
            CacheEvent(event.number, event.kind, event.prefix)
            for event in decoded.events
        ]
        self._backends.apply_cache_events(target.vm, events)

    async def _get(self, target: PollTarget, path: str) -> tuple[int, bytes]:
        timeout_s = self._settings.timeout_s
        response, body = await self._http.fetch(
            ClientRequest(target.address, 'GET', path, fresh=target.probe),
            ClientTimeouts(timeout_s, timeout_s, timeout_s),
        )
        return response.status, body
