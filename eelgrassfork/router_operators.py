"""
eelgrassfork.router_operators
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Wires what the operators' listener asks of a router.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from .membership import Membership
from .rollout import Rollout

__all__ = ('bundle_trial',)

TryBundle = Callable[[bytes], Awaitable[Any]]


def bundle_trial(rollout: Rollout, membership: Membership) -> TryBundle:
    """
    Make the trial of a bundle that is not accepted yet.

    :param rollout: verifies and assembles it without putting it in force.
    :param membership: knows which services have backend servers.
    :returns: takes a signed manifest and returns the report.
    """

    async def try_bundle(envelope: bytes) -> dict[str, Any]:
        listed = {record.service for record in membership.backend_vms()}
        report = await rollout.trial.run(envelope, listed)
        return report._asdict()

    return try_bundle
