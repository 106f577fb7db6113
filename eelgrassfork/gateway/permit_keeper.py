"""
eelgrassfork.gateway.permit_keeper
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Elects the router that grants the permits for a server, and its part of a limit.
"""

from ..names import rendezvous_order
from .peers import Peer
from .roster import Roster, count_possible_routers

__all__ = ('find_keeper', 'is_keeper', 'live_fraction')


def find_keeper(roster: Roster, failure_domain: str) -> Peer | None:
    """
    Find the router that grants the permits for the servers of a domain.

    :param roster: live routers.
    :param failure_domain: of the server; if it has no live routers, another
        domain is elected.
    :returns: the keeper of the domain; ``None`` if it is this router, or if
        none is known.
    """
    return _elect(roster, failure_domain)[1]


def is_keeper(roster: Roster, failure_domain: str) -> bool:
    """
    Check whether this router grants the permits for the servers of a domain.

    :param roster: live routers.
    :param failure_domain: of the server.
    :returns: whether it is the elected keeper.
    """
    return _elect(roster, failure_domain) == (True, None)


def live_fraction(roster: Roster) -> float:
    """
    Compute the live routers as a fraction of those that may be running.

    Routers that are cut off from each other use only their fraction of what
    all routers share.

    :param roster: live routers.
    :returns: at most 1.
    """
    possible = count_possible_routers(roster)
    return min(1, roster.fleet_view().routers / possible)


def _elect(roster: Roster, failure_domain: str) -> tuple[bool, Peer | None]:
    keepers_by_domain = {
        roster.failure_domain if peer is None else peer.failure_domain: peer
        for peer in roster.keepers()
    }
    if not keepers_by_domain:
        return False, None
    if failure_domain not in keepers_by_domain:
        domains = rendezvous_order(failure_domain, list(keepers_by_domain))
        failure_domain = domains[0]
    return True, keepers_by_domain[failure_domain]
