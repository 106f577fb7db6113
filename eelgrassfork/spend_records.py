"""
eelgrassfork.spend_records
~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of the cost of requests by payer, as kept by engines and claims.
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

    :param request_id: identity of the request, shared by its attempts.
    :param payer: tag of the reservation that pays.
    :param tokens: prompt and completion tokens, or the price of a plain call.
    :param is_final: whether the cost can no longer grow.
    """

    request_id: str
    payer: PayerTag
    tokens: int
    is_final: bool = True


class RecordsMissing(EelgrassError):
    """Raised when a record can't be read or is not final."""

    def __init__(self, message: str) -> None:
        super().__init__('records_missing', message)


class RecordSource(Protocol):
    """
    Reads all records whose payer tag starts with a prefix.

    It must raise :class:`RecordsMissing` if one of the listed servers is
    unreachable. A plain call whose claim is neither ``ran`` nor ``released``
    may have run, so its record costs the full price.
    """

    async def __call__(self, payer_prefix: str) -> list[SpendRecord]:
        """Read the records."""


async def read_records(
    sources: Iterable[RecordSource], payer_prefix: str
) -> list[SpendRecord]:
    """
    Read the records of all sources.

    :param sources: engines and claims.
    :param payer_prefix: prefix of the payer tags.
    :returns: the records, all final.
    :raises RecordsMissing: if a source can't be read or a request is still
        running.
    """
    records: list[SpendRecord] = []
    for source in sources:
        records.extend(await source(payer_prefix))
    for record in records:
        if not record.is_final:
            raise RecordsMissing(
                f'request {record.request_id} is still running'
            )
    return records


async def spent_on(sources: Iterable[RecordSource], payer: PayerTag) -> int:
    """
    Compute the tokens spent on one reservation.

    :param sources: engines and claims.
    :param payer: tag of the reservation.
    :returns: tokens.
    :raises RecordsMissing: if the spend is not known yet.
    """
    records = await read_records(sources, str(payer))
    # The tag of reservation 1 is also a prefix of that of reservation 10.
    return sum_once_per_request(
        record for record in records if record.payer == payer
    )


def sum_once_per_request(records: Iterable[SpendRecord]) -> int:
    """
    Sum the cost, counting each request identity once.

    At most one of several attempts of a request was relayed to the client.
    Which one is not recorded, so the most expensive attempt is counted.

    :param records: records of any requests.
    :returns: tokens.
    """
    tokens_by_request: dict[str, int] = {}
    for record in records:
        largest = tokens_by_request.get(record.request_id, 0)
        tokens_by_request[record.request_id] = max(largest, record.tokens)
    return sum(tokens_by_request.values())
