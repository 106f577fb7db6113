"""
eelgrassfork.gateway.targets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the routers that the next heartbeat goes to; no input or output.
"""

import random
from collections.abc import Mapping
from typing import Final

__all__ = ('NEAR_TARGETS', 'Targets')

# Of each heartbeat in a large fleet: in the own failure domain, and in others.
NEAR_TARGETS: Final = 3
_FAR_TARGETS: Final = 1

IpsByDomain = dict[str, tuple[str, ...]]


class Targets:
    """
    Takes the routers of the own failure domain in turn, others by chance.

    :param failure_domain: the own one.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._random = random.Random()
        self._turns: list[str] = []

    def choose(self, ips_by_domain: Mapping[str, set[str]]) -> IpsByDomain:
        """
        Choose where the next heartbeat goes.

        :param ips_by_domain: addresses of all routers that are known.
        :returns: addresses by failure domain.
        """
        own = self._failure_domain
        near = self._next_near(ips_by_domain.get(own, set()))
        far = sorted(
            name for name, ips in ips_by_domain.items() if ips and name != own
        )
        if not far:
            return {own: near}
        name = self._random.choice(far)
        ips = sorted(ips_by_domain[name])
        return {
            own: near,
            name: tuple(self._random.sample(ips, min(_FAR_TARGETS, len(ips)))),
        }

    def _next_near(self, ips: set[str]) -> tuple[str, ...]:
        # In turn, so that no router waits long to hear of this one.
        self._turns = [ip for ip in self._turns if ip in ips]
        if len(self._turns) < NEAR_TARGETS:
            rest = sorted(ips - set(self._turns))
            self._random.shuffle(rest)
            self._turns.extend(rest)
        chosen = tuple(self._turns[:NEAR_TARGETS])
        self._turns = self._turns[NEAR_TARGETS:]
        return chosen
