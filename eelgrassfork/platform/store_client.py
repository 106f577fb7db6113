"""
eelgrassfork.platform.store_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's metadata store.
"""

from collections.abc import Callable
from typing import Any, Final
from urllib.parse import quote, urlencode

import msgspec

from ..gateway.store import (
    Change,
    HistoryGone,
    Listing,
    StoreAnswerLost,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
)
from ..http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
)

__all__ = ('StoreClient',)

_OK: Final = frozenset((200, 201))
_MISSING: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
_MS_PER_S: Final = 1000
_JSON: Final = (('content-type', 'application/json'),)
_MAX_PAGES: Final = 1000
# A slow store answers in a third of a second; a silent one is given up soon
# enough to ask peers within the bound on configurations.
_TIMEOUTS: Final = ClientTimeouts(connect_s=0.5, first_byte_s=1, silence_s=1)


class _Metadata(msgspec.Struct):
    name: str = ''
    # Revision of the last change of this object, not of the store.
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Page(msgspec.Struct, rename='camel'):
    items: list[msgspec.Raw] = []
    has_more: bool = False
    # Revision of the store as of this page.
    current_rev: int = 0


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct, rename='camel'):
    events: list[_Event] = []
    current_rev: int = 0


class StoreClient:
    """
    Calls the store over pooled connections.

    :param client: HTTP client.
    :param address: ``ip:port`` of the store.
    :param on_call: told of each call, which is priced, with its outcome.
    """

    def __init__(
        self,
        client: HttpClient,
        address: str,
        on_call: Callable[[str], None],
    ) -> None:
        self._client = client
        self._address = address
        self._on_call = on_call

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """
        Read one object.

        :param kind: kind of the object.
        :param name: its name.
        :returns: the object, or ``None`` if there is none.
        :raises StoreError: if there is no answer.
        """
        status, body = await self._call('GET', _path(kind, name))
        if status == _MISSING:
            return None
        return _stored(body)

    async def list_all(self, kind: str) -> Listing:
        """
        Read all objects of a kind, page by page.

        :param kind: kind of the objects.
        :returns: the objects and the revision of the first page, from which
            a watch misses nothing.
        :raises StoreError: if there is no whole answer.
        """
        stored: list[StoredObject] = []
        first_revision = 0
        after = ''
        for _ in range(_MAX_PAGES):
            query = {'afterRevision': after} if after else {}
            _, body = await self._call('GET', _path(kind), query)
            page = _decode(body, _Page)
            first_revision = first_revision or page.current_rev
            names = [entry for entry in map(_lenient, page.items) if entry]
            stored.extend(names)
            if not page.has_more or not names:
                break
            after = names[-1].name
        return Listing(tuple(stored), first_revision)

    async def watch(
        self, kind: str, after_revision: int, wait_s: float
    ) -> tuple[list[Change], int]:
        """
        Wait for changes of a kind.

        :param kind: kind of the objects.
        :param after_revision: revision of the last listing or watch.
        :param wait_s: longest wait in seconds.
        :returns: changes, and the revision to go on from.
        :raises HistoryGone: if the kind has to be listed again.
        :raises StoreError: if there is no answer.
        """
        query = {
            'watch': str(after_revision),
            'waitMs': str(int(wait_s * _MS_PER_S)),
        }
        bounds = _TIMEOUTS._replace(
            first_byte_s=wait_s + _TIMEOUTS.first_byte_s
        )
        _, body = await self._call('GET', _path(kind), query, None, bounds)
        page = _decode(body, _Events)
        changes = [
            Change(entry, event.deleted)
            for event in page.events
            if (entry := _lenient(event.object)) is not None
        ]
        return changes, page.current_rev

    async def create(
        self, kind: str, name: str, content: object
    ) -> StoredObject:
        """
        Write an object that must not exist.

        :param kind: kind of the object.
        :param name: its name.
        :param content: anything that JSON can hold.
        :returns: the object as stored.
        :raises StoreConflict: if it exists.
        :raises StoreError: if it is not known to be written.
        """
        document = {'metadata': {'name': name}, 'spec': content}
        return await self._write('POST', _path(kind), name, document)

    async def replace(
        self, kind: str, name: str, content: object, revision: int | None
    ) -> StoredObject:
        """
        Write an object over one revision of it, or over any.

        :param kind: kind of the object.
        :param name: its name.
        :param content: anything that JSON can hold.
        :param revision: revision that it must have; ``None`` for any.
        :returns: the object as stored.
        :raises StoreConflict: if it has another revision or is missing.
        :raises StoreError: if it is not known to be written.
        """
        metadata: dict[str, Any] = {'name': name}
        if revision is not None:
            metadata['revision'] = revision
        document = {'metadata': metadata, 'spec': content}
        return await self._write('PUT', _path(kind, name), name, document)

    async def _write(
        self, method: str, path: str, name: str, document: dict[str, Any]
    ) -> StoredObject:
        body = msgspec.json.encode(document)
        status, answer = await self._call(method, path, {}, body)
        if status in _OK:
            return _stored(answer)
        if status == _CONFLICT:
            raise StoreConflict(name, _lenient(msgspec.Raw(answer)))
        if status == _MISSING:
            raise StoreConflict(name, None)
        raise StoreUnavailable('store_refused', f'{path}: HTTP {status}')

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        bounds: ClientTimeouts = _TIMEOUTS,
    ) -> tuple[int, bytes]:
        request = ClientRequest(
            self._address,
            method,
            f'{path}?{urlencode(query)}' if query else path,
            _JSON if body else (),
            body or b'',
            no_resend=body is not None,
        )
        try:
            response, answer = await self._client.fetch(request, bounds)
        except HttpClientError as error:
            self._on_call(error.code)
            if error.sent:
                raise StoreAnswerLost(error.code, error.message) from None
            raise StoreUnavailable(error.code, error.message) from None
        self._on_call(str(response.status))
        _check_status(path, response.status, body is None)
        return response.status, answer


def _check_status(path: str, status: int, is_read: bool) -> None:
    known = {_MISSING} if is_read else {_MISSING, _CONFLICT}
    if status == _GONE:
        raise HistoryGone('history_gone', f'{path}: its history is gone')
    if status not in _OK and status not in known:
        raise StoreUnavailable('store_refused', f'{path}: HTTP {status}')


def _path(kind: str, name: str = '') -> str:
    path = f'/objects/{quote(kind)}'
    return f'{path}/{quote(name)}' if name else path


def _decode(body: bytes, form: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=form)
    except msgspec.DecodeError as error:
        raise StoreAnswerLost('bad_answer', str(error)) from None


def _stored(body: bytes) -> StoredObject:
    entry = _lenient(msgspec.Raw(body))
    if entry is None:
        raise StoreAnswerLost('bad_answer', 'the answer holds no object')
    return entry


def _lenient(raw: msgspec.Raw) -> StoredObject | None:
    # One object that can't be read must not hide the others of its page.
    try:
        wire = msgspec.json.decode(raw, type=_Object)
    except msgspec.DecodeError:
        return None
    return StoredObject(
        wire.metadata.name, wire.metadata.revision, bytes(wire.spec)
    )
