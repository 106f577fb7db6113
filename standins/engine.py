"""
standins.engine
~~~~~~~~~~~~~~~

Stand-in for a model engine, over HTTP.
"""

import argparse
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import msgspec
import trio

from eelgrassfork.http_server import Call
from eelgrassfork.process_signals import ProcessSignals
from eelgrassfork.transport import TCP, Transport

from .engine_answers import respond_completion, respond_stream
from .engine_batch import Batch, Generation, GenerationSpec
from .engine_cache import CacheEvents, PrefixCache
from .engine_orders import EngineOrders, OrderBody, OrderRefused
from .engine_text import ChatRequest, InvalidChatRequest, parse_chat
from .server_faults import FaultInjector, FaultsBody
from .serving import (
    HttpStandin,
    InvalidAdminRequest,
    admin_fields,
    respond_error,
    respond_json,
    serve_until_stopped,
)

__all__ = ('EngineSettings', 'EngineStandin')

_RequestHandler = Callable[[Call], Awaitable[None]]

_REQUESTS: Final = '/v1/requests/'
_KV: Final = '/v1/kv/'
_BINARY: Final = (('content-type', 'application/octet-stream'),)
_NORMAL_PRIORITY: Final = 1
_INVALID_REQUEST_ERRORS: Final = (
    InvalidChatRequest,
    InvalidAdminRequest,
    ValueError,
    msgspec.DecodeError,
)


class EngineSettings(NamedTuple):
    """
    Settings of an engine.

    :param slots: maximum number of concurrent sequences.
    :param cache_blocks: size of the prefix cache in blocks of 16 words.
    :param load_lag_s: seconds between load reports.
    :param checks_fencing: whether orders with a stale fencing number are
        rejected.
    :param seed: random seed that selects the lost cache events.
    :param pace: factor on all durations; below 1 is faster.
    """

    model: str
    slots: int = 16
    cache_blocks: int = 4096
    load_lag_s: float = 0.5
    checks_fencing: bool = False
    seed: int = 1
    pace: float = 1.0


