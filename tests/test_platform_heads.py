"""
tests.test_platform_heads
~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against request smuggling by repeated headers, and against callers that set
headers reserved for routers.
"""

import itertools
import time
from email.utils import formatdate

import logbook
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassfork.errors import RequestError
from eelgrassfork.platform import heads
from eelgrassfork.platform.heads import (
    AddedHeaders,
    decode_request,
    decode_response,
    encode_added_headers,
    encode_retry_after,
)

HEADERS = (
    ('host', 'Shop.Example:80'),
    ('x-request-id', 'r1'),
    ('x-token-counts', '1460,80'),
    ('x-prompt-prefix', '5c:800, 91:410,e4:250'),
    ('x-request-deadline', '4000'),
    ('api-key', 'secret'),
    ('last-event-id', '12'),
    ('x-custom', 'kept'),
)


def decode(*extra, target='/a/b?c=d', headers=HEADERS):
    return decode_request('POST', target, (*headers, *extra))


class RequestTests(testtools.TestCase):
    def code(self, *extra, **options):
        return self.assertRaises(RequestError, decode, *extra, **options).code

    def test_decodes_request_head(self):
        head = decode()
        self.assertEqual('shop.example', head.host)
        self.assertEqual(('/a/b?c=d', '/a/b'), (head.target, head.path))
        self.assertEqual(
            (1460, 80), (head.prompt_tokens, head.max_output_tokens)
        )
        self.assertEqual(
            [('5c', 800), ('91', 410), ('e4', 250)],
            [tuple(part) for part in head.parts],
        )
        self.assertEqual(
            (4.0, 'secret', '12'),
            (head.timeout_s, head.key, head.last_event_id),
        )

    def test_drops_router_headers_and_hop_by_hop_headers(self):
        names = dict(
            decode(
                ('x-hold', '1'),
                ('x-tenant', 'other'),
                ('kv-from', 'x'),
                ('kv-fetch', 'x'),
                ('x-pin-ms', '5'),
                ('x-kv-backup', 'x'),
                ('x-expect-replica', 'i'),
                ('x-request-priority', '0'),
                ('transfer-encoding', 'chunked'),
                ('keep-alive', 'x'),
                ('connection', 'x-nominated, x-token-counts'),
                ('x-nominated', 'x'),
            ).headers,
        )
        self.assertEqual(
            {'x-request-id', 'x-token-counts', 'x-prompt-prefix', 'x-custom'},
            set(names),
        )

    def test_ambiguous_requests_are_rejected(self):
        for extra in (
            ('x-request-id', 'r2'),
            ('host', 'other'),
            ('api-key', 'other'),
            ('x-token-counts', '1,1'),
        ):
            self.assertEqual('invalid_request', self.code(extra))
        self.assertEqual(
            'invalid_request',
            self.code(
                ('content-length', '5'), ('transfer-encoding', 'chunked')
            ),
        )

    def test_targets_other_than_paths_are_rejected(self):
        for target in ('http://other/a/', '*', 'a/b'):
            self.assertEqual('invalid_request', self.code(target=target))

    def test_request_id_is_required(self):
        self.assertEqual('invalid_request', self.code(headers=HEADERS[:1]))

    def test_invalid_numbers_are_ignored(self):
        for text in ('', 'soon', '-5', 'nan', 'inf'):
            headers = (*HEADERS[:2], ('x-request-deadline', text))
            self.assertIsNone(decode(headers=headers).timeout_s)
        headers = (*HEADERS[:2], ('x-token-counts', '-1,x'))
        self.assertEqual(0, decode(headers=headers).max_total_tokens)

    @settings(derandomize=True, max_examples=200)
    @given(st.text(max_size=30), st.text(max_size=30), st.text(max_size=30))
    def test_any_text_is_survived(self, counts, parts, patience):
        decode(
            headers=(
                *HEADERS[:2],
                ('x-token-counts', counts),
                ('x-prompt-prefix', parts),
                ('x-request-deadline', patience),
            ),
        )


