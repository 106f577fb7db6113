"""
eelgrassfork.gateway.node_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of one router process.
"""

from typing import NamedTuple

__all__ = ('Bounds', 'NodeSettings')


class Bounds(NamedTuple):
    """
    Bounds that operators hold the fleet to.

    :param grace_s: time between SIGTERM and SIGKILL.
    :param config_s: time from the store's answer to a new configuration
        until it is in force everywhere.
    :param retry_ratio: repeated sends of all routers, as a fraction of
        requests.
    :param retry_window_s: time over which repeated sends are counted.
    :param retry_slack: repeated sends allowed on top in that time.
    """

    grace_s: float = 8
    config_s: float = 2
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 20


class NodeSettings(NamedTuple):
    """
    Where a router listens, and what it talks to.

    :param node: name of the VM.
    :param caller_address: ``ip:port`` for callers.
    :param ready_address: ``ip:port`` for the load balancer's checks.
    :param peer_address: ``ip:port`` for other routers; the port is the same
        on every VM.
    :param first_internal_port: first port for use between routers.
    :param last_internal_port: last of these ports.
    :param seeds: peer addresses of some VMs; they may be down.
    :param first_start: whether the whole fleet starts for the first time.
    :param link_mbps: speed of the VM's link.
    """

    node: str
    failure_domain: str
    ip: str
    caller_address: str
    ready_address: str
    peer_address: str
    first_internal_port: int
    last_internal_port: int
    seeds: tuple[str, ...]
    store_address: str
    bounds: Bounds
    first_start: bool = False
    link_mbps: float = 1

    @property
    def is_seed(self) -> bool:
        """Whether no other router can be asked before this one."""
        return not self.seeds or self.peer_address in self.seeds