class EngineStandin(HttpStandin):
    """
    A model engine in this process.

    :param settings: settings of the engine.
    :param transport: transport that accepts connections.
    :ivar fault_injector: active faults.
    :ivar generations_by_id: all generations by request identity, for
        inspection by tests.
    """

    def __init__(
        self, settings: EngineSettings, transport: Transport = TCP
    ) -> None:
        super().__init__(self._serve, transport)
        self.fault_injector = FaultInjector()
        self.generations_by_id: dict[str, Generation] = {}
        self.orders = EngineOrders(settings.model, settings.checks_fencing)
        self._settings = settings
        self._events = CacheEvents(settings.seed)
        self._cache = PrefixCache(settings.cache_blocks, self._events)
        self._batch = Batch(settings.slots, self._cache, settings.pace)
        self._load: tuple[int, int, float] = (0, 0, 0)
        self._scope = trio.CancelScope()
        self._handlers_by_route: dict[tuple[str, str], _RequestHandler] = {
            ('POST', '/v1/chat/completions'): self._chat,
            ('GET', '/v1/models'): self._models,
            ('GET', '/v1/requests'): self._list_requests,
            ('GET', '/v1/load'): self._show_load,
            ('GET', '/v1/state'): self._show_state,
            ('GET', '/v1/cache-events'): self._cache_events,
            ('POST', '/v1/orders'): self._order,
            ('POST', '/admin/faults'): self._admin_faults,
            ('GET', '/admin/records'): self._admin_records,
        }
        self._handlers_by_prefix: dict[tuple[str, str], _RequestHandler] = {
            ('DELETE', _REQUESTS): self._cancel,
            ('GET', _KV): self._export,
            ('PUT', _KV): self._import,
        }

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """
        Listen and run the batch.

        :param nursery: nursery of the connection and batch tasks.
        :param host: IP address to bind.
        :param port: port, or 0 for any free port.
        """
        await super().start(nursery, host, port)
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop immediately: end generations and abort connections."""
        self._scope.cancel()
        await super().close()

    def set_faults(self, **changes: Any) -> None:
        """
        Update active faults.

        :param changes: new values of fields of
            :class:`~standins.server_faults.FaultsBody`.
        """
        self.fault_injector.change(**changes)
        self._batch.pace = (
            self._settings.pace * self.fault_injector.faults.slow_factor
        )

    def leave(self) -> None:
        """Reject new requests; running generations continue."""
        self.orders.leaving = True

    def records(self) -> list[dict[str, Any]]:
        """
        Return the records of all generations.

        :returns: the records, in order of arrival.
        """
        return [gen.record() for gen in self.generations_by_id.values()]

    async def _run(self) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._batch.run)
                nursery.start_soon(self._report_load)

    async def _report_load(self) -> None:
        while True:
            batch = self._batch
            self._load = (batch.running, batch.waiting, trio.current_time())
            await trio.sleep(self._settings.load_lag_s)

    async def _serve(self, call: Call) -> None:
        self.fault_injector.track_connection(call)
        if self.fault_injector.faults.fail and not call.path.startswith(
            '/admin/'
        ):
            await respond_error(call, 500, 'engine_failed', 'injected fault')
            return
        try:
            await self._find_handler(call)(call)
        except _INVALID_REQUEST_ERRORS as error:
            await respond_error(call, 400, 'bad_call', str(error))

    def _find_handler(self, call: Call) -> _RequestHandler:
        for (method, prefix), handler in self._handlers_by_prefix.items():
            if call.method == method and call.path.startswith(prefix):
                return handler
        return self._handlers_by_route.get(
            (call.method, call.path), self._not_found
        )

    async def _chat(self, call: Call) -> None:
        chat = parse_chat(call.body)
        headers = call.headers_by_name
        call.request_id = headers.get('x-request-id') or call.request_id
        generation = self.generations_by_id.get(call.request_id)
        if generation is None:
            refusal = self._refusal(chat)
            if refusal:
                await self.fault_injector.apply_to_response(call)
                await respond_error(
                    call, *refusal, 'the generation was not started'
                )
                return
            generation = self._submit(call, chat)
        generation.attached += 1
        if chat.stream:
            first = int(headers.get('x-resume-from', '0'))
            await respond_stream(call, self.fault_injector, generation, first)
        else:
            await respond_completion(call, self.fault_injector, generation)

    def _refusal(self, chat: ChatRequest) -> tuple[int, str] | None:
        if self.orders.leaving:
            return 503, 'draining'
        if chat.model not in self.orders.models:
            return 404, 'model_not_found'
        return None

    def _submit(self, call: Call, chat: ChatRequest) -> Generation:
        headers = call.headers_by_name
        cap = int(headers.get('x-max-tokens', chat.max_tokens))
        length = min(chat.uncapped_words, chat.max_tokens, cap)
        if length < 1:
            raise InvalidChatRequest(
                'the limit on completion tokens is below 1'
            )
        spec = GenerationSpec(
            call.request_id,
            headers.get('x-payer', ''),
            int(headers.get('x-priority', _NORMAL_PRIORITY)),
            chat,
            chat.uncapped_words
            if self.fault_injector.faults.ignore_cap
            else length,
            headers.get('x-prefix-hash', ''),
        )
        generation = Generation(spec)
        self.generations_by_id[call.request_id] = generation
        self._batch.submit(generation)
        return generation

    async def _models(self, call: Call) -> None:
        listed = [
            {'id': name, 'object': 'model'} for name in self.orders.models
        ]
        await self._respond(call, {'object': 'list', 'data': listed})

    async def _list_requests(self, call: Call) -> None:
        prefix = call.query_by_name.get('payer', '')
        await self._respond(
            call,
            {
                'requests': [
                    record
                    for record in self.records()
                    if record['payer'].startswith(prefix)
                ],
            },
        )

    async def _cancel(self, call: Call) -> None:
        request_id = call.path.removeprefix(_REQUESTS)
        generation = self.generations_by_id.get(request_id)
        if generation is None:
            await self._not_found(call)
            return
        self._batch.cancel(generation)
        await self._respond(call, generation.record())

    async def _show_load(self, call: Call) -> None:
        running, waiting, measured_at = self._load
        age_ms = round((trio.current_time() - measured_at) * 1000)
        load = {
            'running': running,
            'waiting': waiting,
            'slots': self._settings.slots,
            'measured_at_ms': round(time.time() * 1000) - age_ms,
            'age_ms': age_ms,
        }
        await self._respond(call, load)

    async def _show_state(self, call: Call) -> None:
        await self._respond(call, self.orders.state())

    async def _cache_events(self, call: Call) -> None:
        after = int(call.query_by_name.get('after', '0'))
        events = [event._asdict() for event in self._events.after(after)]
        await self._respond(call, {'events': events})

    async def _order(self, call: Call) -> None:
        try:
            order = msgspec.json.decode(call.body, type=OrderBody)
            await self.orders.carry_out(order, self._batch.pace)
        except OrderRefused as error:
            await self.fault_injector.apply_to_response(call)
            await respond_error(call, 409, error.code, str(error))
            return
        await self._respond(call, self.orders.state())

    async def _export(self, call: Call) -> None:
        blocks = self._cache.blocks(call.path.removeprefix(_KV))
        if not blocks:
            await self._not_found(call)
            return
        await self.fault_injector.apply_to_response(call)
        await call.respond(200, msgspec.msgpack.encode(blocks), _BINARY)

    async def _import(self, call: Call) -> None:
        blocks = msgspec.msgpack.decode(call.body, type=tuple[str, ...])
        self._cache.store(call.path.removeprefix(_KV), blocks)
        await self._respond(call, {'blocks': len(blocks)})

    async def _respond(self, call: Call, content: object) -> None:
        await self.fault_injector.apply_to_response(call)
        await respond_json(call, content)

    async def _not_found(self, call: Call) -> None:
        await self.fault_injector.apply_to_response(call)
        await respond_error(
            call, 404, 'not_found', f'no resource at {call.path}'
        )

    async def _admin_faults(self, call: Call) -> None:
        self.set_faults(**admin_fields(call.body, FaultsBody))
        await respond_json(call, {})

    async def _admin_records(self, call: Call) -> None:
        records = {
            'requests': self.records(),
            'orders': self.orders.carried_out,
            'state': self.orders.state(),
        }
        await respond_json(call, records)


def run(signals: ProcessSignals) -> int:
    """
    Run an engine until it is stopped.

    :param signals: signals received by this process.
    :returns: exit code.
    """
    parser = argparse.ArgumentParser(description='Stand-in for an engine.')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--model', required=True)
    parser.add_argument('--checks-fencing', action='store_true')
    for field in ('slots', 'cache_blocks', 'load_lag_s', 'seed', 'pace'):
        default = EngineSettings._field_defaults[field]
        option = field.replace('_', '-')
        parser.add_argument(f'--{option}', type=type(default), default=default)
    options = parser.parse_args(sys.argv[2:])
    settings = EngineSettings(
        *[getattr(options, name) for name in EngineSettings._fields]
    )
    return serve_until_stopped(
        EngineStandin(settings), options.host, options.port, signals
    )
