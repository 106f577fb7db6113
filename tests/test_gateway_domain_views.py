"""
tests.test_gateway_domain_views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against stale state that replaces newer state, and against undetected
partitions.
"""

import testtools
import trio

from eelgrassfork.gateway.domain_views import DomainViews
from eelgrassfork.gateway.heartbeats import DomainView, Heartbeat

from .mock_clock import run


def make_heartbeat(domain, *views, **changes):
    heartbeat = Heartbeat('n', '10.0.0.1', 1, domain, domains=views)
    return heartbeat._replace(**changes)


class DomainViewsTests(testtools.TestCase):
    def test_newest_view_wins_regardless_of_the_sender(self):
        async def main():
            views = DomainViews('d0')
            views.apply_heartbeat(
                make_heartbeat('d2', DomainView('d1', 7, 'new', 'ip', 100)),
                True,
            )
            views.apply_heartbeat(
                make_heartbeat('d2', DomainView('d1', 9, 'old', 'ip', 900)),
                True,
            )
            await trio.sleep(1)
            return views.recent_views(5), views.recent_views(1)

        (view,), recent = run(main)
        self.assertEqual(('new', 7, 1100), (view.keeper, view.routers, view[4]))
        self.assertEqual([], recent)

    def test_direct_views_come_from_routers_of_the_domain(self):
        # State that is relayed repeatedly seems newer than it is.
        async def main():
            views = DomainViews('d0')
            views.apply_heartbeat(
                make_heartbeat('d2', DomainView('d1', 7, 'k', 'ip', 100)), True
            )
            known = [view.failure_domain for view in views.recent_views(5)]
            views.apply_heartbeat(make_heartbeat('d1'), True)
            direct = [view.failure_domain for view in views.direct_views()]
            await trio.sleep(1.1)
            return known, direct, views.direct_views()

        self.assertEqual((['d1'], ['d1'], []), run(main))

    def test_relaying_increases_the_age_of_indirect_views(self):
        async def main():
            views = DomainViews('d0')
            views.apply_heartbeat(
                make_heartbeat('d2', DomainView('d1', 7, 'k', 'ip', 100)), True
            )
            views.apply_heartbeat(make_heartbeat('d3'), True)
            return {
                view.failure_domain: view.age_ms
                for view in views.views_to_relay(5)
            }

        self.assertEqual({'d1': 150, 'd3': 0}, run(main))

    def test_own_domain_has_no_view(self):
        async def main():
            views = DomainViews('d0')
            views.apply_heartbeat(
                make_heartbeat('d1', DomainView('d0', 7, 'k', 'ip', 0)), True
            )
            return views.recent_views(5)

        self.assertEqual([], run(main))

    def test_partition_is_detected_once_no_router_has_contact(self):
        async def main():
            views = DomainViews('d0')
            found = [views.is_partitioned]
            views.apply_heartbeat(make_heartbeat('d1'), True)
            await trio.sleep(1)
            found.append(views.is_partitioned)
            views.apply_heartbeat(
                make_heartbeat('d0', other_domain_age_ms=200), True
            )
            found.append(views.is_partitioned)
            await trio.sleep(1)
            views.apply_heartbeat(
                make_heartbeat('d0', other_domain_age_ms=1),
                trust_same_domain=False,
            )
            return [*found, views.is_partitioned]

        self.assertEqual([False, True, False, True], run(main))

    def test_reported_contact_of_others_is_not_relayed_as_own(self):
        async def main():
            views = DomainViews('d0')
            views.apply_heartbeat(make_heartbeat('d1'), True)
            await trio.sleep(1)
            views.apply_heartbeat(
                make_heartbeat('d0', other_domain_age_ms=200), True
            )
            return views.other_domain_age_ms

        self.assertEqual(1000, run(main))
