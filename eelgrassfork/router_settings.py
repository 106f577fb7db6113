"""
eelgrassfork.router_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Converts a router's settings into the settings of its components.
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

_MS_PER_S: Final = 1000


def drain_settings(settings: RouterSettings) -> DrainSettings:
    """
    Convert the settings of graceful shutdown.

    :param settings: the router's settings.
    :returns: durations in seconds.
    """
    return DrainSettings(
        settings.drain_grace_ms / _MS_PER_S, settings.drain_limit_ms / _MS_PER_S
    )


def member_settings(settings: RouterSettings) -> MembershipSettings:
    """
    Convert the settings of the membership.

    :param settings: the router's settings.
    :returns: intervals in seconds, and seed peers.
    """
    return MembershipSettings(
        heartbeat_s=settings.heartbeat_ms / _MS_PER_S,
        poll_s=settings.vm_list_ms / _MS_PER_S,
        seeds=settings.seed_peers,
    )


def order_settings(settings: RouterSettings) -> OrderSettings:
    """
    Convert the settings of engine orders.

    :param settings: the router's settings.
    :returns: durations in seconds, and rates per second.
    """
    return OrderSettings(
        lease_s=settings.lease_ms / _MS_PER_S,
        check_s=settings.engine_check_ms / _MS_PER_S,
        reads_per_s=settings.engine_reads_per_s,
        loads_per_s=settings.weight_reads_per_s,
    )


def rollout_settings(settings: RouterSettings) -> RolloutSettings:
    """
    Convert the settings of the bundle rollout.

    :param settings: the router's settings.
    :returns: trusted keys, and durations in seconds.
    """
    return RolloutSettings(
        failure_domain=settings.failure_domain,
        trusted_keys=settings.trusted_keys,
        watch_s=settings.watch_wait_ms / _MS_PER_S,
        offer_s=settings.offer_wait_ms / _MS_PER_S,
        frozen_s=settings.frozen_after_ms / _MS_PER_S,
    )


def server_limits(settings: RouterSettings) -> ServerLimits:
    """
    Convert the limits of the caller listener.

    :param settings: the router's settings.
    :returns: sizes in bytes, durations in seconds.
    """
    return ServerLimits(
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        header_timeout_s=settings.header_timeout_ms / _MS_PER_S,
        body_timeout_s=settings.body_timeout_ms / _MS_PER_S,
        idle_timeout_s=settings.idle_timeout_ms / _MS_PER_S,
    )


def subset_policy(settings: RouterSettings) -> SubsetPolicy:
    """
    Convert the settings that limit the servers used for each service.

    :param settings: the router's settings.
    :returns: the router's VM, failure domain and subset size.
    """
    return SubsetPolicy(
        settings.vm, settings.failure_domain, settings.servers_per_service
    )
