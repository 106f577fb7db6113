"""
eelgrassfork.routing
~~~~~~~~~~~~~~~~~~~~

Selects a backend server for a request; pure functions of a snapshot.
"""

import functools
import hashlib
import math
import random
from collections.abc import Callable, Iterable
from typing import Final, Literal, NamedTuple

from .names import rendezvous_order

__all__ = (
    'Chooser',
    'RoutePolicy',
    'RouteSnapshot',
    'ServerState',
    'choose',
    'choose_affinity',
    'choose_keyed',
    'choose_least_requests',
    'choose_random',
    'prefix_hash',
)

_MASK_64: Final = 0xFFFFFFFFFFFFFFFF
_HASH_MULTIPLIER: Final = 0x9E3779B97F4A7C15
_SHIFT: Final = 32
_SEED_BYTES: Final = 8
_CACHED_SEEDS: Final = 16384
_PREFIX_HASH_BYTES: Final = 16
_PREFIX_CHARACTERS: Final = 4096


class ServerState(NamedTuple):
    """
    State of one backend server as seen by this router.

    :param in_flight: requests of this router in progress on the server.
    :param reported_running: running requests in its latest load report.
    :param reported_waiting: queued requests in its latest load report.
    :param report_age_s: age of that report in seconds.
    :param ejected: whether the server is ejected after failures.
    :param cached_prefixes: hashes of the prefixes in its cache, according to
        its cache events.
    """

    vm: str
    address: str
    service: str
    failure_domain: str
    state: Literal['live', 'leaving'] = 'live'
    in_flight: int = 0
    reported_running: int = 0
    reported_waiting: int = 0
    report_age_s: float = 0
    ejected: bool = False
    cached_prefixes: frozenset[str] = frozenset()


class RouteSnapshot(NamedTuple):
    """
    Input of one routing decision.

    :param failure_domain: failure domain of this router.
    :param prefix: hash of the request's prefix, empty if it has none.
    :param excluded: VMs on which this request has already failed.
    """

    servers: tuple[ServerState, ...]
    failure_domain: str
    prefix: str = ''
    excluded: frozenset[str] = frozenset()


class RoutePolicy(NamedTuple):
    """
    Parameters of the routing decision.

    :param in_flight_per_server: limit on this router's requests in progress
        on one server.
    :param report_half_life_s: age in seconds at which a load report has
        half its weight.
    :param report_jitter: largest relative random change of a reported load;
        keeps routers from all choosing the same server by one stale report.
    :param prefix_bonus: load, in requests, that is subtracted for a cached
        prefix.
    :param bound_factor: the preferred server is used while its load is at
        most this multiple of the mean load plus ``bound_slack``.
    :param bound_slack: load, in requests, that is added to both bounds.
    :param spill_factor: other failure domains are used when the local mean
        load exceeds this multiple of their mean load plus ``bound_slack``.
    """

    in_flight_per_server: int = 16
    report_half_life_s: float = 2
    report_jitter: float = 0.25
    prefix_bonus: float = 1
    bound_factor: float = 1.25
    bound_slack: float = 1
    spill_factor: float = 2


Chooser = Callable[
    [RouteSnapshot, RoutePolicy, random.Random], ServerState | None
]


_LoadedServer = tuple[float, ServerState]


def prefix_hash(service: str, texts: Iterable[str]) -> str:
    """
    Hash the prefix that later turns and similar requests have in common.

    :param service: qualified name of the service.
    :param texts: texts of the leading messages; only the first 4,096
        characters of each are hashed.
    :returns: hash in hexadecimal digits.
    """
    hashed = hashlib.blake2b(service.encode(), digest_size=_PREFIX_HASH_BYTES)
    for text in texts:
        leading = text[:_PREFIX_CHARACTERS].encode('utf-8', 'surrogatepass')
        hashed.update(len(leading).to_bytes(_SEED_BYTES, 'big') + leading)
    return hashed.hexdigest()


def choose(
    snapshot: RouteSnapshot, policy: RoutePolicy, source: random.Random
) -> ServerState | None:
    """
    Choose by load, with bounded affinity to the prefix's preferred server.

    :param snapshot: servers and request.
    :param policy: parameters of the decision.
    :param source: random source for jitter and tie-breaking.
    :returns: a server, or ``None`` if no server is usable.
    """
    usable = _usable(snapshot, policy)
    if not usable:
        return None
    loaded = _estimate_loads(usable, policy, source)
    near = _nearest(loaded, snapshot.failure_domain, policy)
    if snapshot.prefix:
        preferred = _preferred(near, snapshot.prefix)
        bound = policy.bound_factor * _mean_load(near) + policy.bound_slack
        if preferred[0] <= bound:
            return preferred[1]
    return _lowest_score(near, snapshot.prefix, policy, source)


def choose_random(
    snapshot: RouteSnapshot, policy: RoutePolicy, source: random.Random
) -> ServerState | None:
    """
    Baseline: choose a usable server uniformly at random.

    :param snapshot: servers and request.
    :param policy: parameters of the decision.
    :param source: random source.
    :returns: a server, or ``None`` if no server is usable.
    """
    usable = _usable(snapshot, policy)
    return source.choice(usable) if usable else None


