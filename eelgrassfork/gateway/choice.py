"""
eelgrassfork.gateway.choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the backend server for a request; pure functions only.
"""

import random
from typing import Final, Literal, NamedTuple

from ..names import rendezvous_order
from .records import PromptPart

__all__ = (
    'Candidate',
    'Choice',
    'ChoicePolicy',
    'PlacementRequest',
    'choose',
    'placement_key',
)

# For a smaller shared prefix, prefilling it again is cheaper than using a
# server with one more request in progress.
_MIN_SHARED_TOKENS: Final = 1000


class Candidate(NamedTuple):
    """
    Estimated state of one server.

    :param load: estimated requests in progress.
    :param waiting: estimated requests queued for a slot.
    :param slots: requests that the server runs concurrently.
    :param pending_prefill_tokens: prompt tokens of this router's requests
        that the server has not prefilled yet.
    :param failures: decayed count of recent failures.
    :param ejected: the server is ejected because of failures.
    :param due: the server is ejected, and its backoff has ended, so that it
        may be probed with a request.
    :param cold: the server has just started and is still slow.
    """

    id: str
    failure_domain: str
    load: float
    waiting: float
    slots: int
    pending_prefill_tokens: int = 0
    failures: float = 0
    ejected: bool = False
    due: bool = False
    cold: bool = False


class PlacementRequest(NamedTuple):
    """
    Properties of a request that determine its placement.

    :param failure_domain: failure domain of this router.
    :param key: identifies the shared prefix of the prompt, empty if the
        prefix is small.
    :param tried: ids of servers that were already tried.
    :param trial: whether the request may probe an ejected server.
    """

    failure_domain: str
    key: str
    tried: frozenset[str] = frozenset()
    trial: bool = False


class ChoicePolicy(NamedTuple):
    """
    Cost weights of the selection, in units of requests in progress.

    :param other_domain: cost of a server in another failure domain.
    :param failure: cost of one recent failure.
    :param cold: cost of a server that has just started.
    :param tokens_per_request: number of tokens pending prefill that cost as
        much as one request.
    :param spill_factor: requests with a shared prefix leave their preferred
        server once its cost exceeds this multiple of the mean.
    :param spill_slack: requests added to that bound, for small means.
    :param full_factor: a server is full at this multiple of its slots.
    """

    other_domain: float = 0.6
    failure: float = 3
    cold: float = 2
    tokens_per_request: float = 6000
    spill_factor: float = 1.5
    spill_slack: float = 3
    full_factor: float = 1.5


class Choice(NamedTuple):
    """
    Result of a selection.

    :param server_id: empty if no server was selected.
    :param reason: ``shared_part``, ``least_load`` or ``trial``, or why no
        server was selected: ``no_server``, ``all_ejected``, ``all_full``.
    """

    server_id: str
    reason: Literal[
        'shared_part',
        'least_load',
        'trial',
        'no_server',
        'all_ejected',
        'all_full',
    ]


def placement_key(parts: tuple[PromptPart, ...]) -> str:
    """
    Return the key that places requests with a common prompt prefix together.

    :param parts: parts of the prompt in order; the last one is not shared.
    :returns: id of the last shared part, empty if the shared prefix is small.
    """
    shared = parts[:-1]
    if sum(part.tokens for part in shared) < _MIN_SHARED_TOKENS:
        return ''
    return shared[-1].id


def choose(
    candidates: list[Candidate],
    request: PlacementRequest,
    policy: ChoicePolicy,
    rng: random.Random,
) -> Choice:
    """
    Select a server.

    An ejected server is probed with one request when its backoff has ended.
    Requests with a large common prompt prefix go to the same server, which
    keeps the prefix cached.  While that server costs much more than the mean,
    they spill over to the next one in rendezvous order.

    :param candidates: servers that may receive requests.
    :param request: request to place.
    :param policy: cost weights.
    :param rng: random source for tie-breaking.
    :returns: a server, or the reason why none was selected.
    """
    untried = [
        server for server in candidates if server.id not in request.tried
    ]
    if not untried:
        return Choice('', 'no_server')
    if request.trial:
        due = [server for server in untried if server.due]
        if due:
            return Choice(rng.choice(due).id, 'trial')
    healthy = [server for server in untried if not server.ejected]
    if not healthy:
        due = [server for server in untried if server.due]
        if due:
            return Choice(rng.choice(due).id, 'trial')
        return Choice('', 'all_ejected')
    available = [
        server
        for server in healthy
        if server.load < server.slots * policy.full_factor
    ]
    if not available:
        return Choice('', 'all_full')
    return _choose_available(available, request, policy, rng)


def _choose_available(
    available: list[Candidate],
    request: PlacementRequest,
    policy: ChoicePolicy,
    rng: random.Random,
) -> Choice:
    if request.key:
        mean = sum(_cost(server, policy) for server in available) / len(
            available
        )
        bound = policy.spill_factor * mean + policy.spill_slack
        by_id = {server.id: server for server in available}
        for server_id in rendezvous_order(request.key, list(by_id)):
            if _cost(by_id[server_id], policy) <= bound:
                return Choice(server_id, 'shared_part')
    best = min(
        available,
        key=lambda server: (
            _cost(server, policy)
            + policy.other_domain
            * (server.failure_domain != request.failure_domain)
            + rng.random() / 2
        ),
    )
    return Choice(best.id, 'least_load')


def _cost(server: Candidate, policy: ChoicePolicy) -> float:
    return (
        server.load
        + server.waiting
        + policy.failure * server.failures
        + policy.cold * server.cold
        + server.pending_prefill_tokens / policy.tokens_per_request
    )
