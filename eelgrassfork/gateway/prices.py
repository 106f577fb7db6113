"""
eelgrassfork.gateway.prices
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Prices of the events of a stream in prepaid tokens; pure functions only.
"""

from typing import Final

from .records import Service

__all__ = ('UNKNOWN_TOKENS_PER_EVENT', 'tokens_per_event')

# More than any request reserves, so that one event of unknown size costs the
# whole output of its request: spending must never exceed a prepaid limit.
UNKNOWN_TOKENS_PER_EVENT: Final = 1_000_000_000
_PLAIN_TOKENS_PER_EVENT: Final = 1


def tokens_per_event(service: Service | None) -> int:
    """
    Compute the price of an event that a service sends.

    :param service: the service in the configuration by which a request is
        sent; ``None`` if the configuration lacks it.
    :returns: prepaid tokens; the highest price if the size of the events is
        unknown.
    """
    if service is None:
        return UNKNOWN_TOKENS_PER_EVENT
    if service.engine is None:
        return _PLAIN_TOKENS_PER_EVENT
    if service.engine.tokens_per_event < 1:
        return UNKNOWN_TOKENS_PER_EVENT
    return service.engine.tokens_per_event
