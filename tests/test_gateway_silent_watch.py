"""
tests.test_gateway_silent_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against waiting for watches whose connection has stalled, or that began
before a restore of the store.
"""

from functools import partial

import testtools
import trio

from eelgrassfork.gateway.roster import FleetView
from eelgrassfork.gateway.silent_watch import cancel_if_outdated
from eelgrassfork.gateway.store import StoreError, StoreUnavailable
from eelgrassfork.gateway.store_era import StoreEra
from eelgrassfork.gateway.watch_role import WatchPolicy

from .mock_clock import run
from .test_gateway_watch_role import make_role, receive_store_read


async def answer(after_s):
    await trio.sleep(after_s)
    return [], 7


async def fail():
    await trio.sleep(0.1)
    raise StoreUnavailable('refused', 'no')


class SilentWatchTests(testtools.TestCase):
    def watch(self, call, store_read_every_s=None, restored_after_s=None):
        async def main():
            era = StoreEra()
            era.observe(1, 'store')
            role = make_role('n', lambda: FleetView(1, ('n',)))
            receive_store_read(role)
            async with trio.open_nursery() as nursery:
                if store_read_every_s:
                    nursery.start_soon(
                        self.send_store_reads, role, store_read_every_s
                    )
                if restored_after_s:
                    nursery.start_soon(self.restore, era, restored_after_s)
                started_at = trio.current_time()
                try:
                    found = await cancel_if_outdated(role, era, call)
                except StoreError as error:
                    found = error.code
                nursery.cancel_scope.cancel()
            return found, trio.current_time() - started_at

        return run(main)

    async def send_store_reads(self, role, every_s):
        while True:
            receive_store_read(role)
            await trio.sleep(every_s)

    async def restore(self, era, after_s):
        await trio.sleep(after_s)
        era.observe(2, 'n2')

    def test_result_and_error_of_a_watch_are_passed_on(self):
        self.assertEqual(([], 7), self.watch(partial(answer, 0.5))[0])
        self.assertEqual('refused', self.watch(fail)[0])

    def test_watch_is_cancelled_once_no_router_has_read_the_store(self):
        found, spent_s = self.watch(partial(answer, 6))
        self.assertEqual('watch_silent', found)
        self.assertLess(spent_s, WatchPolicy().max_silence_s + 0.5)

    def test_watch_continues_while_other_routers_read_the_store(self):
        found, _ = self.watch(partial(answer, 6), store_read_every_s=0.5)
        self.assertEqual(([], 7), found)

    def test_watch_is_cancelled_once_a_restore_is_known(self):
        found, spent_s = self.watch(
            partial(answer, 6), store_read_every_s=0.5, restored_after_s=2
        )
        self.assertEqual('former_era', found)
        self.assertLess(spent_s, 2.5)
