"""
eelgrassfork.spend_records
~~~~~~~~~~~~~~~~~~~~~~~~~~

What requests have cost, as engines and claims remember it by payer.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from .errors import EelgrassError
from .names import PayerTag

__all__ = (
    'RecordSource',
    'RecordsMissing',
    'SpendRecord',
    'read_records',
    'spent_on',
    'sum_once_per_request',
)


class SpendRecord(NamedTuple):
    """
    Cost of one request.

    :param request_id: its identity; attempts of one request share it.
    :param tokens: prompt and completion, or the price of a plain call.
    :param is_final: whether the cost can't grow any more.
    """

    request_id: str
    payer: PayerTag
    tokens: int
    is_final: bool = True


class RecordsMissing(EelgrassError):
    """Not all records could be read, or one may still grow."""

    def __init__(self, message: str) -> None:
        super().__init__('records_missing', message)


class RecordSource(Protocol):
    """
    Reads all records whose payer tag has a prefix.

    It must raise :class:`RecordsMissing` if one of the listed servers can't
    be asked. A plain call whose claim is neither ``ran`` nor ``released``
    may have run, so its record has its price.
    """

    async def __call__(self, payer_prefix: str) -> list[SpendRecord]:
        """Read the records."""


async def read_records(
    sources: Iterable[RecordSource], payer_prefix: str
) -> list[SpendRecord]:
    """
    Read the records of all sources.

    :param sources: engines and claims.
    :param payer_prefix: beginning of the payer tags.
    :returns: the records, all final.
    :raises RecordsMissing: if a source can't be read or a request still
        runs.
    """
    records: list[SpendRecord] = []
    for source in sources:
        records.extend(await source(payer_prefix))
    for record in records:
        if not record.is_final:
            raise RecordsMissing(f'{record.request_id} still runs')
    return records


async def spent_on(sources: Iterable[RecordSource], payer: PayerTag) -> int:
    """
    Read what one reservation was spent on.

    :param sources: engines and claims.
    :param payer: names the reservation.
    :returns: tokens.
    :raises RecordsMissing: if that is not known yet.
    """
    records = await read_records(sources, str(payer))
    # The prefix of number 1 is also one of number 10.
    return sum_once_per_request(
        record for record in records if record.payer == payer
    )


def sum_once_per_request(records: Iterable[SpendRecord]) -> int:
    """
    Sum the cost, once for each request identity.

    Of several attempts of one request at most one was relayed; which one is
    not recorded, so that the largest counts.

    :param records: records of any requests.
    :returns: tokens.
    """
    tokens_by_request: dict[str, int] = {}
    for record in records:
        largest = tokens_by_request.get(record.request_id, 0)
        tokens_by_request[record.request_id] = max(largest, record.tokens)
    return sum(tokens_by_request.values())
