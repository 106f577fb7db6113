"""
eelgrassfork.platform_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's object API, VM list and weight store.
"""

from http import HTTPStatus
from typing import Final, NamedTuple, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import trio

from .http_client import (
    ClientRequest,
    ClientTimeouts,
    HttpClient,
    HttpClientError,
)
from .platform_types import (
    AnswerLost,
    Conflict,
    PlatformError,
    PlatformRefused,
    PlatformUnavailable,
    StoredObject,
    WatchResult,
    bad_answer,
    parse_vms,
)
from .vm_list import VmList

__all__ = (
    'AnswerLost',
    'Conflict',
    'PlatformClient',
    'PlatformError',
    'PlatformRefused',
    'PlatformUnavailable',
    'StoredObject',
    'WatchResult',
)

_Decoded = TypeVar('_Decoded')

_UNAVAILABLE: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
_SERVER_ERROR: Final = 500


class _Answer(NamedTuple):
    status: int
    version: int | None
    body: bytes


class PlatformClient:
    """
    Calls the platform; every call is bounded in time.

    Reads raise only :class:`PlatformUnavailable` or
    :class:`PlatformRefused`, since they have no effect.

    :param http: connections.
    :param address: ``ip:port`` of the platform.
    :param timeout_s: bound on a call in seconds; on a watch, on what goes
        beyond its wait.
    :param client: name sent in ``X-Client``; empty for none.
    """

    def __init__(
        self,
        http: HttpClient,
        address: str,
        timeout_s: float,
        client: str = '',
    ) -> None:
        self._http = http
        self._address = address
        self._timeout_s = timeout_s
        self._headers = (('x-client', client),) if client else ()

    async def get(self, key: str) -> StoredObject | None:
        """
        Read an object.

        :param key: its key.
        :returns: the object, or ``None`` if the key does not exist.
        :raises PlatformError: if there is no answer.
        """
        answer = await self._read(_object_target(key))
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        body = _checked_read(answer)
        if answer.version is None:
            raise bad_answer(f'object {key!r} has no version')
        return StoredObject(key, answer.version, body)

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """
        Write an object by conditional update, sent once.

        :param key: its key.
        :param body: its new content.
        :param expected_version: version to replace; ``None`` if the key
            must not exist.
        :returns: the new version.
        :raises Conflict: if the object is at another version.
        :raises AnswerLost: if it is unknown whether the write took effect.
        :raises PlatformError: if nothing took effect.
        """
        condition = ('if-none-match', '*')
        if expected_version is not None:
            condition = ('if-match', f'"{expected_version}"')
        request = ClientRequest(
            self._address, 'PUT', _object_target(key), (condition,), body
        )
        answer = await self._write(key, request)
        if answer.version is None:
            raise AnswerLost('bad_answer', f'write of {key!r}: no version')
        return answer.version

    async def delete(self, key: str, expected_version: int) -> None:
        """
        Delete an object by conditional update, sent once.

        :param key: its key.
        :param expected_version: version to delete.
        :raises Conflict: if the object is at another version.
        :raises AnswerLost: if it is unknown whether it was deleted.
        :raises PlatformError: if nothing took effect.
        """
        condition = ('if-match', f'"{expected_version}"')
        request = ClientRequest(
            self._address, 'DELETE', _object_target(key), (condition,)
        )
        await self._write(key, request)

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """
        Read all objects whose keys have a prefix.

        :param prefix: beginning of the keys.
        :returns: the objects in order of their keys.
        :raises PlatformError: if there is no answer.
        """
        query = urlencode({'prefix': prefix})
        answer = await self._read(f'/v1/objects?{query}')
        return _decoded(_checked_read(answer), list[StoredObject])

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> WatchResult:
        """
        Wait until an object with a prefix changes.

        :param prefix: beginning of the keys.
        :param after_revision: revision of the last result, or 0.
        :param wait_s: longest wait for a change in seconds.
        :returns: the changed objects, none if the wait ran out; a deleted
            one has version 0.
        :raises PlatformError: if there is no answer.
        """
        query = urlencode(
            {
                'prefix': prefix,
                'after': after_revision,
                'wait_ms': round(wait_s * 1000),
            },
        )
        answer = await self._read(f'/v1/watch?{query}', wait_s)
        return _decoded(_checked_read(answer), WatchResult)

    async def vms(self) -> VmList:
        """
        Read the list of live and leaving VMs, which lags.

        :returns: the list as the platform shows it now.
        :raises PlatformError: if there is no answer.
        """
        return parse_vms(_checked_read(await self._read('/v1/vms')))

    async def weight(self, name: str) -> bytes:
        """
        Read a weight file; the store limits how often.

        :param name: name of the file.
        :returns: its content.
        :raises PlatformError: if there is no answer or no such file.
        """
        return _checked_read(await self._read(f'/v1/weights/{quote(name)}'))

    async def _read(self, target: str, wait_s: float = 0) -> _Answer:
        request = ClientRequest(self._address, 'GET', target)
        try:
            answer = await self._exchange(request, self._timeout_s + wait_s)
        except HttpClientError as error:
            raise PlatformUnavailable(
                'platform_unreachable', f'read of {target}: {error.message}'
            ) from None
        if answer is None:
            raise PlatformUnavailable(
                'platform_slow', f'read of {target}: no answer in time'
            )
        return answer

    async def _write(self, key: str, request: ClientRequest) -> _Answer:
        fresh = request._replace(fresh=True)
        try:
            answer = await self._exchange(fresh, self._timeout_s)
        except HttpClientError as error:
            kind = AnswerLost if error.sent else PlatformUnavailable
            raise kind(
                'platform_unreachable', f'write of {key!r}: {error.message}'
            ) from None
        if answer is None:
            raise AnswerLost('platform_slow', f'write of {key!r}: no answer')
        if answer.status != HTTPStatus.OK:
            raise _write_error(key, answer)
        return answer

    async def _exchange(
        self, request: ClientRequest, bound_s: float
    ) -> _Answer | None:
        # Connecting is bounded below the whole call, so that a call that
        # runs out of time has been sent.
        bounds = ClientTimeouts(self._timeout_s / 2, bound_s, bound_s)
        headers = (*self._headers, *request.headers)
        with trio.move_on_after(bound_s):
            response, body = await self._http.fetch(
                request._replace(headers=headers), bounds
            )
            version = _version(response.headers_by_name.get('etag', ''))
            return _Answer(response.status, version, body)
        # Other idle connections may have gone silent with this one.
        await self._http.close_idle(self._address)
        return None


def _object_target(key: str) -> str:
    return f'/v1/objects/{quote(key)}'


def _version(etag: str) -> int | None:
    text = etag.strip('"')
    return int(text) if text.isdecimal() else None


def _checked_read(answer: _Answer) -> bytes:
    if answer.status == HTTPStatus.OK:
        return answer.body
    message = f'the platform answered {answer.status}'
    if answer.status in _UNAVAILABLE or answer.status >= _SERVER_ERROR:
        raise PlatformUnavailable('platform_unavailable', message)
    raise PlatformRefused('platform_refused', message)


def _write_error(key: str, answer: _Answer) -> PlatformError:
    status = answer.status
    message = f'write of {key!r}: the platform answered {status}'
    if status == HTTPStatus.PRECONDITION_FAILED:
        return Conflict(key, answer.version)
    if status in _UNAVAILABLE:
        return PlatformUnavailable('platform_unavailable', message)
    if status >= _SERVER_ERROR:
        return AnswerLost('platform_failed', message)
    return PlatformRefused('platform_refused', message)


def _decoded(body: bytes, kind: type[_Decoded]) -> _Decoded:
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise bad_answer(str(error)) from None
