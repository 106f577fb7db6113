"""
eelgrassfork.gateway.heartbeats
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What routers tell each other about themselves and about others.
"""

from typing import NamedTuple

__all__ = ('DomainView', 'Heartbeat', 'PeerSummary', 'StoreRead')


class PeerSummary(NamedTuple):
    """
    A router that a heartbeat mentions, and how long ago it was heard of.

    :param failure_domain: empty if it is that of the router that speaks.
    :param beat: number of the heartbeat that was heard.
    :param link_class: of its VM.
    """

    node: str
    ip: str
    incarnation: int
    age_ms: int
    failure_domain: str = ''
    beat: int = 0
    link_class: int = 0


class StoreRead(NamedTuple):
    """
    A reading of the store, as routers tell it on.

    :param reader: checksum of the VM's name, shorter than it is.
    :param number: rises with each reading of that VM.
    :param age_ms: the answer held all changes up to so long ago.
    """

    reader: int
    number: int
    age_ms: int


class DomainView(NamedTuple):
    """
    What is known of a whole failure domain.

    :param routers: number of live routers there.
    :param keeper: router that draws credit for the others.
    :param keeper_ip: its address.
    :param age_ms: time since a router of that domain said so.
    """

    failure_domain: str
    routers: int
    keeper: str
    keeper_ip: str
    age_ms: int


class Heartbeat(NamedTuple):
    """
    What a router says of itself.

    :param incarnation: start of its process; a later one is newer.
    :param draining: it is about to stop.
    :param configuration_version: 0 if it knows none.
    :param servers_digest: of its table of backend servers.
    :param free_by_organisation: credit that it could lend, in tokens; of
        keepers only in large fleets.
    :param servers_revision: newest revision in that table.
    :param configuration_read: newest reading of the configuration that the
        one in force includes, by whichever router.
    :param unix_ms: its clock.
    :param others: some of the routers that it knows.
    :param domains: all failure domains that it knows, its own first.
    :param is_new: it knows few routers yet.
    :param outside_age_ms: time since its failure domain heard another one;
        ``None`` if it never did.
    :param delay_ms: how far it is behind with its work.
    :param servers_read: newest reading of the entries of backend servers
        that its table includes.
    :param beat: number of this heartbeat; later ones of the same incarnation
        have higher numbers.
    :param link_class: rises by one each time that its link is twice as fast.
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
    is_new: bool = False
    outside_age_ms: int | None = None
    delay_ms: int = 0
    servers_read: StoreRead | None = None
    beat: int = 0
    link_class: int = 0