def choose_least_requests(
    snapshot: RouteSnapshot, policy: RoutePolicy, source: random.Random
) -> ServerState | None:
    """
    Baseline: choose the server with the fewest requests of this router.

    :param snapshot: servers and request.
    :param policy: parameters of the decision.
    :param source: random source for tie-breaking.
    :returns: a server, or ``None`` if no server is usable.
    """
    usable = _usable(snapshot, policy)
    if not usable:
        return None
    fewest = min(server.in_flight for server in usable)
    return source.choice(
        [server for server in usable if server.in_flight == fewest]
    )


def choose_affinity(
    snapshot: RouteSnapshot, policy: RoutePolicy, source: random.Random
) -> ServerState | None:
    """
    Baseline: choose the prefix's preferred server regardless of its load.

    :param snapshot: servers and request.
    :param policy: parameters of the decision.
    :param source: random source for requests without a prefix.
    :returns: a server, or ``None`` if no server is usable.
    """
    if not snapshot.prefix:
        return choose_random(snapshot, policy, source)
    usable = _usable(snapshot, policy)
    if not usable:
        return None
    loaded: list[_LoadedServer] = [(0, server) for server in usable]
    return _preferred(loaded, snapshot.prefix)[1]


def choose_keyed(snapshot: RouteSnapshot, identity: str) -> ServerState | None:
    """
    Choose a server for a request with an idempotency key.

    Ignores load and failure domain, which differ between routers: every
    router must select the server that already runs the request.

    :param snapshot: servers and request.
    :param identity: identifier of the request on the engines.
    :returns: a server, or ``None`` if all are leaving, ejected or excluded.
    """
    servers_by_vm = {server.vm: server for server in _serving(snapshot)}
    if not servers_by_vm:
        return None
    return servers_by_vm[rendezvous_order(identity, list(servers_by_vm))[0]]


def _usable(snapshot: RouteSnapshot, policy: RoutePolicy) -> list[ServerState]:
    limit = policy.in_flight_per_server
    return [server for server in _serving(snapshot) if server.in_flight < limit]


def _serving(snapshot: RouteSnapshot) -> list[ServerState]:
    excluded = snapshot.excluded
    return [
        server
        for server in snapshot.servers
        if not server.ejected
        and server.state == 'live'
        and server.vm not in excluded
    ]


def _estimate_loads(
    servers: list[ServerState], policy: RoutePolicy, source: random.Random
) -> list[_LoadedServer]:
    rate = -math.log(2) / policy.report_half_life_s
    spread = 2 * policy.report_jitter
    floor = 1 - policy.report_jitter
    loaded = []
    for server in servers:
        load: float = server.in_flight
        reported = server.reported_running + server.reported_waiting
        if reported:
            decay = math.exp(rate * server.report_age_s)
            load += reported * decay * (floor + spread * source.random())
        loaded.append((load, server))
    return loaded


def _nearest(
    loaded: list[_LoadedServer], failure_domain: str, policy: RoutePolicy
) -> list[_LoadedServer]:
    local: list[_LoadedServer] = []
    remote: list[_LoadedServer] = []
    for entry in loaded:
        is_local = entry[1].failure_domain == failure_domain
        (local if is_local else remote).append(entry)
    if not local or not remote:
        return loaded
    spill = policy.spill_factor * _mean_load(remote) + policy.bound_slack
    return loaded if _mean_load(local) > spill else local


def _mean_load(loaded: list[_LoadedServer]) -> float:
    return sum([load for load, _ in loaded]) / len(loaded)


def _preferred(loaded: list[_LoadedServer], prefix: str) -> _LoadedServer:
    holders = [entry for entry in loaded if prefix in entry[1].cached_prefixes]
    seed = _seed(prefix)
    return max(
        holders or loaded,
        key=lambda entry: _rendezvous_weight(entry[1].vm, seed),
    )


def _lowest_score(
    loaded: list[_LoadedServer],
    prefix: str,
    policy: RoutePolicy,
    source: random.Random,
) -> ServerState:
    bonus = policy.prefix_bonus if prefix else 0

    def score(entry: _LoadedServer) -> tuple[float, float]:
        load, server = entry
        if prefix in server.cached_prefixes:
            load -= bonus
        return load, source.random()

    return min(loaded, key=score)[1]


@functools.lru_cache(maxsize=_CACHED_SEEDS)
def _seed(text: str) -> int:
    hashed = hashlib.blake2b(text.encode(), digest_size=_SEED_BYTES)
    return int.from_bytes(hashed.digest(), 'big')


def _rendezvous_weight(vm: str, prefix_seed: int) -> int:
    # With hundreds of servers, mixing two cached seeds costs far less than
    # hashing every pair of VM and prefix.
    mixed = ((_seed(vm) ^ prefix_seed) * _HASH_MULTIPLIER) & _MASK_64
    return mixed ^ (mixed >> _SHIFT)
