"""
standins.metadata_store
~~~~~~~~~~~~~~~~~~~~~~~

Stand-in for the users' metadata store, with its published HTTP API.
"""

import copy
from typing import Any, NamedTuple

import msgspec
import trio

from eelgrassfork.http_server import Call

from .serving import HttpStandin

__all__ = ('MetadataStore', 'StoreCopy', 'StoreFaults')

_PAGE = 500
_MS = 1000
_Event = tuple[int, str, dict[str, Any]]
_JSON = (('content-type', 'application/json'),)


class StoreFaults(NamedTuple):
    """
    Active faults of the metadata store.

    :param refuse: error status of every response, 0 for none.
    :param lose: number of next writes that take effect but whose response is
        lost.
    :param silent: requests are accepted but never answered.
    :param torn: every list contains a malformed entry.
    """

    refuse: int = 0
    lose: int = 0
    silent: bool = False
    torn: bool = False


class StoreCopy(NamedTuple):
    """State of the metadata store at one moment."""

    objects_by_key: dict[tuple[str, str], dict[str, Any]]
    revision: int


class MetadataStore(HttpStandin):
    """
    Objects by kind and name, with revisions and watches.

    :param page: maximum number of objects in one response.
    :ivar era: number of the era, which each answer names.
    """

    def __init__(self, page: int = _PAGE) -> None:
        super().__init__(self._serve)
        self._page = page
        self._objects_by_key: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[_Event] = []
        self._compacted_revision = 0
        self._changed = trio.Event()
        self.revision = 1
        self.era = 1
        self.faults = StoreFaults()
        self.calls: list[str] = []

    def put(self, kind: str, name: str, spec: object) -> int:
        """
        Write an object unconditionally.

        :param kind: kind of the object.
        :param name: name of the object.
        :param spec: content of the object.
        :returns: revision of the object.
        """
        self.revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'createdRev': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects_by_key[kind, name] = stored
        self._record(kind, {'object': stored, 'deleted': False})
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """
        Remove an object.

        :param kind: kind of the object.
        :param name: name of the object.
        """
        stored = self._objects_by_key.pop((kind, name))
        self.revision += 1
        self._record(kind, {'object': stored, 'deleted': True})

    def copy_state(self) -> StoreCopy:
        """
        Copy the present state.

        :returns: a copy that :meth:`restore` accepts.
        """
        return StoreCopy(copy.deepcopy(self._objects_by_key), self.revision)

    def restore(self, state: StoreCopy) -> None:
        """
        Return to an earlier state and begin the next era.

        Watches that are waiting are answered with 410.

        :param state: state to return to.
        """
        self._objects_by_key = copy.deepcopy(state.objects_by_key)
        self.revision = state.revision
        self._compacted_revision = state.revision
        self._events.clear()
        self.era += 1
        self._changed.set()
        self._changed = trio.Event()

    def compact(self) -> None:
        """Discard the event history, so that older watches get 410."""
        self._compacted_revision = self.revision
        self._events.clear()

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = trio.Event()

    async def _serve(self, call: Call) -> None:
        self.calls.append(f'{call.method} {call.target}')
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.refuse:
            await self._respond(call, self.faults.refuse, {})
            return
        _, _, kind, *path_parts = call.path.split('/')
        if call.method == 'GET':
            await self._read(call, kind, path_parts)
        else:
            await self._write(call, kind, path_parts)

    async def _read(self, call: Call, kind: str, path_parts: list[str]) -> None:
        if path_parts:
            stored = self._objects_by_key.get((kind, path_parts[0]))
            await self._respond(call, 200 if stored else 404, stored or {})
        elif 'watch' in call.query_by_name:
            await self._watch(call, kind)
        else:
            await self._respond(call, 200, self._list(call, kind))

    def _list(self, call: Call, kind: str) -> dict[str, Any]:
        after = call.query_by_name.get('afterRevision', '')
        names = sorted(
            name
            for object_kind, name in self._objects_by_key
            if object_kind == kind and name > after
        )
        items: list[Any] = [
            self._objects_by_key[kind, name] for name in names[: self._page]
        ]
        if self.faults.torn:
            items.insert(0, {'metadata': 7})
        return {
            'items': items,
            'hasMore': len(names) > self._page,
            'currentRev': self.revision,
        }

    async def _watch(self, call: Call, kind: str) -> None:
        after = int(call.query_by_name['watch'])
        if not self._compacted_revision <= after <= self.revision:
            await self._respond(call, 410, {})
            return
        era = self.era
        with trio.move_on_after(int(call.query_by_name['waitMs']) / _MS):
            while era == self.era and not self._events_since(kind, after):
                await self._changed.wait()
        if era != self.era:
            await self._respond(call, 410, {})
            return
        events = self._events_since(kind, after)
        await self._respond(
            call, 200, {'events': events, 'currentRev': self.revision}
        )

    def _events_since(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, object_kind, event in self._events
            if object_kind == kind and revision > after
        ]

    async def _write(
        self, call: Call, kind: str, path_parts: list[str]
    ) -> None:
        body = msgspec.json.decode(call.body)
        name = path_parts[0] if path_parts else body['metadata']['name']
        current = self._objects_by_key.get((kind, name))
        expected_revision = body['metadata'].get('revision')
        if call.method == 'POST':
            status = 409 if current else 201
        elif current is None:
            status = 404
        else:
            current_revision = current['metadata']['revision']
            status = (
                200 if expected_revision in {None, current_revision} else 409
            )
        if status < 300:
            self.put(kind, name, body['spec'])
            current = self._objects_by_key[kind, name]
        if self.faults.lose:
            self.faults = self.faults._replace(lose=self.faults.lose - 1)
            await call.abort()
            return
        await self._respond(call, status, current or {})

    async def _respond(self, call: Call, status: int, content: object) -> None:
        era = ('store-era', str(self.era))
        body = msgspec.json.encode(content)
        await call.respond(status, body, (*_JSON, era))
