"""
eelgrassfork.gateway.node_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of one router process.
"""

from typing import NamedTuple

__all__ = ('Bounds', 'NodeSettings')


class Bounds(NamedTuple):
    """
    Operational limits that the fleet must observe.

    :param grace_s: time between SIGTERM and SIGKILL.
    :param config_s: maximum time from the store's acknowledgement of a new
        configuration until all routers apply it.
    :param retry_ratio: maximum retries of all routers, as a fraction of
        requests.
    :param retry_window_s: length of the window in which retries are counted.
    :param retry_slack: retries allowed per window in addition to the ratio.
    :param evacuation_s: maximum time from the store's acknowledgement of an
        evacuation until no router sends new requests to the failure domain;
        ``None`` if the deployment has no evacuations.
    """

    grace_s: float = 8
    config_s: float = 2
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 20
    evacuation_s: float | None = None


class NodeSettings(NamedTuple):
    """
    Identity, listen addresses, peers, store and limits of a router.

    :param node: name of the VM.
    :param caller_address: ``ip:port`` for callers.
    :param ready_address: ``ip:port`` for the load balancer's health checks.
    :param peer_address: ``ip:port`` for other routers; the port is the same
        on every VM.
    :param first_internal_port: first port of the range for traffic between
        routers.
    :param last_internal_port: last port of this range.
    :param seeds: peer addresses of some VMs, which may be down.
    :param first_start: whether the whole fleet starts for the first time.
    :param link_mbps: bandwidth of the VM's network link, in Mbit/s.
    :param is_contended: whether callers compete for more capacity than
        there is, so that requests wait for credit together and busy routers
        send some of theirs to others.
    :param regions_by_domain: region of each failure domain, as far as known.
    :param memory_mb: memory of the VM, in MB; 0 if unknown.
    :param max_fds: file descriptors that the process may open; 0 if unknown.
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
    is_contended: bool = False
    regions_by_domain: dict[str, str] = {}
    memory_mb: float = 0
    max_fds: float = 0

    @property
    def is_seed(self) -> bool:
        """Whether this router is a seed, or no seeds are configured."""
        return not self.seeds or self.peer_address in self.seeds
