"""
eelgrassfork.gateway.store_errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Errors of calls to the persistent store.
"""

from ..errors import EelgrassError

__all__ = (
    'HistoryGone',
    'StoreAnswerLost',
    'StoreError',
    'StoreRestored',
    'StoreUnavailable',
)


class StoreError(EelgrassError):
    """A call to the store failed."""


class StoreUnavailable(StoreError):
    """The store did not execute the call; it has no effect."""


class StoreAnswerLost(StoreError):
    """A call was sent but not answered; a write may still take effect."""


class HistoryGone(StoreError):
    """The store no longer holds the changes since the requested revision."""


class StoreRestored(StoreError):
    """
    The store came back from an older copy before or during the call.

    A write may have taken effect, before the restore or after it.
    """
