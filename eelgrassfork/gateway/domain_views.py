"""
eelgrassfork.gateway.domain_views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of the other failure domains, as received in heartbeats.

Reported ages exclude the time in transit.  Routers that received the state of
a domain from one of its routers relay its age as it is; others add to it.
"""

from typing import Final

import trio

from .heartbeats import DomainView, Heartbeat

__all__ = ('DomainViews',)

# Three heartbeat intervals; random loss does not affect several routers for
# that long.
_PARTITION_TIMEOUT_S: Final = 0.8
# Each router receives two heartbeats of other domains within this time.
_DIRECT_VALID_S: Final = 0.5
# Added to ages on each hop.  Longer than most heartbeats take in transit, so
# that state relayed in loops still ages.
_RELAY_AGE_MS: Final = 50
_MS_PER_S: Final = 1000
_NEVER: Final = float('-inf')


class DomainViews:
    """
    Newest state of each of the other failure domains.

    :param failure_domain: that of this router; it is not included.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._views_by_domain: dict[str, tuple[float, DomainView]] = {}
        self._heartbeat_at_by_domain: dict[str, float] = {}
        self._other_domain_at: float = _NEVER
        # Last contact that other routers of the same domain reported.
        self._relayed_contact_at: float = _NEVER

    @property
    def other_domain_age_ms(self) -> int | None:
        """
        Time since this router received a heartbeat from another domain.

        ``None`` if it never did.
        """
        if self._other_domain_at == _NEVER:
            return None
        return int((trio.current_time() - self._other_domain_at) * _MS_PER_S)

    @property
    def is_partitioned(self) -> bool:
        """Whether contact with all other domains was lost."""
        contact_at = max(self._other_domain_at, self._relayed_contact_at)
        if contact_at == _NEVER:
            return False
        return trio.current_time() - contact_at > _PARTITION_TIMEOUT_S

    def apply_heartbeat(
        self, heartbeat: Heartbeat, trust_same_domain: bool
    ) -> None:
        """
        Update the state of failure domains from a heartbeat.

        :param heartbeat: of another router.
        :param trust_same_domain: whether contact with other domains that a
            router of the same domain reports counts; in a full mesh each
            router receives their heartbeats itself.
        """
        now_s = trio.current_time()
        domain = heartbeat.failure_domain
        if domain != self._failure_domain:
            self._other_domain_at = now_s
            self._heartbeat_at_by_domain[domain] = now_s
        elif heartbeat.other_domain_age_ms is not None and trust_same_domain:
            age_ms = max(0, heartbeat.other_domain_age_ms)
            contact_at = now_s - age_ms / _MS_PER_S
            self._relayed_contact_at = max(self._relayed_contact_at, contact_at)
        default = DomainView(domain, 1, heartbeat.node, heartbeat.ip, 0)
        for view in heartbeat.domains or (default,):
            self._update(view, now_s - max(0, view.age_ms) / _MS_PER_S)

    def recent_views(self, max_age_s: float) -> list[DomainView]:
        """
        List the known state of other failure domains.

        :param max_age_s: older state is left out.
        :returns: views with their current age.
        """
        now_s = trio.current_time()
        return [
            view._replace(age_ms=int((now_s - at) * _MS_PER_S))
            for at, view in self._views_by_domain.values()
            if now_s - at <= max_age_s
        ]

    def direct_views(self) -> list[DomainView]:
        """
        List state received directly from routers of the failure domains.

        :returns: views of the last half second, with their current age.
        """
        oldest = trio.current_time() - _DIRECT_VALID_S
        return [
            view
            for view in self.recent_views(_DIRECT_VALID_S)
            if self._heartbeat_at_by_domain.get(view.failure_domain, _NEVER)
            >= oldest
        ]

    def views_to_relay(self, max_age_s: float) -> list[DomainView]:
        """
        List the state of other failure domains that heartbeats relay.

        :param max_age_s: older state is left out.
        :returns: views; the age of those not received directly is increased.
        """
        direct = self.direct_views()
        names = {view.failure_domain for view in direct}
        return direct + [
            view._replace(age_ms=view.age_ms + _RELAY_AGE_MS)
            for view in self.recent_views(max_age_s)
            if view.failure_domain not in names
        ]

    def _update(self, view: DomainView, at: float) -> None:
        name = view.failure_domain
        known_at = self._views_by_domain.get(name, (_NEVER, None))[0]
        if name != self._failure_domain and at >= known_at:
            self._views_by_domain[name] = (at, view)
