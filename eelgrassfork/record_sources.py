"""
eelgrassfork.record_sources
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads spend records from engines and claims, for reclaiming and lending.
"""

from collections.abc import Callable, Iterable
from typing import Final

import trio

from .bundle_lookup import current_name
from .bundle_types import Bundle
from .claims import Claims
from .engine_client import EngineClient
from .engine_types import EngineError, EngineRecord
from .membership import Membership
from .names import BadName, parse_payer
from .platform_types import PlatformError
from .spend_records import RecordsMissing, RecordSource, SpendRecord

__all__ = ('claim_source', 'engine_addresses', 'engine_source')

# With 7,200 concurrent calls, a third exceeded their time-out of 2 s.
_MAX_CONCURRENT_CALLS: Final = 64
_FINAL_STATES: Final = frozenset(('finished', 'cancelled'))


def engine_addresses(
    bundle: Callable[[], Bundle | None], membership: Membership
) -> Callable[[], list[str]]:
    """
    Create a function that lists the addresses of all engines.

    :param bundle: returns the bundle in force.
    :param membership: provides the VM list.
    :returns: function that returns ``ip:port`` of each listed engine.
    """

    def addresses() -> list[str]:
        current = bundle()
        services = current.services_by_name if current else {}
        models = {
            name
            for name, service in services.items()
            if service.kind == 'model'
        }
        return [
            record.address
            for record in membership.backend_vms()
            if current and current_name(current, record.service) in models
        ]

    return addresses


def engine_source(
    engines: EngineClient, addresses: Callable[[], Iterable[str]]
) -> RecordSource:
    """
    Create a source of spend records from all listed engines.

    :param engines: client of the engines.
    :param addresses: returns the addresses of all listed engines.
    :returns: function that reads the records of a payer prefix; raises
        :class:`~eelgrassfork.spend_records.RecordsMissing` if the
        records of an engine can't be read.
    """

    async def read(payer_prefix: str) -> list[SpendRecord]:
        records: list[SpendRecord] = []

        async def fetch_records(address: str) -> None:
            try:
                async with limiter:
                    fetched = await engines.records(address, payer_prefix)
            except EngineError as error:
                failures.append(f'{address}: {error.message}')
                return
            records.extend(_to_spend_record(record) for record in fetched)

        limiter = trio.CapacityLimiter(_MAX_CONCURRENT_CALLS)
        failures: list[str] = []
        async with trio.open_nursery() as nursery:
            for address in addresses():
                nursery.start_soon(fetch_records, address)
        if failures:
            raise RecordsMissing('; '.join(failures))
        return records

    return read


def claim_source(claims: Claims) -> RecordSource:
    """
    Create a source of spend records from the claims of plain calls.

    :param claims: claims stored at the platform.
    :returns: function that reads the records of a payer prefix.
    """

    async def read(payer_prefix: str) -> list[SpendRecord]:
        try:
            fetched = await claims.list_by_payer(payer_prefix)
        except PlatformError as error:
            raise RecordsMissing(error.message) from None
        return [
            SpendRecord(
                record.request_id, parse_payer(record.payer), record.price
            )
            for record in fetched
        ]

    return read


def _to_spend_record(record: EngineRecord) -> SpendRecord:
    try:
        payer = parse_payer(record.payer)
    except BadName as error:
        raise RecordsMissing(error.message) from None
    is_final = record.state in _FINAL_STATES
    return SpendRecord(record.request_id, payer, record.tokens, is_final)
