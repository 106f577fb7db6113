"""
tests.test_gateway_store_era
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against restores of the store that are missed, or seen where there is
none.
"""

import testtools
import trio

from eelgrassfork.gateway.store_era import StoreEra

from .mock_clock import run


def observe(*numbers):
    async def main():
        era = StoreEra()
        restores = []
        era.subscribe(lambda: restores.append(era.current))
        for number in numbers:
            era.observe(number, 'store')
        await trio.sleep(2)
        return restores, era.dump()

    return run(main)


class StoreEraTests(testtools.TestCase):
    def test_first_answer_is_no_restore(self):
        restores, state = observe(4, 4)
        self.assertEqual([], restores)
        self.assertEqual({'number': 4, 'restored_s_ago': None}, state)

    def test_each_restore_is_reported_once(self):
        restores, state = observe(1, 2, 2, 5)
        self.assertEqual([2, 5], restores)
        self.assertEqual({'number': 5, 'restored_s_ago': 2}, state)

    def test_answer_of_an_earlier_era_changes_nothing(self):
        restores, state = observe(1, 2, 1)
        self.assertEqual([2], restores)
        self.assertEqual(2, state['number'])
