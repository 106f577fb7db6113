"""
tests.test_placement
~~~~~~~~~~~~~~~~~~~~

Guards against orders that repeat without end, accumulate, or take all
engines of a service out of use at the same time.
"""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork import placement
from eelgrassfork.bundle_types import Service
from eelgrassfork.engine_types import EngineState
from eelgrassfork.placement import EngineView, Order, PlacementPolicy
from eelgrassfork.vm_list import VmRecord

SERVICE = Service(
    'p/matcher', 'model', 'm', version='v2', adapters=('a', 'b'), role='decode'
)
names = st.sampled_from(['m', 'a', 'b', 'c'])


def carried_out(order: Order, state: EngineState) -> EngineState:
    if order.kind == 'load_version':
        return EngineState(state.models, order.name, state.role)
    if order.kind == 'change_role':
        return EngineState(state.models, state.version, order.name)
    return EngineState((*state.models, order.name), state.version, state.role)


def router(vm: str, fleet: str = 'p', state: str = 'live') -> VmRecord:
    return VmRecord(vm, 'router', state, fleet, '', f'{fleet}/a', 'r', '')


class NextOrderTests(testtools.TestCase):
    @settings(derandomize=True)
    @given(
        st.lists(names, unique=True),
        st.sampled_from(['', 'v1', 'v2']),
        st.sampled_from(['both', 'decode']),
    )
    def test_orders_lead_to_the_desired_state_once_each(
        self, models, version, role
    ):
        state = EngineState(tuple(models), version, role)
        given_orders = []
        while order := placement.next_order(SERVICE, state):
            given_orders.append(order)
            state = carried_out(order, state)
        self.assertEqual(len(set(given_orders)), len(given_orders))
        self.assertTrue({'m', 'a', 'b'} <= set(state.models))
        self.assertEqual(('v2', 'decode'), (state.version, state.role))

    def test_no_order_for_unspecified_state_or_a_leaving_engine(self):
        anything = Service('p/matcher', 'model', 'm')
        state = EngineState(('m',), 'v7', 'prefill')
        leaving = EngineState((), leaving=True)
        self.assertIsNone(placement.next_order(anything, state))
        self.assertIsNone(placement.next_order(SERVICE, leaving))


class PlanTests(testtools.TestCase):
    def test_service_keeps_serving_while_its_engines_load(self):
        old, empty = EngineState(('m',), 'v1'), EngineState(())
        load = Order('load_version', 'v2')
        cases = (
            ('quarter', [EngineView(f'vm-{n}', old) for n in range(8)], 2),
            ('at least one', [EngineView('vm-1', old)], 1),
            (
                'one loads',
                [EngineView('vm-0', old, load)]
                + [EngineView(f'vm-{n}', old) for n in range(1, 8)],
                1,
            ),
            ('empty', [EngineView(f'vm-{n}', empty) for n in range(8)], 8),
            ('unknown', [EngineView('vm-1', None)], 0),
            ('failed', [EngineView('vm-1', old, may_try=False)], 0),
            ('busy', [EngineView('vm-1', empty, load)], 0),
        )
        for name, views, expected in cases:
            with self.subTest(name=name):
                plan = placement.plan_orders(SERVICE, views, PlacementPolicy())
                self.assertEqual(expected, len(plan))
                self.assertEqual(expected, len(dict(plan)))


class CandidateTests(testtools.TestCase):
    def test_routers_agree_on_live_candidates_of_the_fleet(self):
        routers = [router(f'vm-{n}') for n in range(9)]
        chosen = placement.issuer_candidates('p/matcher', routers)
        self.assertEqual(
            chosen, placement.issuer_candidates('p/matcher', routers[::-1])
        )
        left = [each for each in routers if each.vm != chosen[0]]
        others = [router(chosen[0], state='leaving'), router('vm-x', 'q')]
        after = placement.issuer_candidates('p/matcher', left + others)
        self.assertEqual(chosen[1], after[0])
        self.assertNotIn('vm-x', after)
        self.assertEqual(
            ['vm-x'],
            placement.issuer_candidates('p/matcher', [router('vm-x', 'q')]),
        )
