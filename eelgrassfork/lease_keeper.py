"""
eelgrassfork.lease_keeper
~~~~~~~~~~~~~~~~~~~~~~~~~

Acquires and renews one lease, and runs work only while it is held.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final

import logbook
import trio

from .leases import Lease, LeaseError, Leases

__all__ = ('LeaseKeeper',)

_log = logbook.Logger('leases')

_RENEWALS_PER_LEASE: Final = 3
_ATTEMPTS_PER_LEASE: Final = 10
_RELEASE_TIMEOUT_S: Final = 1.0


class LeaseKeeper:
    """
    Contends for a lease, renews it, and runs work while it is held.

    The work is cancelled immediately when the lease is lost, and at the
    expiry time on the local clock when it can't be renewed.

    :param leases: client for leases at the platform.
    :param name: name of the lease.
    :param duration_s: lease duration without renewal, in seconds.
    :param bundle_version: returns the bundle version that the work uses.
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
        self._last_error = ''

    @property
    def lease(self) -> Lease | None:
        """The current lease, or ``None`` while it is not held."""
        lease = self._lease
        if lease is None or trio.current_time() >= lease.valid_until:
            return None
        return lease

    async def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """
        Contend for the lease and run work under it until cancelled.

        :param work: started each time the lease is acquired; it is expected
            to run until cancelled.
        """
        try:
            while True:
                await self._acquire()
                await self._work_under_lease(work)
                await trio.sleep(self._poll_interval_s)
        finally:
            await self._release()

    def reacquire(self) -> None:
        """Cancel the work and acquire the lease with a new fencing number."""
        self._scope.cancel()

    def dump(self) -> dict[str, Any]:
        """
        Describe the state for operators.

        :returns: the current lease and the last error.
        """
        lease = self.lease
        return {
            'held': lease is not None,
            'fencing_number': lease.fencing_number if lease else None,
            'bundle_version': lease.bundle_version if lease else None,
            'last_problem': self._last_error,
        }

    @property
    def _poll_interval_s(self) -> float:
        return self._duration_s / _ATTEMPTS_PER_LEASE

    async def _acquire(self) -> None:
        while True:
            try:
                self._lease = await self._leases.acquire(
                    self._name, self._bundle_version()
                )
            except LeaseError as error:
                self._last_error = error.message
                await trio.sleep(self._poll_interval_s)
                continue
            _log.info(
                'leases: acquired lease {} with fencing number {}',
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
                nursery.start_soon(self._renew_periodically, self._lease)
                await work()
        _log.warning('leases: lease {} is no longer held', self._name)
        self._lease = None

    async def _renew_periodically(self, lease: Lease) -> None:
        renewed_at = trio.current_time()
        while True:
            await trio.sleep(self._poll_interval_s)
            age_s = trio.current_time() - renewed_at
            is_due = age_s >= self._duration_s / _RENEWALS_PER_LEASE
            if not is_due and self._bundle_version() <= lease.bundle_version:
                continue
            try:
                lease = await self._leases.renew(lease, self._bundle_version())
            except LeaseError as error:
                self._last_error = error.message
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
        with trio.move_on_after(_RELEASE_TIMEOUT_S, shield=True):
            try:
                await self._leases.release(lease)
            except LeaseError as error:
                _log.info(
                    'leases: lease {} was not released and will expire: {}',
                    lease.name,
                    error,
                )
