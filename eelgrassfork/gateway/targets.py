"""
eelgrassfork.gateway.targets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the recipients of heartbeats in a large fleet; performs no I/O.
"""

import random
from collections.abc import Mapping
from typing import Final

__all__ = ('SAME_DOMAIN_TARGETS', 'TargetSelector')

# Recipients of each heartbeat in a large fleet: routers of the same failure
# domain, and of others.
SAME_DOMAIN_TARGETS: Final = 3
_OTHER_DOMAIN_TARGETS: Final = 1

IpsByDomain = dict[str, tuple[str, ...]]


class TargetSelector:
    """
    Selects routers of the same failure domain in rotation, others at random.

    :param failure_domain: of this router.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._random = random.Random()
        self._rotation: list[str] = []

    def choose(self, ips_by_domain: Mapping[str, set[str]]) -> IpsByDomain:
        """
        Select the recipients of the next heartbeat.

        :param ips_by_domain: IP addresses of all known routers.
        :returns: selected IP addresses by failure domain.
        """
        own = self._failure_domain
        same_domain = self._next_same_domain(ips_by_domain.get(own, set()))
        other_domains = sorted(
            name for name, ips in ips_by_domain.items() if ips and name != own
        )
        if not other_domains:
            return {own: same_domain}
        name = self._random.choice(other_domains)
        ips = sorted(ips_by_domain[name])
        return {
            own: same_domain,
            name: tuple(
                self._random.sample(ips, min(_OTHER_DOMAIN_TARGETS, len(ips)))
            ),
        }

    def _next_same_domain(self, ips: set[str]) -> tuple[str, ...]:
        # The rotation bounds the time until each router gets a heartbeat.
        self._rotation = [ip for ip in self._rotation if ip in ips]
        if len(self._rotation) < SAME_DOMAIN_TARGETS:
            rest = sorted(ips - set(self._rotation))
            self._random.shuffle(rest)
            self._rotation.extend(rest)
        chosen = tuple(self._rotation[:SAME_DOMAIN_TARGETS])
        self._rotation = self._rotation[SAME_DOMAIN_TARGETS:]
        return chosen
