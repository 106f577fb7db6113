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

_NO_EFFECT_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
_FIRST_SERVER_ERROR: Final = 500


class _Response(NamedTuple):
    status: int
    version: int | None
    body: bytes


class PlatformClient:
    """
    Client of the platform; every call has a time-out.

    Reads raise only :class:`PlatformUnavailable` or
    :class:`PlatformRefused`, since they have no effect.

    :param http: HTTP client.
    :param address: ``ip:port`` of the platform.
    :param timeout_s: time-out of a call in seconds; a watch may take this
        much longer than its wait.
    :param client: client name sent in ``X-Client``; empty for none.
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

        :param key: key of the object.
        :returns: the object, or ``None`` if the key does not exist.
        :raises PlatformError: if the read failed.
        """
        response = await self._read(_object_target(key))
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        body = _read_body(response)
        if response.version is None:
            raise bad_answer(
                f'read of object {key!r}: the response has no version'
            )
        return StoredObject(key, response.version, body)

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """
        Write an object by conditional update, without retries.

        :param key: key of the object.
        :param body: new content.
        :param expected_version: version to replace; ``None`` if the key
            must not exist.
        :returns: the new version.
        :raises Conflict: if the object is at another version.
        :raises AnswerLost: if it is unknown whether the write took effect.
        :raises PlatformError: if the write had no effect.
        """
        condition = ('if-none-match', '*')
        if expected_version is not None:
            condition = ('if-match', f'"{expected_version}"')
        request = ClientRequest(
            self._address, 'PUT', _object_target(key), (condition,), body
        )
        response = await self._write(key, request)
        if response.version is None:
            raise AnswerLost(
                'bad_answer', f'write of {key!r}: the response has no version'
            )
        return response.version

    async def delete(self, key: str, expected_version: int) -> None:
        """
        Delete an object by conditional update, without retries.

        :param key: key of the object.
        :param expected_version: version to delete.
        :raises Conflict: if the object is at another version.
        :raises AnswerLost: if it is unknown whether it was deleted.
        :raises PlatformError: if the deletion had no effect.
        """
        condition = ('if-match', f'"{expected_version}"')
        request = ClientRequest(
            self._address, 'DELETE', _object_target(key), (condition,)
        )
        await self._write(key, request)

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """
        Read all objects whose keys start with a prefix.

        :param prefix: prefix of the keys.
        :returns: the objects, ordered by key.
        :raises PlatformError: if the read failed.
        """
        query = urlencode({'prefix': prefix})
        response = await self._read(f'/v1/objects?{query}')
        return _decoded(_read_body(response), list[StoredObject])

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> WatchResult:
        """
        Wait until an object whose key starts with a prefix changes.

        :param prefix: prefix of the keys.
        :param after_revision: revision of the last result, or 0.
        :param wait_s: maximum wait for a change, in seconds.
        :returns: the changed objects, none if the wait expired; a deleted
            object has version 0.
        :raises PlatformError: if the read failed.
        """
        query = urlencode(
            {
                'prefix': prefix,
                'after': after_revision,
                'wait_ms': round(wait_s * 1000),
            },
        )
        response = await self._read(f'/v1/watch?{query}', wait_s)
        return _decoded(_read_body(response), WatchResult)

    async def vms(self) -> VmList:
        """
        Read the list of live and leaving VMs, which may be out of date.

        :returns: the current list of the platform.
        :raises PlatformError: if the read failed.
        """
        return parse_vms(_read_body(await self._read('/v1/vms')))

    async def weight(self, name: str) -> bytes:
        """
        Read a weight file; the weight store limits the rate of reads.

        :param name: name of the file.
        :returns: content of the file.
        :raises PlatformError: if the read failed or the file is missing.
        """
        return _read_body(await self._read(f'/v1/weights/{quote(name)}'))

    async def _read(self, target: str, wait_s: float = 0) -> _Response:
        request = ClientRequest(self._address, 'GET', target)
        try:
            response = await self._exchange(request, self._timeout_s + wait_s)
        except HttpClientError as error:
            raise PlatformUnavailable(
                'platform_unreachable', f'read of {target}: {error.message}'
            ) from None
        if response is None:
            raise PlatformUnavailable(
                'platform_slow',
                f'read of {target}: no response before the time-out',
            )
        return response

    async def _write(self, key: str, request: ClientRequest) -> _Response:
        on_new_connection = request._replace(fresh=True)
        try:
            response = await self._exchange(on_new_connection, self._timeout_s)
        except HttpClientError as error:
            error_type = AnswerLost if error.sent else PlatformUnavailable
            raise error_type(
                'platform_unreachable', f'write of {key!r}: {error.message}'
            ) from None
        if response is None:
            raise AnswerLost(
                'platform_slow',
                f'write of {key!r}: no response before the time-out',
            )
        if response.status != HTTPStatus.OK:
            raise _write_error(key, response)
        return response

    async def _exchange(
        self, request: ClientRequest, time_limit_s: float
    ) -> _Response | None:
        # The connect time-out is shorter than that of the whole call, so a
        # call that times out as a whole has been sent.
        timeouts = ClientTimeouts(
            self._timeout_s / 2, time_limit_s, time_limit_s
        )
        headers = (*self._headers, *request.headers)
        with trio.move_on_after(time_limit_s):
            response, body = await self._http.fetch(
                request._replace(headers=headers), timeouts
            )
            version = _parse_etag(response.headers_by_name.get('etag', ''))
            return _Response(response.status, version, body)
        # Other idle connections may be dead as well.
        await self._http.close_idle(self._address)
        return None


def _object_target(key: str) -> str:
    return f'/v1/objects/{quote(key)}'


def _parse_etag(etag: str) -> int | None:
    text = etag.strip('"')
    return int(text) if text.isdecimal() else None


def _read_body(response: _Response) -> bytes:
    if response.status == HTTPStatus.OK:
        return response.body
    message = f'the platform responded with HTTP status {response.status}'
    if (
        response.status in _NO_EFFECT_STATUSES
        or response.status >= _FIRST_SERVER_ERROR
    ):
        raise PlatformUnavailable('platform_unavailable', message)
    raise PlatformRefused('platform_refused', message)


def _write_error(key: str, response: _Response) -> PlatformError:
    status = response.status
    message = (
        f'write of {key!r}: the platform responded with HTTP status {status}'
    )
    if status == HTTPStatus.PRECONDITION_FAILED:
        return Conflict(key, response.version)
    if status in _NO_EFFECT_STATUSES:
        return PlatformUnavailable('platform_unavailable', message)
    if status >= _FIRST_SERVER_ERROR:
        return AnswerLost('platform_failed', message)
    return PlatformRefused('platform_refused', message)


def _decoded(body: bytes, decoded_type: type[_Decoded]) -> _Decoded:
    try:
        return msgspec.msgpack.decode(body, type=decoded_type)
    except msgspec.DecodeError as error:
        raise bad_answer(str(error)) from None
