"""
eelgrassfork.leases
~~~~~~~~~~~~~~~~~~~

Leases with fencing numbers at the platform, for orders to engines.
"""

from typing import Final, NamedTuple

import msgspec
import trio

from .errors import EelgrassError
from .platform_client import (
    AnswerLost,
    Conflict,
    PlatformClient,
    PlatformError,
    StoredObject,
)

__all__ = ('Lease', 'LeaseError', 'Leases')

_PREFIX: Final = 'leases/'
# Clocks of two VMs may run apart a little; a contender waits longer than
# the holder trusts its lease.
_CONTENDER_FACTOR: Final = 1.5


class LeaseError(EelgrassError):
    """
    A lease is not held.

    :param code: ``lease_held`` by another holder, ``lease_lost`` to
        another, ``lease_ahead`` if the last holder had a newer bundle, or
        ``lease_unreachable`` if the platform can't tell.
    """


class Lease(NamedTuple):
    """
    A lease held by this process.

    :param fencing_number: higher than that of every earlier acquisition.
    :param version: version of the object at the platform.
    :param valid_until: time on the clock of trio when it lapses.
    :param bundle_version: newest bundle by which its holders have acted.
    """

    name: str
    fencing_number: int
    version: int
    valid_until: float
    bundle_version: int = 0


class _LeaseBody(msgspec.Struct):
    holder: str
    fencing_number: int
    renewals: int = 0
    released: bool = False
    bundle_version: int = 0


class _Sighting(NamedTuple):
    version: int
    seen_at: float


class Leases:
    """
    Acquires and renews leases for one holder.

    No wall clock is compared: a contender takes over a lease only after it
    saw the object unchanged for longer than the lease's duration.

    :param platform: object API.
    :param holder: identifier of this process.
    :param duration_s: how long a lease lasts without renewal, in seconds.
    """

    def __init__(
        self, platform: PlatformClient, holder: str, duration_s: float
    ) -> None:
        self._platform = platform
        self._holder = holder
        self._duration_s = duration_s
        self._sightings_by_name: dict[str, _Sighting] = {}

    async def acquire(self, name: str, bundle_version: int = 0) -> Lease:
        """
        Take a lease that is free, lapsed, released or already this
        holder's; the fencing number grows each time.

        :param name: name of the lease.
        :param bundle_version: bundle by which the holder will act.
        :returns: the lease.
        :raises LeaseError: ``lease_held``, ``lease_ahead`` or
            ``lease_unreachable``.
        """
        stored = await self._read(name)
        if stored is None:
            first = _LeaseBody(self._holder, 1, bundle_version=bundle_version)
            return await self._write(name, first, None, 'lease_held')
        current = _decode(stored)
        if not self._may_take(name, stored, current):
            message = f'{name} is held by {current.holder}'
            raise LeaseError('lease_held', message)
        if current.bundle_version > bundle_version:
            message = f'{name} follows bundle {current.bundle_version}'
            raise LeaseError('lease_ahead', message)
        body = _LeaseBody(
            self._holder,
            current.fencing_number + 1,
            bundle_version=bundle_version,
        )
        return await self._write(name, body, stored.version, 'lease_held')

    async def renew(self, lease: Lease, bundle_version: int = 0) -> Lease:
        """
        Extend a lease; its fencing number stays.

        :param lease: the lease as last acquired or renewed.
        :param bundle_version: bundle by which the holder will act from now
            on; an older one changes nothing.
        :returns: the extended lease.
        :raises LeaseError: ``lease_lost`` or ``lease_unreachable``.
        """
        body = self._next_body(lease)
        body.bundle_version = max(lease.bundle_version, bundle_version)
        return await self._write(lease.name, body, lease.version, 'lease_lost')

    async def release(self, lease: Lease) -> None:
        """
        Let others take a lease at once; the object stays, so that the
        fencing number never goes back.

        :param lease: the lease as last acquired or renewed.
        :raises LeaseError: ``lease_lost`` or ``lease_unreachable``.
        """
        # A renewal whose answer was given up may have raised the version.
        stored = await self._read(lease.name)
        body = self._next_body(lease)
        body.released = True
        if stored is None or not self._is_own(stored, lease):
            raise LeaseError('lease_lost', f'{lease.name} changed hands')
        await self._write(lease.name, body, stored.version, 'lease_lost')

    def _is_own(self, stored: StoredObject, lease: Lease) -> bool:
        current = _decode(stored)
        return (current.holder, current.fencing_number) == (
            self._holder,
            lease.fencing_number,
        )

    def _next_body(self, lease: Lease) -> _LeaseBody:
        # The version makes the body differ from that of earlier renewals.
        return _LeaseBody(
            self._holder,
            lease.fencing_number,
            lease.version,
            bundle_version=lease.bundle_version,
        )

    def _may_take(
        self, name: str, stored: StoredObject, current: _LeaseBody
    ) -> bool:
        if current.released or current.holder == self._holder:
            return True
        now_s = trio.current_time()
        sighting = self._sightings_by_name.get(name)
        if sighting is None or sighting.version != stored.version:
            self._sightings_by_name[name] = _Sighting(stored.version, now_s)
            return False
        unchanged_s = now_s - sighting.seen_at
        return unchanged_s > self._duration_s * _CONTENDER_FACTOR

    async def _write(
        self, name: str, body: _LeaseBody, version: int | None, lost_code: str
    ) -> Lease:
        # Counts from before the write, so that the holder's trust ends
        # before any contender's wait.
        valid_until = trio.current_time() + self._duration_s
        key = f'{_PREFIX}{name}'
        try:
            written = await self._platform.put(
                key, msgspec.msgpack.encode(body), version
            )
        except Conflict:
            raise LeaseError(lost_code, f'{name} changed hands') from None
        except AnswerLost as error:
            found = await self._find_written(name, body)
            if found is None:
                raise _unreachable(name, error) from None
            written = found
        except PlatformError as error:
            raise _unreachable(name, error) from None
        return Lease(
            name, body.fencing_number, written, valid_until, body.bundle_version
        )

    async def _find_written(self, name: str, body: _LeaseBody) -> int | None:
        stored = await self._read(name)
        if stored is None or _decode(stored) != body:
            return None
        return stored.version

    async def _read(self, name: str) -> StoredObject | None:
        try:
            return await self._platform.get(f'{_PREFIX}{name}')
        except PlatformError as error:
            raise _unreachable(name, error) from None


def _decode(stored: StoredObject) -> _LeaseBody:
    return msgspec.msgpack.decode(stored.body, type=_LeaseBody)


def _unreachable(name: str, error: PlatformError) -> LeaseError:
    return LeaseError('lease_unreachable', f'{name}: {error.message}')
