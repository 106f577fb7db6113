"""
standins.fake_platform
~~~~~~~~~~~~~~~~~~~~~~

Platform client backed by an in-memory platform instead of a network.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

import trio

from eelgrassfork.platform_client import PlatformClient
from eelgrassfork.platform_types import (
    AnswerLost,
    PlatformError,
    PlatformRefused,
    PlatformUnavailable,
    StoredObject,
    WatchResult,
)
from eelgrassfork.vm_list import VmList, VmRecord

from .platform_core import PlatformCore

__all__ = ('FakePlatform',)

_Result = TypeVar('_Result')


class FakePlatform(PlatformClient):
    """
    In-memory platform for tests, on a real or mock clock.

    A write whose caller times out still takes effect after its delay, as it
    does over a network.

    :param core: state of the platform; a new one if ``None``.
    :param client: client name, as used by the ``cut`` fault.
    :param timeout_s: time-out of a call in seconds; a watch may take this
        much longer than its wait.
    """

    def __init__(
        self,
        core: PlatformCore | None = None,
        client: str = '',
        timeout_s: float = 2,
    ) -> None:
        self.core = core or PlatformCore()
        self._client = client
        self._timeout_s = timeout_s

    def for_client(self, name: str) -> 'FakePlatform':
        """
        Create another client of the same platform.

        :param name: client name, as used by the ``cut`` fault.
        :returns: the client.
        """
        return FakePlatform(self.core, name, self._timeout_s)

    def set_faults(self, **changes: Any) -> None:
        """
        Update active faults of the platform, for all its clients.

        :param changes: new values of fields of
            :class:`~standins.platform_core.Faults`.
        """
        self.core.change_faults(**changes)

    def set_vms(self, *vms: VmRecord) -> None:
        """
        Replace the VM list at the next revision.

        :param vms: all VMs.
        """
        self.core.vm_lists.replace(vms)

    async def get(self, key: str) -> StoredObject | None:
        """See :meth:`PlatformClient.get`."""
        return await self._bounded_read(
            'get', lambda: self.core.objects.get(key)
        )

    async def put(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """See :meth:`PlatformClient.put`."""
        return await self._detached_write(
            'put', lambda: self.core.objects.put(key, body, expected_version)
        )

    async def delete(self, key: str, expected_version: int) -> None:
        """See :meth:`PlatformClient.delete`."""
        await self._detached_write(
            'delete', lambda: self.core.objects.delete(key, expected_version)
        )

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """See :meth:`PlatformClient.list_objects`."""
        return await self._bounded_read(
            'list', lambda: self.core.objects.list_objects(prefix)
        )

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> WatchResult:
        """See :meth:`PlatformClient.watch`."""
        with trio.move_on_after(wait_s + self._timeout_s):
            return await self.core.watch(
                self._client, prefix, after_revision, wait_s
            )
        raise PlatformUnavailable('platform_slow', f'watch of {prefix!r}')

    async def vms(self) -> VmList:
        """See :meth:`PlatformClient.vms`."""
        return await self._bounded_read('vms', self.core.vm_lists.visible)

    async def weight(self, name: str) -> bytes:
        """See :meth:`PlatformClient.weight`."""
        weight = await self._bounded_read(
            'weight', lambda: self.core.weights_by_name.get(name)
        )
        if weight is None:
            raise PlatformRefused('platform_refused', f'no weight {name!r}')
        return weight

    async def _bounded_read(
        self, kind: str, query: Callable[[], _Result]
    ) -> _Result:
        with trio.move_on_after(self._timeout_s):
            return await self.core.read(self._client, kind, query)
        raise PlatformUnavailable('platform_slow', f'{kind}: no answer in time')

    async def _detached_write(
        self, kind: str, change: Callable[[], _Result]
    ) -> _Result:
        write = _DetachedWrite(
            lambda: self.core.write(self._client, kind, change)
        )
        trio.lowlevel.spawn_system_task(write.run)
        with trio.move_on_after(self._timeout_s):
            await write.done.wait()
            return write.result()
        raise AnswerLost('platform_slow', f'{kind}: no answer in time')


class _DetachedWrite(Generic[_Result]):
    def __init__(self, write: Callable[[], Awaitable[_Result]]) -> None:
        self.done = trio.Event()
        self._write = write
        self._results: list[_Result] = []
        self._error: PlatformError | None = None

    async def run(self) -> None:
        try:
            self._results.append(await self._write())
        except PlatformError as error:
            self._error = error
        self.done.set()

    def result(self) -> _Result:
        if self._error is not None:
            raise self._error
        return self._results[0]
