"""
eelgrassfork.gateway.account_metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Exports what a router holds for others, and what it refused or ended.
"""

from functools import partial
from typing import Final

from ..memory_account import KINDS, REASONS, Account
from .telemetry import Telemetry

__all__ = ('LISTENERS', 'add_account_metrics')

LISTENERS: Final = ('callers', 'peers', 'readiness', 'metrics')


def add_account_metrics(telemetry: Telemetry, account: Account) -> None:
    """
    Export the account.

    :param telemetry: metrics of the router.
    :param account: account of the process.
    """
    telemetry.add_gauges(
        'held_bytes',
        'Bytes held for others, by kind.',
        'kind',
        {
            kind: partial(account.held_by_kind.__getitem__, kind)
            for kind in KINDS
        },
    )
    telemetry.add_gauge(
        'held_bytes_limit',
        'Limit on the bytes held for others, of all kinds together.',
        lambda: account.limits.held_bytes,
    )
    telemetry.add_gauges(
        'open_connections',
        'Open connections, by listener.',
        'listener',
        {
            name: partial(account.connections_by_listener.__getitem__, name)
            for name in LISTENERS
        },
    )
    telemetry.add_gauges(
        'bounded_callers',
        'Callers refused or ended to bound memory and descriptors, by reason.',
        'reason',
        {
            reason: partial(account.counts_by_reason.__getitem__, reason)
            for reason in REASONS
        },
    )
