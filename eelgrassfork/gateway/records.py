"""
eelgrassfork.gateway.records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records that the gateway decides on.
"""

from typing import Literal, NamedTuple

__all__ = (
    'AnswerHead',
    'CallerBounds',
    'Configuration',
    'Engine',
    'ForwardHead',
    'Headers',
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

# ``stream`` is an answer in events; it may be repeated only where a route
# lets it resume.
Repeatability = Literal['idempotent', 'non_idempotent', 'stream']


class WeightedService(NamedTuple):
    """Share of a route's requests that a service gets."""

    service: str
    weight: float


class Route(NamedTuple):
    """
    Where requests of one host and path prefix go, and how.

    :param prefix: begins and ends with a slash.
    :param services: one or more, chosen by weight.
    :param timeout_s: longest time until the answer is complete.
    :param objective_s: time to the answer, or to the first event of a
        stream, that callers expect.
    :param max_attempts: most servers that one request is sent to.
    :param priority: 0 is the most urgent.
    :param anonymous: whether requests need no key.
    :param resumable: whether a stream may go on at another server.
    :param max_event_gap_s: longest pause between events that callers
        expect; 0 where answers are no streams.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == 'idempotent' or (
            self.kind == 'stream' and self.resumable
        )


class Engine(NamedTuple):
    """
    What the servers of a model service can hold.

    :param slots: requests that run at once.
    :param memory_tokens: prompt and output tokens in memory.
    :param tokens_per_event: most tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """
    A group of backend servers that answer alike.

    :param health_path: path of the health check.
    :param max_connections: most connections of all callers to one server.
    :param engine: ``None`` for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None


class Organisation(NamedTuple):
    """
    A paying customer.

    :param priority: replaces that of the route; ``None`` if it has none.
    :param prepaid_tokens: most tokens that it may use; ``None`` if it has
        no such limit.
    """

    name: str
    priority: int | None = None
    prepaid_tokens: int | None = None


class CallerBounds(NamedTuple):
    """What a caller may send, and how slowly."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


class Configuration(NamedTuple):
    """
    Everything operators decide, at one version.

    :param routes_by_host: routes by lower-case host, longest prefix first.
    :param keys_needed: whether requests need a key at all.
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
    What a backend server says of itself.

    :param incarnation: changes with each start of the server.
    :param sequence: grows with each statement of one incarnation.
    :param leaving: whether it asks for no more requests.
    :param cold_s: how much longer it is slow after its start.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    incarnation: int
    sequence: int
    leaving: bool = False
    cold_s: float = 0


class ServerLoad(NamedTuple):
    """Requests at one server as it counts them."""

    running: int
    waiting: int
    slots: int


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


class ForwardHead(NamedTuple):
    """
    A request as far as routing needs to understand it.

    :param host: lower case, without port.
    :param path: path without query, as sent.
    :param key: ``None`` if the caller sent none.
    :param timeout_s: how long the caller waits; ``None`` if unsaid.
    :param prompt_tokens: tokens of the prompt.
    :param max_output_tokens: most tokens that the answer may have.
    :param parts: parts of the prompt in order, the last one its own.
    :param last_event_id: where a resumed stream goes on, empty if it starts.
    :param headers: headers to pass on.
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
        """Tokens that the request may use at most."""
        return self.prompt_tokens + self.max_output_tokens


class AnswerHead(NamedTuple):
    """
    Status and headers of a server's answer.

    :param not_run: the server vouches that it did not run the request.
    :param sealed: the answer carries the server's proof of origin.
    :param request_id: identity that the server says it answers.
    :param headers: headers to pass on.
    :param leaving: the server is about to stop and wants no more requests.
    :param pause_s: for so long it wants none from this VM, 0 without a wish.
    """

    status: int
    not_run: bool
    sealed: bool
    request_id: str
    headers: Headers
    load: ServerLoad | None = None
    leaving: bool = False
    pause_s: float = 0
