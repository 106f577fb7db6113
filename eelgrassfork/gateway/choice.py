"""
eelgrassfork.gateway.choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the backend server for a request; pure functions only.
"""

import math
import random
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

from ..names import rendezvous_order
from .expected_time import (
    ExpectedTime,
    FleetMeans,
    RequestSize,
    ServerTiming,
    expected_time,
    fleet_means,
)
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
# Costs in seconds, where servers report their slowdown: a failed request costs
# about a time-out, the network between failure domains some milliseconds.
_FAILURE_S: Final = 0.3
_COLD_S: Final = 0.2
_OTHER_DOMAIN_S: Final = 0.005
# A second between the first event and the last one counts less than one before
# the first, as callers read along.
_STREAM_WEIGHT: Final = 0.1
# Requests with a shared prefix leave their preferred server once its cost
# exceeds the typical one by a factor and this time.
_SPILL_S: Final = 0.05
# Two random servers are enough to avoid the slow ones; more than the maximum
# cost processor time and gain little.
_MIN_SAMPLE: Final = 2
_MAX_SAMPLE: Final = 32


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
    :param timing: load and speed; ``None`` unless servers of the service
        report their slowdown, then set for all of them.
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
    timing: ServerTiming | None = None


class PlacementRequest(NamedTuple):
    """
    Properties of a request that determine its placement.

    :param failure_domain: failure domain of this router.
    :param key: identifies the shared prefix of the prompt, empty if the
        prefix is small.
    :param tried: ids of servers that were already tried.
    :param trial: whether the request may probe an ejected server.
    :param size: used where servers report their slowdown.
    :param routers: number of routers that send to these servers, likewise.
    """

    failure_domain: str
    key: str
    tried: frozenset[str] = frozenset()
    trial: bool = False
    size: RequestSize = RequestSize()
    routers: int = 1


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
    :param samples: where servers report their slowdown, number of random
        servers that all routers together compare for one request each.
    :param noise: random part of the expected times in that comparison.
    """

    other_domain: float = 0.6
    failure: float = 3
    cold: float = 2
    tokens_per_request: float = 6000
    spill_factor: float = 1.5
    spill_slack: float = 3
    full_factor: float = 1.5
    samples: int = 128
    noise: float = 0.2


class Choice(NamedTuple):
    """
    Result of a selection.

    :param server_id: empty if no server was selected.
    :param reason: ``shared_part``, ``least_load`` or ``trial``, or why no
        server was selected: ``no_server``, ``all_ejected``, ``all_full``.
    :param expected: expected duration there; ``None`` unless servers report
        their slowdown.
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
    expected: ExpectedTime | None = None


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

    Where servers report their slowdown, the expected time to the first and to
    the last event decides instead of the load, among a few random servers: the
    more routers have recent reports of the same servers, the fewer.

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
    is_timed = all(server.timing is not None for server in available)
    place = _choose_by_time if is_timed else _choose_available
    return place(available, request, policy, rng)


def _choose_available(
    available: list[Candidate],
    request: PlacementRequest,
    policy: ChoicePolicy,
    rng: random.Random,
) -> Choice:
    if request.key:
        within = _within_spill_bound(available, policy)
        order = rendezvous_order(request.key, [server.id for server in within])
        if order:
            return Choice(order[0], 'shared_part')
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


def _within_spill_bound(
    available: list[Candidate], policy: ChoicePolicy
) -> list[Candidate]:
    costs = [_cost(server, policy) for server in available]
    bound = policy.spill_factor * sum(costs) / len(costs) + policy.spill_slack
    return [
        server
        for server, cost in zip(available, costs, strict=True)
        if cost <= bound
    ]


class _Offer(NamedTuple):
    cost_s: float
    server_id: str
    expected: ExpectedTime


def _choose_by_time(
    available: list[Candidate],
    request: PlacementRequest,
    policy: ChoicePolicy,
    rng: random.Random,
) -> Choice:
    means = fleet_means(
        [server.timing for server in available if server.timing is not None]
    )
    make_offer = _offer_maker(request, means)
    informed = request.routers * means.report_weight
    sample = rng.sample(
        available, _sample_size(len(available), informed, policy)
    )
    offers = [make_offer(server, request.size) for server in sample]
    if request.key:
        usual_s = sum(offer.cost_s for offer in offers) / len(offers)
        # The random bound keeps routers from leaving a server all at once.
        bound_s = usual_s * rng.uniform(1, policy.spill_factor) + _SPILL_S
        preferred = _first_within(
            _within_spill_bound(available, policy), request, make_offer, bound_s
        )
        if preferred is not None:
            return Choice(
                preferred.server_id, 'shared_part', preferred.expected
            )
    if not any(offer.expected.fits for offer in offers):
        offers = [make_offer(server, request.size) for server in available]
    best = min(
        offers,
        key=lambda offer: (
            not offer.expected.fits,
            offer.cost_s * (1 + policy.noise * rng.random()),
        ),
    )
    return Choice(best.server_id, 'least_load', best.expected)


def _sample_size(servers: int, informed: float, policy: ChoicePolicy) -> int:
    # Routers that have the same reports of a server would all send to it at
    # once if each of them compared all servers.
    size = policy.samples / max(1, informed)
    return min(max(_MIN_SAMPLE, math.ceil(size)), _MAX_SAMPLE, servers)


def _offer_maker(
    request: PlacementRequest, means: FleetMeans
) -> Callable[[Candidate, RequestSize], _Offer]:
    def make_offer(server: Candidate, size: RequestSize) -> _Offer:
        assert server.timing is not None
        expected = expected_time(server.timing, size, means)
        cost_s = (
            expected.first_s
            + _STREAM_WEIGHT * (expected.last_s - expected.first_s)
            + _FAILURE_S * server.failures
            + _COLD_S * server.cold
            + _OTHER_DOMAIN_S
            * (server.failure_domain != request.failure_domain)
        )
        return _Offer(cost_s, server.id, expected)

    return make_offer


def _first_within(
    available: list[Candidate],
    request: PlacementRequest,
    make_offer: Callable[[Candidate, RequestSize], _Offer],
    bound_s: float,
) -> _Offer | None:
    by_id = {server.id: server for server in available}
    # Only the preferred server is likely to have the prefix cached.
    size = request.size
    cached = size._replace(
        prompt_tokens=max(0, size.prompt_tokens - size.shared_tokens)
    )
    for server_id in rendezvous_order(request.key, list(by_id)):
        offer = make_offer(by_id[server_id], cached)
        if offer.expected.fits and offer.cost_s <= bound_s:
            return offer
        cached = size
    return None


def _cost(server: Candidate, policy: ChoicePolicy) -> float:
    return (
        server.load
        + server.waiting
        + policy.failure * server.failures
        + policy.cold * server.cold
        + server.pending_prefill_tokens / policy.tokens_per_request
    )
