"""
tests.test_claims
~~~~~~~~~~~~~~~~~

Guards against two holders of one claim, and claims that stay blocked.
"""

import functools
import random

import testtools
import trio
import trio.testing

from eelgrassfork import claim_records as records
from eelgrassfork.claims import Claims, ClaimsIdentity, NewClaim
from eelgrassfork.errors import RequestError
from eelgrassfork.platform_types import AnswerLost, PlatformUnavailable
from standins.fake_platform import FakePlatform

WANTED = NewClaim('pazlen/atelier/main', 'key-1', 'hash', 'req-1', 5)
KEY = records.object_key(WANTED.budget, WANTED.key)
ANSWER = records.make_stored_answer(200, {'etag': 'a'}, b'cut')


class Routers:
    """A fake platform, and routers that make claims on it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.platform = FakePlatform()
        self.nursery = nursery
        self.dead = set()

    async def start(self, vm: str) -> Claims:
        holder = f'{vm}.1'
        identity = ClaimsIdentity(holder, lambda: 1, self.is_dead)
        claims = Claims(self.platform.for_client(vm), identity)
        await claims.start(self.nursery)
        return claims

    def is_dead(self, holder: str, listed_at: int) -> bool:
        return holder in self.dead

    def stored(self) -> records.ClaimRecord:
        return records.decode_claim(self.platform.core.objects.get(KEY).body)


def run_routers(test):
    @functools.wraps(test)
    def wrapper(self):
        async def main():
            async with trio.open_nursery() as nursery:
                await test(self, Routers(nursery))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return wrapper


async def code_of(claims: Claims, wanted: NewClaim = WANTED) -> str:
    try:
        await claims.claim(wanted)
    except RequestError as error:
        return error.code
    except records.ReplayedAnswer:
        return 'replay'
    return 'claimed'


class ClaimTests(testtools.TestCase):
    @run_routers
    async def test_repeated_key_is_answered_by_claim_state(self, routers):
        first, second = await routers.start('a'), await routers.start('b')
        claim = await first.claim(WANTED)
        self.assertEqual('request_in_progress', await code_of(second))
        await first.record(claim, 'released')
        reused = await code_of(second, WANTED._replace(body_hash='other'))
        self.assertEqual('idempotency_key_reused', reused)
        claim = await second.claim(WANTED)
        routers.dead.add('b.1')
        self.assertEqual('outcome_unknown', await code_of(first))
        await second.record(claim, 'ran', ANSWER)
        self.assertEqual('replay', await code_of(first))

    @run_routers
    async def test_lost_answers_and_lost_writes_are_retried(self, routers):
        claims = await routers.start('a')
        for fault in ('lose_answers', 'drop_writes'):
            wanted = WANTED._replace(key=fault)
            routers.platform.set_faults(**{fault: 1})
            claim = await claims.claim(wanted)
            routers.platform.set_faults(**{fault: 1})
            await claims.record(claim, 'ran', ANSWER)
            self.assertEqual(0, claims.writer.pending)
            self.assertEqual('replay', await code_of(claims, wanted))

    @run_routers
    async def test_delayed_claim_of_a_refused_request_is_released(
        self, routers
    ):
        first, second = await routers.start('a'), await routers.start('b')
        # Every write takes effect after its caller has timed out.
        routers.platform.set_faults(delay_s=5)
        self.assertEqual('claim_unreachable', await code_of(first))
        routers.platform.set_faults(delay_s=0)
        await trio.sleep(30)
        self.assertEqual(0, first.writer.pending)
        self.assertEqual('released', routers.stored().state)
        self.assertEqual('claimed', await code_of(second))

    @run_routers
    async def test_release_of_unconfirmed_claim_keeps_the_next_claim(
        self, routers
    ):
        first, second = await routers.start('a'), await routers.start('b')
        routers.platform.set_faults(drop_writes=3)
        self.assertEqual('claim_unreachable', await code_of(first))
        self.assertEqual('claimed', await code_of(second))
        await trio.sleep(30)
        self.assertEqual('b.1', routers.stored().holder)
        self.assertEqual('claimed', routers.stored().state)

    @run_routers
    async def test_outcome_is_correct_if_platform_is_down_before_the_claim(
        self, routers
    ):
        claims = await routers.start('a')
        routers.platform.set_faults(down=True)
        for first_attempt, outcome in ((True, 'not_run'), (False, 'unknown')):
            wanted = WANTED._replace(first_attempt=first_attempt)
            try:
                await claims.claim(wanted)
            except RequestError as error:
                reported = error.code, error.outcome, error.attempt
                expected = 'claim_unreachable', outcome, 'not_run'
                self.assertEqual(expected, reported)
        self.assertEqual(0, claims.writer.pending)

    @run_routers
    async def test_outcome_survives_an_outage(self, routers):
        first, second = await routers.start('a'), await routers.start('b')
        claim = await first.claim(WANTED)
        routers.platform.set_faults(cut=('a',))
        await first.record(claim, 'ran', ANSWER)
        self.assertEqual('replay', await code_of(first))
        self.assertEqual('request_in_progress', await code_of(second))
        await trio.sleep(60)
        self.assertEqual(1, first.writer.pending)
        routers.platform.set_faults(cut=(), lose_answers=1)
        await trio.sleep(10)
        self.assertEqual(0, first.writer.pending)
        self.assertEqual('replay', await code_of(second))

    @run_routers
    async def test_claims_are_listed_by_payer_for_reclaim(self, routers):
        claims = await routers.start('a')
        payers = [f'a.1/{WANTED.budget}/{number}' for number in range(3)]
        own, lent, done = [
            await claims.claim(WANTED._replace(key=payer, payer=payer))
            for payer in payers
        ]
        lender = f'c.1/{WANTED.budget}/4'
        lent = await claims.update_payer(lent, lender)
        await claims.record(done, 'released')
        self.assertEqual([own.record], await claims.list_by_payer('a.1/'))
        for prefix in ('c.1/', lender):
            self.assertEqual([lent.record], await claims.list_by_payer(prefix))
        self.assertEqual([], await claims.list_by_payer('a.1/other'))


class FlakyStore(FakePlatform):
    """Fails writes or loses their answers, chosen by a seeded generator."""

    rng: random.Random

    async def put(self, key, body, expected_version):
        await trio.sleep(self.rng.random())
        fault = self.rng.random()
        if fault < 0.2:
            raise PlatformUnavailable('down', 'no effect')
        if fault < 0.4:
            raise AnswerLost('dropped', 'no effect')
        version = await super().put(key, body, expected_version)
        if fault < 0.6:
            raise AnswerLost('lost', 'took effect')
        return version


class RaceTests(testtools.TestCase):
    def test_at_most_one_claim_is_held_under_lost_writes(self):
        for seed in range(200):
            clock = trio.testing.MockClock(autojump_threshold=0)
            counts = trio.run(self.race, seed, clock=clock)
            with self.subTest(seed=seed):
                self.assertTrue(max(counts, default=0) <= 1, counts)

    async def race(self, seed: int) -> list[int]:
        store = FlakyStore()
        store.rng = random.Random(seed)
        holding, counts = [], []

        async def attempt(number):
            await trio.sleep(store.rng.random())
            claims = Claims(
                store,
                ClaimsIdentity(f'{number}.1', lambda: 1, lambda *_: False),
            )
            async with trio.open_nursery() as own:
                await claims.start(own)
                if await code_of(claims) == 'claimed':
                    holding.append(number)
                    counts.append(len(holding))
                    await trio.sleep(1)
                await trio.sleep(30)
                self.assertEqual(0, claims.writer.pending)
                own.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(attempt, number)
        return counts
