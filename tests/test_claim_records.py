"""
tests.test_claim_records
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against untrue outcomes for repeated keys.
"""

import msgspec
import testtools

from eelgrassfork import claim_records as records

ANSWER = records.ClaimAnswer(201, (('etag', 'a'),), b'\x00\xff')
RECORD = records.ClaimRecord(
    body_hash='hash',
    holder='vm-1.ab',
    listed_at=3,
    nonce='n',
    request_id='req-1',
    price=5,
)


def record(**changes) -> records.ClaimRecord:
    return msgspec.structs.replace(RECORD, **changes)


class RepeatTests(testtools.TestCase):
    cases = (
        ('ran', ANSWER, 'hash', False, 'replay', ''),
        ('ran', records.ClaimAnswer(200), 'hash', False, 'answer_not_kept', 'ran'),
        ('ran', ANSWER, 'other', False, 'idempotency_key_reused', 'unknown'),
        ('claimed', None, 'other', True, 'idempotency_key_reused', 'unknown'),
        ('claimed', None, 'hash', False, 'request_in_progress', 'unknown'),
        ('claimed', None, 'hash', True, 'outcome_unknown', 'unknown'),
        ('unknown', None, 'hash', False, 'outcome_unknown', 'unknown'),
    )  # fmt: skip

    def test_each_state_has_the_answer_of_the_page(self):
        for state, answer, body_hash, dead, code, outcome in self.cases:
            with self.subTest(state=state, code=code):
                found = records.resolve_repeat(
                    record(state=state, answer=answer),
                    body_hash,
                    lambda holder, listed_at, dead=dead: (
                        dead and (holder, listed_at) == ('vm-1.ab', 3)
                    ),
                )
                if isinstance(found, records.ReplayedAnswer):
                    self.assertEqual(('replay', ANSWER), (code, found.answer))
                    continue
                said = found.code, found.outcome, found.attempt
                self.assertEqual((code, outcome, 'not_run'), said)

    def test_not_run_is_said_only_without_earlier_attempts(self):
        key, retries = 'idempotency-key', 'x-stainless-retry-count'
        cases = (
            ({}, 'not_run'),
            ({retries: '3'}, 'not_run'),
            ({key: 'k'}, 'unknown'),
            ({key: 'k', retries: '1'}, 'unknown'),
            ({key: 'k', retries: '0'}, 'not_run'),
        )
        for headers, outcome in cases:
            error = records.refusal('draining', 'x', headers)
            said = error.outcome, error.attempt
            self.assertEqual((outcome, 'not_run'), said, headers)


class RecordTests(testtools.TestCase):
    def test_content_round_trips_with_a_binary_answer(self):
        full = record(state='ran', answer=ANSWER, payer='vm-2.x/p/a/main/7')
        body = records.encode_claim(full)
        self.assertEqual(full, records.decode_claim(body))
        self.assertRaises(records.ClaimError, records.decode_claim, b'{}')

    def test_a_late_record_never_takes_back_an_outcome(self):
        states = ('claimed', 'released', 'unknown', 'ran')
        for low, found in enumerate(states):
            for high, wanted in enumerate(states):
                self.assertEqual(
                    high > low,
                    records.supersedes(
                        record(state=wanted), record(state=found)
                    ),
                )
        again = record(state='claimed', attempt=1)
        self.assertTrue(records.supersedes(again, record(state='released')))
        other = record(state='ran', nonce='m')
        self.assertFalse(records.supersedes(other, RECORD))

    def test_only_small_bodies_and_few_headers_are_kept(self):
        headers = {'etag': 'a', 'set-cookie': 'b', 'location': 'c' * 2000}
        limit = records.MAX_STORED_BODY_BYTES
        kept = records.make_stored_answer(200, headers, b'x' * limit)
        self.assertEqual((('etag', 'a'),), kept.headers)
        self.assertEqual(limit, len(kept.body))
        dropped = records.make_stored_answer(200, headers, b'x' * (limit + 1))
        self.assertIsNone(dropped.body)
        self.assertTrue(len(records.encode_claim(record(answer=kept))) < 10**6)
