"""
eelgrassfork.gateway.choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the server of a request; pure functions only.
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

# Reading fewer shared tokens again costs less than one busier server.
_MIN_SHARED_TOKENS: Final = 1000


class Candidate(NamedTuple):
    """
    What is known of one server.

    :param load: estimated requests in progress.
    :param waiting: estimated requests that wait for a slot.
    :param slots: requests that it runs at once.
    :param unread_tokens: prompt tokens that it still has to read for this
        router.
    :param failures: recent failures.
    :param ejected: it failed, and its backoff runs.
    :param due: it is ejected and may be tried.
    """

    id: str
    failure_domain: str
    load: float
    waiting: float
    slots: int
    unread_tokens: int = 0
    failures: float = 0
    ejected: bool = False
    due: bool = False
    cold: bool = False


class PlacementRequest(NamedTuple):
    """
    What a request asks of its server.

    :param failure_domain: where this router runs.
    :param key: names the shared part of the prompt, empty if it is small.
    :param tried: servers that it was sent to before.
    :param trial: whether it may be the first request to a server that
        failed.
    """

    failure_domain: str
    key: str
    tried: frozenset[str] = frozenset()
    trial: bool = False


class ChoicePolicy(NamedTuple):
    """
    Weights of the choice, in requests in progress.

    :param other_domain: a server of another failure domain is as far as so
        many requests.
    :param failure: a recent failure weighs as much as so many requests.
    :param cold: the same for a server that has just started.
    :param tokens_per_request: unread tokens that weigh as one request.
    :param spill_factor: the server that holds a shared part is left once its
        load exceeds this multiple of the mean.
    :param spill_slack: requests added to that bound, for small means.
    :param overfull: a server is full at this multiple of its slots.
    """

    other_domain: float = 0.6
    failure: float = 3
    cold: float = 2
    tokens_per_request: float = 6000
    spill_factor: float = 1.5
    spill_slack: float = 3
    overfull: float = 1.5


class Choice(NamedTuple):
    """
    Where a request goes.

    :param server_id: empty if it goes nowhere.
    :param reason: ``shared_part``, ``least_load``, ``trial``, or why there
        is none: ``no_server``, ``all_ejected``, ``all_full``.
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
    Name the shared part of a prompt that decides its placement.

    :param parts: parts in order; the last one belongs to the request.
    :returns: id of the last shared part, empty if little is shared.
    """
    shared = parts[:-1]
    if sum(part.tokens for part in shared) < _MIN_SHARED_TOKENS:
        return ''
    return shared[-1].id


def choose(
    candidates: list[Candidate],
    request: PlacementRequest,
    policy: ChoicePolicy,
    source: random.Random,
) -> Choice:
    """
    Choose a server.

    A server that was ejected gets one trial when its backoff is over.
    Requests that share a large part of their prompts go to one server, which
    keeps it in memory, and spill to the next one in a fixed order while that
    one is busier than the others.

    :param candidates: servers that may get requests.
    :param request: what the request asks for.
    :param policy: weights.
    :param source: random source of ties.
    :returns: a server, or the reason why there is none.
    """
    untried = [one for one in candidates if one.id not in request.tried]
    if not untried:
        return Choice('', 'no_server')
    if request.trial:
        due = [one for one in untried if one.due]
        if due:
            return Choice(source.choice(due).id, 'trial')
    sound = [one for one in untried if not one.ejected]
    if not sound:
        due = [one for one in untried if one.due]
        if due:
            return Choice(source.choice(due).id, 'trial')
        return Choice('', 'all_ejected')
    free = [one for one in sound if one.load < one.slots * policy.overfull]
    if not free:
        return Choice('', 'all_full')
    return _among(free, request, policy, source)


def _among(
    free: list[Candidate],
    request: PlacementRequest,
    policy: ChoicePolicy,
    source: random.Random,
) -> Choice:
    if request.key:
        mean = sum(_weight(one, policy) for one in free) / len(free)
        bound = policy.spill_factor * mean + policy.spill_slack
        by_id = {one.id: one for one in free}
        for server_id in rendezvous_order(request.key, list(by_id)):
            if _weight(by_id[server_id], policy) <= bound:
                return Choice(server_id, 'shared_part')
    best = min(
        free,
        key=lambda one: (
            _weight(one, policy)
            + policy.other_domain
            * (one.failure_domain != request.failure_domain)
            + source.random() / 2
        ),
    )
    return Choice(best.id, 'least_load')


def _weight(one: Candidate, policy: ChoicePolicy) -> float:
    return (
        one.load
        + one.waiting
        + policy.failure * one.failures
        + policy.cold * one.cold
        + one.unread_tokens / policy.tokens_per_request
    )
