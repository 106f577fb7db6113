"""
eelgrassfork.leases
~~~~~~~~~~~~~~~~~~~

Leases with fencing numbers at the platform, which guard orders to engines.
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

_KEY_PREFIX: Final = 'leases/'
# Clock rates of two VMs may differ slightly, so a contender waits longer
# than the holder considers its lease valid.
_CONTENDER_WAIT_FACTOR: Final = 1.5


class LeaseError(EelgrassError):
    """
    A lease could not be acquired, renewed or released.

    :param code: ``lease_held`` if another holder has it, ``lease_lost`` if
        another holder took it over, ``lease_ahead`` if the last holder used
        a newer bundle, or ``lease_unreachable`` if the platform does not
        answer or the outcome is unknown.
    """


class Lease(NamedTuple):
    """
    A lease held by this process.

    :param name: name of the lease.
    :param fencing_number: higher than that of every earlier acquisition.
    :param version: version of the object at the platform.
    :param valid_until: expiry time on trio's clock.
    :param bundle_version: newest bundle version that any holder has used.
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


class _Observation(NamedTuple):
    version: int
    seen_at: float


class Leases:
    """
    Acquires and renews leases for one holder.

    Wall clocks are not compared: a contender takes over a lease only after
    it has observed the object unchanged for longer than the lease duration.

    :param platform: client of the object store.
    :param holder: identifier of this process.
    :param duration_s: lease duration without renewal, in seconds.
    """

    def __init__(
        self, platform: PlatformClient, holder: str, duration_s: float
    ) -> None:
        self._platform = platform
        self._holder = holder
        self._duration_s = duration_s
        self._observations_by_name: dict[str, _Observation] = {}

    async def acquire(self, name: str, bundle_version: int = 0) -> Lease:
        """
        Acquire a lease that is new, expired, released or already held by
        this holder; each acquisition increments the fencing number.

        :param name: name of the lease.
        :param bundle_version: bundle version that the holder will use.
        :returns: the lease.
        :raises LeaseError: ``lease_held``, ``lease_ahead`` or
            ``lease_unreachable``.
        """
        stored = await self._read(name)
        if stored is None:
            first = _LeaseBody(self._holder, 1, bundle_version=bundle_version)
            return await self._write(name, first, None, 'lease_held')
        current = _decode(stored)
        if not self._is_available(name, stored, current):
            message = f'lease {name} is held by {current.holder}'
            raise LeaseError('lease_held', message)
        if current.bundle_version > bundle_version:
            message = (
                f'lease {name} was last held under the newer bundle '
                f'{current.bundle_version}'
            )
            raise LeaseError('lease_ahead', message)
        body = _LeaseBody(
            self._holder,
            current.fencing_number + 1,
            bundle_version=bundle_version,
        )
        return await self._write(name, body, stored.version, 'lease_held')

    async def renew(self, lease: Lease, bundle_version: int = 0) -> Lease:
        """
        Renew a lease without changing its fencing number.

        :param lease: the lease as last acquired or renewed.
        :param bundle_version: bundle version that the holder will use from
            now on; ignored if older than that of the lease.
        :returns: the renewed lease.
        :raises LeaseError: ``lease_lost`` or ``lease_unreachable``.
        """
        body = self._next_body(lease)
        body.bundle_version = max(lease.bundle_version, bundle_version)
        return await self._write(lease.name, body, lease.version, 'lease_lost')

    async def release(self, lease: Lease) -> None:
        """
        Release a lease, so that others can acquire it immediately. The
        object is kept, so that the fencing number never decreases.

        :param lease: the lease as last acquired or renewed.
        :raises LeaseError: ``lease_lost`` or ``lease_unreachable``.
        """
        # A renewal that was cancelled before its answer arrived may have
        # increased the version.
        stored = await self._read(lease.name)
        body = self._next_body(lease)
        body.released = True
        if stored is None or not self._is_current(stored, lease):
            raise LeaseError('lease_lost', f'lease {lease.name} was taken over')
        await self._write(lease.name, body, stored.version, 'lease_lost')

    def _is_current(self, stored: StoredObject, lease: Lease) -> bool:
        current = _decode(stored)
        return (current.holder, current.fencing_number) == (
            self._holder,
            lease.fencing_number,
        )

    def _next_body(self, lease: Lease) -> _LeaseBody:
        # The version serves as renewal counter and makes the body differ from
        # those of earlier renewals, so that a lost answer can be resolved.
        return _LeaseBody(
            self._holder,
            lease.fencing_number,
            lease.version,
            bundle_version=lease.bundle_version,
        )

    def _is_available(
        self, name: str, stored: StoredObject, current: _LeaseBody
    ) -> bool:
        if current.released or current.holder == self._holder:
            return True
        now_s = trio.current_time()
        observation = self._observations_by_name.get(name)
        if observation is None or observation.version != stored.version:
            self._observations_by_name[name] = _Observation(
                stored.version, now_s
            )
            return False
        unchanged_s = now_s - observation.seen_at
        return unchanged_s > self._duration_s * _CONTENDER_WAIT_FACTOR

    async def _write(
        self,
        name: str,
        body: _LeaseBody,
        version: int | None,
        conflict_code: str,
    ) -> Lease:
        # The duration starts before the write, so that the lease expires for
        # its holder before a contender may take it over.
        valid_until = trio.current_time() + self._duration_s
        key = f'{_KEY_PREFIX}{name}'
        try:
            written = await self._platform.put(
                key, msgspec.msgpack.encode(body), version
            )
        except Conflict:
            raise LeaseError(
                conflict_code, f'lease {name} was changed by another write'
            ) from None
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
            return await self._platform.get(f'{_KEY_PREFIX}{name}')
        except PlatformError as error:
            raise _unreachable(name, error) from None


def _decode(stored: StoredObject) -> _LeaseBody:
    return msgspec.msgpack.decode(stored.body, type=_LeaseBody)


def _unreachable(name: str, error: PlatformError) -> LeaseError:
    return LeaseError('lease_unreachable', f'lease {name}: {error.message}')