class ResponseTests(testtools.TestCase):
    def test_detects_requests_that_were_not_executed(self):
        self.assertTrue(
            decode_response(503, (('x-not-executed', '1'),)).not_run
        )
        self.assertTrue(decode_response(421, ()).not_run)
        self.assertFalse(decode_response(503, ()).not_run)

    def test_decodes_load_and_response_seal(self):
        response = decode_response(
            200,
            (
                ('x-replica-load', '3,1,8'),
                ('keep-alive', 'timeout=7, max=3'),
                ('x-response-seal', 's'),
            ),
        )
        self.assertEqual((3, 1, 8, 1.0), tuple(response.load))
        self.assertTrue(response.sealed)
        self.assertEqual((('x-response-seal', 's'),), response.headers)

    def test_invalid_load_is_ignored(self):
        for text in ('', '1,2', 'a,b,c', '1,2,-3', '1,2,,100', 'nan,2,3,100'):
            self.assertIsNone(self.load(text))

    def test_fourth_figure_is_the_slowdown_and_later_ones_are_ignored(self):
        # A parser that accepts three figures only knows no load at all.
        for text, slowdown in (
            ('5,2,8,100', 1),
            ('5,2,8, 173', 1.73),
            ('5,2,8,62.5', 0.625),
            ('5,2,8,40,7,x', 0.4),
        ):
            self.assertEqual((5, 2, 8, slowdown), tuple(self.load(text)))

    def test_invalid_slowdown_is_bounded_and_the_counts_still_hold(self):
        # A false figure must not make a server look free or unusable.
        for text, slowdown in (
            ('', 1),
            ('nan', 1),
            ('inf', 1),
            ('-40', 1),
            ('1e9', 1),
            ('0', 1),
            ('0.0', 1),
            ('x', 1),
            ('3', 0.1),
            ('99999', 100),
            ('9' * 4000, 100),
        ):
            self.assertEqual(
                (5, 2, 8, slowdown), tuple(self.load(f'5,2,8,{text}'))
            )

    def test_invalid_slowdown_is_logged_once(self):
        # A line for each answer would fill the log.
        self.patch(heads, '_slowdown_warnings', itertools.count())
        with logbook.TestHandler() as handler:
            for _ in range(3):
                self.load('5,2,8,-40')
            self.load('5,2,8')
        self.assertEqual(1, len(handler.records))

    def load(self, text):
        return decode_response(200, (('x-replica-load', text),)).load


class BackPressureTests(testtools.TestCase):
    def pause_s(self, text, status=503):
        return decode_response(status, (('retry-after', text),)).pause_s

    def test_any_response_can_signal_that_the_server_is_leaving(self):
        for text, leaves in (('1', True), (' 1 ', True), ('0', False)):
            response = decode_response(421, (('server-leaving', text),))
            self.assertEqual(leaves, response.leaving)

    def test_retry_after_is_a_number_or_a_date(self):
        self.assertEqual((2, 0.25), (self.pause_s('2'), self.pause_s('0.25')))
        date = formatdate(time.time() + 30, usegmt=True)
        self.assertAlmostEqual(30, self.pause_s(date), delta=2)

    def test_invalid_retry_after_is_bounded_or_ignored(self):
        for text in ('soon', 'nan', 'inf', '-3', '', '1,2'):
            self.assertEqual(0, self.pause_s(text), text)
        self.assertEqual(3600, self.pause_s('1e9'))

    def test_retry_after_is_ignored_for_other_statuses(self):
        self.assertEqual(0, self.pause_s('2', status=429))


class LimitTests(testtools.TestCase):
    def limit(self, *texts):
        headers = [('server-limit', text) for text in texts]
        return tuple(decode_response(200, headers).limit)

    def test_limit_is_a_decimal_number(self):
        for text, per_s in (('2', 2), (' 1.8 ', 1.8), ('.4', 0.4), ('0', 0)):
            self.assertEqual((per_s, True), self.limit(text), text)

    def test_answer_without_limit_is_valid(self):
        self.assertEqual((None, True), self.limit())

    def test_invalid_limit_is_reported_as_such(self):
        for text in ('', '-1', 'nan', 'inf', 'two', '1e3', '1_0', '0x2', '٣'):
            self.assertEqual((None, False), self.limit(text), text)

    def test_huge_limit_is_bounded(self):
        self.assertEqual((1_000_000, True), self.limit('9' * 400))

    def test_lowest_of_repeated_limits_counts(self):
        self.assertEqual((2, True), self.limit('3', '2'))
        self.assertEqual((2, True), self.limit('3, 2'))
        self.assertEqual((3, True), self.limit('3', 'x'))

    @settings(derandomize=True, max_examples=200)
    @given(st.text(max_size=30))
    def test_any_text_is_survived(self, text):
        per_s, _ = self.limit(text)
        self.assertTrue(per_s is None or 0 <= per_s <= 1_000_000)


class EncodeTests(testtools.TestCase):
    def test_encodes_headers_for_a_server(self):
        headers = dict(
            encode_added_headers(AddedHeaders('i-1', 1.5, 'acme', 2, '7'))
        )
        self.assertEqual(
            {
                'x-request-deadline': '1500',
                'x-expect-replica': 'i-1',
                'x-request-priority': '2',
                'x-tenant': 'acme',
                'last-event-id': '7',
            },
            headers,
        )

    def test_anonymous_request_has_no_organisation(self):
        headers = dict(
            encode_added_headers(AddedHeaders('i-1', 0.0001, '', 2, ''))
        )
        self.assertNotIn('x-tenant', headers)
        self.assertEqual('1', headers['x-request-deadline'])

    def test_retry_after_keeps_fractions_of_seconds(self):
        self.assertEqual((('retry-after', '0.250'),), encode_retry_after(0.25))
