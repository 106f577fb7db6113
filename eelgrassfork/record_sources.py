"""
eelgrassfork.record_sources
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of spend from engines and claims, for reclaiming and lending.
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

# With all 7,200 calls at once a third missed their bound of 2 s.
_MOST_CALLS: Final = 64
_FINAL_STATES: Final = frozenset(('finished', 'cancelled'))


def engine_addresses(
    bundle: Callable[[], Bundle | None], membership: Membership
) -> Callable[[], list[str]]:
    """
    Make the query for the addresses of all listed engines.

    :param bundle: query for the bundle in force.
    :param membership: knows the VM list.
    :returns: query for ``ip:port`` of each engine.
    """

    def addresses() -> list[str]:
        in_force = bundle()
        services = in_force.services_by_name if in_force else {}
        models = {
            name for name, each in services.items() if each.kind == 'model'
        }
        return [
            record.address
            for record in membership.backend_vms()
            if in_force and current_name(in_force, record.service) in models
        ]

    return addresses


def engine_source(
    engines: EngineClient, addresses: Callable[[], Iterable[str]]
) -> RecordSource:
    """
    Read the records of all listed engines.

    :param engines: client of the engines.
    :param addresses: query for the addresses of all listed engines.
    :returns: reads records by payer prefix.
    """

    async def read(payer_prefix: str) -> list[SpendRecord]:
        records: list[SpendRecord] = []

        async def ask(address: str) -> None:
            try:
                async with limiter:
                    found = await engines.records(address, payer_prefix)
            except EngineError as error:
                failures.append(f'{address}: {error.message}')
                return
            records.extend(_spend_of(each) for each in found)

        limiter = trio.CapacityLimiter(_MOST_CALLS)
        failures: list[str] = []
        async with trio.open_nursery() as nursery:
            for address in addresses():
                nursery.start_soon(ask, address)
        if failures:
            raise RecordsMissing('; '.join(failures))
        return records

    return read


def claim_source(claims: Claims) -> RecordSource:
    """
    Read the prices of claimed plain calls.

    :param claims: claims at the platform.
    :returns: reads records by payer prefix.
    """

    async def read(payer_prefix: str) -> list[SpendRecord]:
        try:
            found = await claims.list_by_payer(payer_prefix)
        except PlatformError as error:
            raise RecordsMissing(error.message) from None
        return [
            SpendRecord(
                record.request_id, parse_payer(record.payer), record.price
            )
            for record in found
        ]

    return read


def _spend_of(record: EngineRecord) -> SpendRecord:
    try:
        payer = parse_payer(record.payer)
    except BadName as error:
        raise RecordsMissing(error.message) from None
    is_final = record.state in _FINAL_STATES
    return SpendRecord(record.request_id, payer, record.tokens, is_final)
