"""
eelgrassfork.gateway.records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of configuration, servers, requests and answers in the gateway.
"""

from typing import Literal, NamedTuple

__all__ = (
    'AnswerHead',
    'CallerBounds',
    'Configuration',
    'Engine',
    'ForwardHead',
    'Headers',
    'NamedLimit',
    'Organisation',
    'PromptPart',
    'Repeatability',
    'Route',
    'ServerEntry',
    'ServerLoad',
    'Service',
    'WeightedService',
)

Headers = tuple[tuple[str, str], ...]

# ``stream`` is an answer in events; such a request may be retried only if its
# route allows streams to be resumed.
Repeatability = Literal['idempotent', 'non_idempotent', 'stream']


class WeightedService(NamedTuple):
    """Share of a route's requests that a service receives."""

    service: str
    weight: float


class Route(NamedTuple):
    """
    How requests to one host and path prefix are forwarded.

    :param prefix: begins and ends with a slash.
    :param services: one or more, selected at random by weight.
    :param timeout_s: time limit for the complete answer.
    :param objective_s: latency objective for the answer, or for the first
        event of a stream.
    :param max_attempts: maximum number of servers that one request is sent
        to.
    :param priority: 0 is the most urgent.
    :param anonymous: whether requests need no key.
    :param resumable: whether a stream may be resumed on another server.
    :param max_event_gap_s: objective for the time between two events; 0 if
        answers are not streams.
    :param allowed_regions: regions whose servers may get the requests;
        ``None`` for all.
    """

    name: str
    host: str
    prefix: str
    kind: Repeatability
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    resumable: bool = False
    max_event_gap_s: float = 0
    allowed_regions: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == 'idempotent' or (
            self.kind == 'stream' and self.resumable
        )


class Engine(NamedTuple):
    """
    Capacity of each server of a model service.

    :param slots: requests that run concurrently.
    :param memory_tokens: prompt and output tokens that fit into memory.
    :param tokens_per_event: maximum number of tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """
    A group of interchangeable backend servers.

    :param health_path: path of the health check.
    :param max_connections: maximum number of connections to one server, of
        all callers together.
    :param engine: ``None`` for a plain service.
    :param cold_per_s: requests a second that a cold server can handle from all
        routers together; 0 for no limit.
    :param cold_start_s: time for which a server is cold after a start.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    cold_per_s: float = 0
    cold_start_s: float = 0


class Organisation(NamedTuple):
    """
    A paying customer.

    :param priority: overrides the priority of the route unless ``None``.
    :param prepaid_tokens: prepaid token budget; ``None`` if unlimited.
    :param allowed_regions: as for routes; requests have to meet both lists.
    """

    name: str
    priority: int | None = None
    prepaid_tokens: int | None = None
    allowed_regions: frozenset[str] | None = None


class CallerBounds(NamedTuple):
    """Size limits and time-outs for the requests of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


class Configuration(NamedTuple):
    """
    One version of the configuration that operators set.

    :param routes_by_host: routes by lower-case host, longest prefix first.
    :param keys_needed: whether requests need a key, except on anonymous routes.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    organisations_by_name: dict[str, Organisation]
    organisation_names_by_key: dict[str, str]
    bounds: CallerBounds = CallerBounds()
    keys_needed: bool = True


class ServerEntry(NamedTuple):
    """
    Entry that a backend server publishes about itself.

    :param slots: requests that the server runs concurrently.
    :param incarnation: increases with each start of the server.
    :param sequence: increases with each entry of one incarnation.
    :param leaving: whether the server is shutting down and accepts no more
        requests.
    :param cold_s: remaining warm-up time, in which the server is slow;
        ``None`` if the entry has no valid one.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    incarnation: int
    sequence: int
    leaving: bool = False
    cold_s: float | None = 0


class ServerLoad(NamedTuple):
    """
    Load of one server, as reported by the server.

    :param running: requests that occupy a slot.
    :param waiting: requests that wait for a slot.
    :param slots: requests that the server runs concurrently.
    :param slowdown: factor by which work on its machine takes longer at the
        moment; 1.0 as usual, and where the report has no valid figure.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class PromptPart(NamedTuple):
    """A part of a prompt, which other requests may have in common."""

    id: str
    tokens: int


class ForwardHead(NamedTuple):
    """
    Request line and headers that determine how a request is routed.

    :param host: lower case, without port.
    :param path: path without query, as sent.
    :param key: ``None`` if the caller sent none.
    :param timeout_s: time-out that the caller set; ``None`` without one.
    :param prompt_tokens: tokens of the prompt.
    :param max_output_tokens: maximum number of tokens of the answer.
    :param parts: parts of the prompt in order; the last one is not shared.
    :param last_event_id: last event that the caller of a resumed stream
        received; empty for a new stream.
    :param headers: end-to-end headers, to be forwarded.
    """

    request_id: str
    method: str
    target: str
    host: str
    host_header: str
    path: str
    key: str | None
    timeout_s: float | None
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    last_event_id: str
    headers: Headers

    @property
    def max_total_tokens(self) -> int:
        """Maximum number of tokens that the request may use."""
        return self.prompt_tokens + self.max_output_tokens


class NamedLimit(NamedTuple):
    """
    Limit that a server in need names in an answer, or that there is none.

    :param per_s: requests a second that the server accepts from all routers
        together; ``None`` if it names no limit.
    :param is_valid: ``False`` if the answer names a limit that can't be
        parsed.
    """

    per_s: float | None = None
    is_valid: bool = True


class AnswerHead(NamedTuple):
    """
    Status and headers of a server's answer.

    :param not_run: the server guarantees that it did not run the request; a
        proof only with the id of that request.
    :param sealed: the answer carries the server's proof of origin.
    :param request_id: id of the request that the server answers; empty if
        the answer has none or several.
    :param headers: end-to-end headers, to be forwarded.
    :param load: load report of the server; ``None`` without one.
    :param leaving: the server is shutting down and accepts no more requests.
    :param pause_s: time for which the server requested that this VM sends no
        requests; 0 if it did not.
    :param limit: limit on the requests of all routers to the server.
    """

    status: int
    not_run: bool
    sealed: bool
    request_id: str
    headers: Headers
    load: ServerLoad | None = None
    leaving: bool = False
    pause_s: float = 0
    limit: NamedLimit = NamedLimit()
