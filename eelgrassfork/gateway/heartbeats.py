"""
eelgrassfork.gateway.heartbeats
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Heartbeat messages that routers exchange.
"""

from typing import NamedTuple, TypedDict

from .ledger import LedgerWrite

__all__ = (
    'CrashMention',
    'DomainView',
    'FleetReport',
    'Heartbeat',
    'LimitNotice',
    'LimitReport',
    'PartNotice',
    'PeerSummary',
    'StoreRead',
)


class PeerSummary(NamedTuple):
    """
    State of another router, as a heartbeat reports it.

    :param node: name of the router's VM.
    :param ip: IP address of the VM.
    :param incarnation: start of the router's process.
    :param age_ms: time since its last known heartbeat.
    :param failure_domain: empty if it is that of the sender.
    :param sequence: sequence number of its last known heartbeat.
    :param link_class: link speed class of the VM.
    """

    node: str
    ip: str
    incarnation: int
    age_ms: int
    failure_domain: str = ''
    sequence: int = 0
    link_class: int = 0


class StoreRead(NamedTuple):
    """
    A read of the store, as routers report and relay it.

    :param reader: checksum of the name of the VM that read the store; it is
        shorter than the name.
    :param number: increases with each read by that VM.
    :param age_ms: age of the data; the response included all earlier changes.
    """

    reader: int
    number: int
    age_ms: int


class DomainView(NamedTuple):
    """
    Summary of the state of a failure domain.

    :param failure_domain: name of the domain.
    :param routers: number of live routers in the domain.
    :param keeper: VM of the router that draws credit for the domain.
    :param keeper_ip: IP address of the keeper.
    :param age_ms: time since a router of the domain reported this state.
    """

    failure_domain: str
    routers: int
    keeper: str
    keeper_ip: str
    age_ms: int


class Heartbeat(NamedTuple):
    """
    State that a router reports about itself.

    :param node: name of the router's VM.
    :param ip: IP address of the VM.
    :param incarnation: start of the router's process; higher is newer.
    :param failure_domain: of the VM.
    :param draining: whether the router is about to stop.
    :param configuration_version: active version, 0 without a configuration.
    :param servers_digest: digest of the router's table of backend servers.
    :param free_by_organisation: credit available for lending, in tokens; in
        large fleets only keepers report it.
    :param servers_revision: newest revision in that table.
    :param configuration_read: newest store read, by any router, that the
        active configuration includes.
    :param unix_ms: clock of the VM.
    :param others: sample of the routers that the sender knows.
    :param domains: known failure domains, that of the sender first.
    :param is_joining: whether the sender knows only few routers yet.
    :param other_domain_age_ms: time since the sender received a heartbeat
        from another failure domain; ``None`` if it never did.
    :param delay_ms: mean event loop delay of the router.
    :param servers_read: newest store read, by any router, that the table of
        backend servers includes.
    :param sequence: sequence number of the heartbeat within the incarnation.
    :param link_class: link speed class; each step is twice the speed.
    """

    node: str
    ip: str
    incarnation: int
    failure_domain: str
    draining: bool = False
    configuration_version: int = 0
    servers_digest: int = 0
    free_by_organisation: dict[str, int] = {}
    servers_revision: int = 0
    configuration_read: StoreRead | None = None
    unix_ms: int = 0
    others: tuple[PeerSummary, ...] = ()
    domains: tuple[DomainView, ...] = ()
    is_joining: bool = False
    other_domain_age_ms: int | None = None
    delay_ms: int = 0
    servers_read: StoreRead | None = None
    sequence: int = 0
    link_class: int = 0


class LimitNotice(NamedTuple):
    """
    Limit that a backend server names in its answers.

    :param incarnation: of the server.
    :param version: increases with each change that a router observes.
    :param per_s: requests a second from all routers together; ``None`` once
        the server names no limit any more.
    :param age_ms: time since an answer confirmed it.
    """

    server_id: str
    incarnation: int
    version: int
    per_s: float | None
    age_ms: int


class LimitReport(TypedDict):
    """
    Limits of servers that a router knows, sent beside its heartbeats.

    It is a message of its own, as former builds accept no heartbeat with more
    fields.

    :ivar node: VM of the router.
    """

    node: str
    limits: tuple[LimitNotice, ...]


class CrashMention(NamedTuple):
    """
    End of a backend server with requests in progress.

    :param crash_id: checksum of the server's id and incarnation, so that all
        routers that lost a request to it report the same crash.
    :param servers: servers of the service at that time.
    """

    crash_id: int
    age_ms: int
    servers: int


class PartNotice(NamedTuple):
    """
    Crashes at which requests with a certain part of a prompt were suspect.

    :param part_id: id of the part, or of one request, see ``suspect_ids``.
    :param crashes: newest crashes since the last complete answer to such a
        request.
    :param answered_age_ms: time since that answer; ``None`` without one.
    :param seen_age_ms: time since the last crash, or since a request with the
        part was last refused.
    """

    service: str
    part_id: str
    crashes: tuple[CrashMention, ...]
    answered_age_ms: int | None
    seen_age_ms: int


class FleetReport(LimitReport, total=False):
    """
    What a router sends beside its heartbeats; former builds read the limits.

    :ivar parts: parts of prompts that are suspect.
    :ivar ledger_writes: what the router has just written to the credit ledger.
    """

    parts: tuple[PartNotice, ...]
    ledger_writes: tuple[LedgerWrite, ...]
