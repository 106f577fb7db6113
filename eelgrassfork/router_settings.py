"""
eelgrassfork.router_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns a router's settings into those of its parts.
"""

from typing import Final

from .drain import DrainSettings
from .http_server import ServerLimits
from .membership import MembershipSettings
from .order_duty import OrderSettings
from .rollout import RolloutSettings
from .settings import RouterSettings
from .subsets import SubsetPolicy

__all__ = (
    'drain_settings',
    'member_settings',
    'order_settings',
    'rollout_settings',
    'server_limits',
    'subset_policy',
)

_MS: Final = 1000


def drain_settings(settings: RouterSettings) -> DrainSettings:
    """
    Read the times of a drain.

    :param settings: the router's settings.
    :returns: times in seconds.
    """
    return DrainSettings(
        settings.drain_grace_ms / _MS, settings.drain_limit_ms / _MS
    )


def member_settings(settings: RouterSettings) -> MembershipSettings:
    """
    Read the periods of the membership.

    :param settings: the router's settings.
    :returns: periods in seconds, and seeds.
    """
    return MembershipSettings(
        heartbeat_s=settings.heartbeat_ms / _MS,
        poll_s=settings.vm_list_ms / _MS,
        seeds=settings.seed_peers,
    )


def order_settings(settings: RouterSettings) -> OrderSettings:
    """
    Read the pace of orders to engines.

    :param settings: the router's settings.
    :returns: times in seconds, and rates.
    """
    return OrderSettings(
        lease_s=settings.lease_ms / _MS,
        check_s=settings.engine_check_ms / _MS,
        reads_per_s=settings.engine_reads_per_s,
        loads_per_s=settings.weight_reads_per_s,
    )


def rollout_settings(settings: RouterSettings) -> RolloutSettings:
    """
    Read the settings of the rollout.

    :param settings: the router's settings.
    :returns: keys, and times in seconds.
    """
    return RolloutSettings(
        failure_domain=settings.failure_domain,
        trusted_keys=settings.trusted_keys,
        watch_s=settings.watch_wait_ms / _MS,
        offer_s=settings.offer_wait_ms / _MS,
        frozen_s=settings.frozen_after_ms / _MS,
    )


def server_limits(settings: RouterSettings) -> ServerLimits:
    """
    Read the bounds on callers.

    :param settings: the router's settings.
    :returns: sizes in bytes, times in seconds.
    """
    return ServerLimits(
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        header_timeout_s=settings.header_timeout_ms / _MS,
        body_timeout_s=settings.body_timeout_ms / _MS,
        idle_timeout_s=settings.idle_timeout_ms / _MS,
    )


def subset_policy(settings: RouterSettings) -> SubsetPolicy:
    """
    Read which servers of a large service the router uses.

    :param settings: the router's settings.
    :returns: the router's place and the size of its subsets.
    """
    return SubsetPolicy(
        settings.vm, settings.failure_domain, settings.servers_per_service
    )
