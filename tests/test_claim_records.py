"""
tests.test_claim_records
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against wrong outcomes for repeated keys.
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

    def test_each_state_has_its_documented_response(self):
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
                reported = found.code, found.outcome, found.attempt
                self.assertEqual((code, outcome, 'not_run'), reported)

    def test_not_run_is_reported_only_without_earlier_attempts(self):
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
            reported = error.outcome, error.attempt
            self.assertEqual((outcome, 'not_run'), reported, headers)


class RecordTests(testtools.TestCase):
    def test_record_with_a_binary_answer_round_trips(self):
        full = record(state='ran', answer=ANSWER, payer='vm-2.x/p/a/main/7')
        body = records.encode_claim(full)
        self.assertEqual(full, records.decode_claim(body))
        self.assertRaises(records.ClaimError, records.decode_claim, b'{}')

    def test_delayed_record_does_not_replace_an_outcome(self):
        states = ('claimed', 'released', 'unknown', 'ran')
        for found_rank, found in enumerate(states):
            for wanted_rank, wanted in enumerate(states):
                self.assertEqual(
                    wanted_rank > found_rank,
                    records.supersedes(
                        record(state=wanted), record(state=found)
                    ),
                )
        again = record(state='claimed', attempt=1)
        self.assertTrue(records.supersedes(again, record(state='released')))
        other = record(state='ran', nonce='m')
        self.assertFalse(records.supersedes(other, RECORD))

    def test_only_small_bodies_and_listed_headers_are_stored(self):
        headers = {'etag': 'a', 'set-cookie': 'b', 'location': 'c' * 2000}
        limit = records.MAX_STORED_BODY_BYTES
        stored = records.make_stored_answer(200, headers, b'x' * limit)
        self.assertEqual((('etag', 'a'),), stored.headers)
        self.assertEqual(limit, len(stored.body))
        dropped = records.make_stored_answer(200, headers, b'x' * (limit + 1))
        self.assertIsNone(dropped.body)
        self.assertTrue(
            len(records.encode_claim(record(answer=stored))) < 10**6
        )
