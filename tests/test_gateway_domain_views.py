"""
tests.test_gateway_domain_views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against old news that replace newer ones, and cuts that go unnoticed.
"""

import testtools
import trio

from eelgrassfork.gateway.domain_views import DomainViews
from eelgrassfork.gateway.heartbeats import DomainView, Heartbeat

from .mock_clock import run


def says(domain, *views, **changes):
    beat = Heartbeat('n', '10.0.0.1', 1, domain, domains=views)
    return beat._replace(**changes)


class DomainViewsTests(testtools.TestCase):
    def test_newest_view_wins_whoever_tells_it(self):
        async def main():
            views = DomainViews('d0')
            views.take(says('d2', DomainView('d1', 7, 'new', 'ip', 100)), True)
            views.take(says('d2', DomainView('d1', 9, 'old', 'ip', 900)), True)
            await trio.sleep(1)
            return views.newest(5), views.newest(1)

        (view,), lately = run(main)
        self.assertEqual(('new', 7, 1100), (view.keeper, view.routers, view[4]))
        self.assertEqual([], lately)

    def test_only_what_a_domain_says_itself_is_told_on(self):
        # What is told on and on seems newer than it is.
        async def main():
            views = DomainViews('d0')
            views.take(says('d2', DomainView('d1', 7, 'k', 'ip', 100)), True)
            known = [view.failure_domain for view in views.newest(5)]
            views.take(says('d1'), True)
            told = [view.failure_domain for view in views.first_hand()]
            await trio.sleep(1.1)
            return known, told, views.first_hand()

        self.assertEqual((['d1'], ['d1'], []), run(main))

    def test_what_others_told_of_a_domain_ages_when_it_is_told_on(self):
        async def main():
            views = DomainViews('d0')
            views.take(says('d2', DomainView('d1', 7, 'k', 'ip', 100)), True)
            views.take(says('d3'), True)
            return {
                view.failure_domain: view.age_ms for view in views.to_tell_on(5)
            }

        self.assertEqual({'d1': 150, 'd3': 0}, run(main))

    def test_own_domain_has_no_view(self):
        async def main():
            views = DomainViews('d0')
            views.take(says('d1', DomainView('d0', 7, 'k', 'ip', 0)), True)
            return views.newest(5)

        self.assertEqual([], run(main))

    def test_domain_that_no_router_of_its_own_hears_is_cut_off(self):
        async def main():
            views = DomainViews('d0')
            found = [views.is_partitioned]
            views.take(says('d1'), True)
            await trio.sleep(1)
            found.append(views.is_partitioned)
            views.take(says('d0', outside_age_ms=200), True)
            found.append(views.is_partitioned)
            await trio.sleep(1)
            views.take(says('d0', outside_age_ms=1), trust_near=False)
            return [*found, views.is_partitioned]

        self.assertEqual([False, True, False, True], run(main))

    def test_cut_that_others_noticed_later_is_not_told_as_contact(self):
        async def main():
            views = DomainViews('d0')
            views.take(says('d1'), True)
            await trio.sleep(1)
            views.take(says('d0', outside_age_ms=200), True)
            return views.outside_age_ms

        self.assertEqual(1000, run(main))
