"""
eelgrassfork.gateway.domain_views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Failure domains other than the own one, as routers describe them.

Told ages lose the time on the way.  What is told of a domain is told on by
those that heard it from a router there, and by others with a higher age.
"""

from typing import Final

import trio

from .heartbeats import DomainView, Heartbeat

__all__ = ('DomainViews',)

# Three heartbeats of several routers in a row do not get lost by chance.
_CUT_OFF_S: Final = 0.8
# Two heartbeats of other domains reach each router in this time.
_TELL_S: Final = 0.5
# Longer than a heartbeat mostly takes, so that what routers tell
# each other over and over does not stay new.
_RELAY_MS: Final = 50
_MS_PER_S: Final = 1000
_NEVER: Final = float('-inf')


class DomainViews:
    """
    The newest view of each failure domain.

    :param failure_domain: the own one, which has no view here.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._views_by_domain: dict[str, tuple[float, DomainView]] = {}
        self._spoke_at_by_domain: dict[str, float] = {}
        self._outside_at: float = _NEVER
        # When other routers of the own domain heard another one.
        self._told_outside_at: float = _NEVER

    @property
    def outside_age_ms(self) -> int | None:
        """
        Time since this router heard another domain.

        ``None`` if it never did.
        """
        if self._outside_at == _NEVER:
            return None
        return int((trio.current_time() - self._outside_at) * _MS_PER_S)

    @property
    def is_partitioned(self) -> bool:
        """Whether other domains were heard, and none of them lately."""
        outside_at = max(self._outside_at, self._told_outside_at)
        if outside_at == _NEVER:
            return False
        return trio.current_time() - outside_at > _CUT_OFF_S

    def take(self, heartbeat: Heartbeat, trust_near: bool) -> None:
        """
        Take over what a router says of failure domains.

        :param heartbeat: of another router.
        :param trust_near: whether a router of the own domain may tell that
            it heard others; in a small fleet each hears them itself.
        """
        now_s = trio.current_time()
        domain = heartbeat.failure_domain
        if domain != self._failure_domain:
            self._outside_at = now_s
            self._spoke_at_by_domain[domain] = now_s
        elif heartbeat.outside_age_ms is not None and trust_near:
            age_ms = max(0, heartbeat.outside_age_ms)
            outside_at = now_s - age_ms / _MS_PER_S
            self._told_outside_at = max(self._told_outside_at, outside_at)
        said = DomainView(domain, 1, heartbeat.node, heartbeat.ip, 0)
        for view in heartbeat.domains or (said,):
            self._put(view, now_s - max(0, view.age_ms) / _MS_PER_S)

    def newest(self, within_s: float) -> list[DomainView]:
        """
        List what is known of other failure domains.

        :param within_s: oldest age that counts.
        :returns: views with their present age.
        """
        now_s = trio.current_time()
        return [
            view._replace(age_ms=int((now_s - at) * _MS_PER_S))
            for at, view in self._views_by_domain.values()
            if now_s - at <= within_s
        ]

    def first_hand(self) -> list[DomainView]:
        """
        List what routers of other failure domains just told this one.

        :returns: views with their present age.
        """
        oldest = trio.current_time() - _TELL_S
        return [
            view
            for view in self.newest(_TELL_S)
            if self._spoke_at_by_domain.get(view.failure_domain, _NEVER)
            >= oldest
        ]

    def to_tell_on(self, within_s: float) -> list[DomainView]:
        """
        List all that is known of other failure domains, to be told on.

        :param within_s: oldest age that counts.
        :returns: views, those that were not heard just now with a higher age.
        """
        heard = self.first_hand()
        names = {view.failure_domain for view in heard}
        return heard + [
            view._replace(age_ms=view.age_ms + _RELAY_MS)
            for view in self.newest(within_s)
            if view.failure_domain not in names
        ]

    def _put(self, view: DomainView, at: float) -> None:
        name = view.failure_domain
        known_at = self._views_by_domain.get(name, (_NEVER, None))[0]
        if name != self._failure_domain and at >= known_at:
            self._views_by_domain[name] = (at, view)
