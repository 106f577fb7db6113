"""
eelgrassfork.router_operators
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Connects the operator listener to the bundle trial of the rollout.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from .membership import Membership
from .rollout import Rollout

__all__ = ('bundle_trial',)

TrialFunction = Callable[[bytes], Awaitable[Any]]


def bundle_trial(rollout: Rollout, membership: Membership) -> TrialFunction:
    """
    Create the function that validates a bundle before it is submitted.

    :param rollout: verifies and assembles the bundle without putting it in
        force.
    :param membership: lists the backend servers of each service.
    :returns: function from a signed manifest to the report of the trial.
    """

    async def try_bundle(envelope: bytes) -> dict[str, Any]:
        listed = {record.service for record in membership.backend_vms()}
        report = await rollout.trial.run(envelope, listed)
        return report._asdict()

    return try_bundle
