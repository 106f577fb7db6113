"""
eelgrassfork.gateway.crash_evidence
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Judges which request, or part of a prompt, ends backend servers; pure functions
only.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from .suspect_ids import is_request

__all__ = (
    'RATE_WINDOW_S',
    'CrashRate',
    'PartHistory',
    'find_cause',
    'log_odds',
)

# Crashes within this time before the last one of a part tell how often servers
# end without it.
RATE_WINDOW_S: Final = 30.0
# Longest usual time for which a request is suspect if its server ends: until
# its answer has begun.
_EXPOSURE_S: Final = 1.0
# A lower rate than this can't be observed within the window.
_MIN_CRASH_PROBABILITY: Final = 0.003
# Logarithm of the prior odds that a part ends servers.  Usually two crashes
# outweigh the first ones, and five the second ones.
_NEW_PART_LOG_ODDS: Final = -8.0
_ANSWERED_PART_LOG_ODDS: Final = -24.0


class PartHistory(NamedTuple):
    """
    What is known of a part of a prompt.

    :param crash_ids: crashes at which a request with the part was suspect,
        since the last complete answer to such a request.
    :param was_answered: whether such a request was answered completely not
        long before them.
    """

    crash_ids: frozenset[int]
    was_answered: bool


class CrashRate(NamedTuple):
    """
    How often servers of a service end while a part is not there.

    :param other_crashes: crashes within :data:`RATE_WINDOW_S` at which no
        request with the part was suspect.
    :param servers: number of servers of the service.
    """

    other_crashes: int
    servers: int


def log_odds(history: PartHistory, rate: CrashRate) -> float:
    """
    Compute the logarithm of the odds that a part ends servers.

    This is the cumulative sum (CUSUM) of the log-likelihood ratios of two
    hypotheses: the part ends every server that answers it, or servers end
    independently of it, at the rate at which they end without it.  A complete
    answer is impossible under the first one, so that it restarts the sum.

    :param history: crashes and answers of the part.
    :param rate: rate of crashes without it.
    :returns: natural logarithm of the odds; above 0 if the part is more
        likely than not to end servers.
    """
    server_seconds = RATE_WINDOW_S * max(1, rate.servers)
    # One more crash than was observed, as the rate is never known to be 0.
    probability = (rate.other_crashes + 1) * _EXPOSURE_S / server_seconds
    probability = min(1, max(_MIN_CRASH_PROBABILITY, probability))
    prior = _NEW_PART_LOG_ODDS
    if history.was_answered:
        prior = _ANSWERED_PART_LOG_ODDS
    return prior - len(history.crash_ids) * math.log(probability)


def find_cause(
    suspect_ids: Iterable[str],
    histories_by_suspect: Mapping[str, PartHistory],
    quarantined: Mapping[str, object],
) -> str | None:
    """
    Find the suspect for which a request has to be refused.

    Suspects that were at the same crashes can't be distinguished.  A request is
    refused only if nothing that it lacks explains the crashes as well, so that
    requests which share some of these parts are still sent.

    :param suspect_ids: the request, and shared parts of its prompt.
    :param histories_by_suspect: known suspects of the same service.
    :param quarantined: those that are likely to end servers.
    :returns: the suspect with the most crashes, the last one of equal ones;
        ``None`` if the request may be sent.
    """
    own = tuple(suspect_ids)
    others = {
        suspect_id: history.crash_ids
        for suspect_id, history in histories_by_suspect.items()
        if suspect_id not in own and not history.was_answered
    }
    likely_others = [
        crash_ids
        for suspect_id, crash_ids in others.items()
        if suspect_id in quarantined
    ]
    # Several requests may end servers at the same time.
    explained_ids: frozenset[int] = frozenset().union(*likely_others)
    crash_count_by_cause = {}
    for own_id in reversed(own):
        if own_id not in quarantined:
            continue
        own_crash_ids = histories_by_suspect[own_id].crash_ids
        if is_request(own_id):
            is_explained = own_crash_ids <= explained_ids
        else:
            is_explained = _is_part_explained(own_crash_ids, others)
        if not is_explained:
            crash_count_by_cause[own_id] = len(own_crash_ids)
    return max(
        crash_count_by_cause, key=crash_count_by_cause.__getitem__, default=None
    )


def _is_part_explained(
    crash_ids: frozenset[int], others: Mapping[str, frozenset[int]]
) -> bool:
    # A request with the part is at no crash without it, so that only requests
    # at more crashes explain those of the part.
    return any(
        crash_ids < other_ids
        or (crash_ids == other_ids and not is_request(suspect_id))
        for suspect_id, other_ids in others.items()
    )
