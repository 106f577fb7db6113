"""
eelgrassfork.lease_keeper
~~~~~~~~~~~~~~~~~~~~~~~~~

Holds one lease as long as it can be renewed, and runs work only meanwhile.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final

import logbook
import trio

from .leases import Lease, LeaseError, Leases

__all__ = ('LeaseKeeper',)

_log = logbook.Logger('leases')

_RENEWALS_PER_LEASE: Final = 3
_TRIES_PER_LEASE: Final = 10
_RELEASE_S: Final = 1.0


class LeaseKeeper:
    """
    Contends for a lease, renews it, and works under it.

    The work is cancelled at once when the lease is lost, and on this
    process's own clock when it can't be renewed in time.

    :param leases: leases at the platform.
    :param name: name of the lease.
    :param duration_s: how long a lease lasts without renewal, in seconds.
    :param bundle_version: query for the bundle by which the work acts.
    """

    def __init__(
        self,
        leases: Leases,
        name: str,
        duration_s: float,
        bundle_version: Callable[[], int],
    ) -> None:
        self._leases = leases
        self._name = name
        self._duration_s = duration_s
        self._bundle_version = bundle_version
        self._lease: Lease | None = None
        self._scope = trio.CancelScope()
        self._problem = ''

    @property
    def lease(self) -> Lease | None:
        """The lease, or ``None`` while it is not held."""
        lease = self._lease
        if lease is None or trio.current_time() >= lease.valid_until:
            return None
        return lease

    async def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """
        Hold the lease whenever it can be had, until cancelled.

        :param work: started each time the lease is acquired; runs until it
            is cancelled.
        """
        try:
            while True:
                await self._acquire()
                await self._work_under_lease(work)
                await trio.sleep(self._try_s)
        finally:
            await self._release()

    def reacquire(self) -> None:
        """Stop the work; the lease is acquired again with a new number."""
        self._scope.cancel()

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: the lease held, and why it last was not.
        """
        lease = self.lease
        return {
            'held': lease is not None,
            'fencing_number': lease.fencing_number if lease else None,
            'bundle_version': lease.bundle_version if lease else None,
            'last_problem': self._problem,
        }

    @property
    def _try_s(self) -> float:
        return self._duration_s / _TRIES_PER_LEASE

    async def _acquire(self) -> None:
        while True:
            try:
                self._lease = await self._leases.acquire(
                    self._name, self._bundle_version()
                )
            except LeaseError as error:
                self._problem = error.message
                await trio.sleep(self._try_s)
                continue
            _log.info(
                'leases: {} acquired with number {}',
                self._name,
                self._lease.fencing_number,
            )
            return

    async def _work_under_lease(
        self, work: Callable[[], Awaitable[None]]
    ) -> None:
        assert self._lease is not None
        self._scope = trio.CancelScope(deadline=self._lease.valid_until)
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._renew_forever, self._lease)
                await work()
        _log.warning('leases: {} is no longer held', self._name)
        self._lease = None

    async def _renew_forever(self, lease: Lease) -> None:
        renewed_at = trio.current_time()
        while True:
            await trio.sleep(self._try_s)
            age_s = trio.current_time() - renewed_at
            is_due = age_s >= self._duration_s / _RENEWALS_PER_LEASE
            if not is_due and self._bundle_version() <= lease.bundle_version:
                continue
            try:
                lease = await self._leases.renew(lease, self._bundle_version())
            except LeaseError as error:
                self._problem = error.message
                if error.code == 'lease_lost':
                    self._scope.cancel()
                continue
            renewed_at = trio.current_time()
            self._lease = lease
            self._scope.deadline = lease.valid_until

    async def _release(self) -> None:
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        with trio.move_on_after(_RELEASE_S, shield=True):
            try:
                await self._leases.release(lease)
            except LeaseError as error:
                _log.info('leases: {} is left to lapse: {}', lease.name, error)
