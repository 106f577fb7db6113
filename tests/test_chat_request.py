"""
tests.test_chat_request
~~~~~~~~~~~~~~~~~~~~~~~

Guards against requests of unbounded cost, and mixed-up names or identities.
"""

import math

import msgspec
import testtools
import trio

from eelgrassfork.bundle_types import Bundle, Caller, Organisation, Service
from eelgrassfork.chat_request import model_name, parse_request
from eelgrassfork.errors import RequestError

NAMES = ('p/matcher', 'p/hidden', 't/matcher')
SERVICES = {
    name: Service(name, 'model', 'engine-model', max_tokens=50, image_tokens=70)
    for name in NAMES
}
SERVICES['p/orders'] = Service('p/orders', 'plain')
BUNDLE = Bundle(7, {}, {}, SERVICES, {}, {})
ALLOWED = frozenset(['p/matcher', 't/matcher', 'p/orders'])
CALLER = Caller('p', Organisation('p/atelier', {}, ALLOWED), 'p/atelier/main')
HI = {'role': 'user', 'content': 'hi'}


class FakeCall:
    request_id = 'req-1'

    def __init__(self, body: bytes, **headers) -> None:
        self.body = body
        self.headers_by_name = {
            name.replace('_', '-'): text for name, text in headers.items()
        }


def parse(headers=None, caller=CALLER, **fields):
    chat = {'model': 'matcher', 'messages': [HI], **fields}
    call = FakeCall(msgspec.json.encode(chat), **(headers or {}))

    async def main():
        return parse_request(call, caller, BUNDLE)

    return trio.run(main)


def code_of(**fields) -> str:
    try:
        parse(**fields)
    except RequestError as error:
        return error.code
    return 'accepted'


class CheckTests(testtools.TestCase):
    def test_refusals(self):
        cases = (
            ('accepted', {}),
            ('accepted', {'n': 1, 'stream': None}),
            ('unknown_service', {'model': 'nothing'}),
            ('unknown_service', {'model': 'A b'}),
            ('unknown_service', {'model': 'orders'}),
            ('service_forbidden', {'model': 'hidden'}),
            ('invalid_request', {'n': 2}),
            ('invalid_request', {'messages': []}),
            ('invalid_request', {'messages': 'hi'}),
            ('invalid_request', {'max_tokens': 0}),
            ('invalid_request', {'max_completion_tokens': -1}),
            ('invalid_request', {'messages': [{**HI, 'content': 5}]}),
            (
                'invalid_request',
                {'messages': [{**HI, 'content': [{'type': 'input_audio'}]}]},
            ),
            ('invalid_request', {'headers': {'x_request_timeout_ms': '-5'}}),
            ('invalid_request', {'headers': {'idempotency_key': 'k' * 256}}),
        )
        for expected, fields in cases:
            with self.subTest(fields=fields):
                self.assertEqual(expected, code_of(**fields))

    def test_unqualified_model_belongs_to_the_callers_fleet(self):
        other = CALLER._replace(fleet='t')
        names = (
            parse().service.name,
            parse(caller=other).service.name,
            parse(model='t/matcher').service.name,
        )
        self.assertEqual(('p/matcher', 't/matcher', 't/matcher'), names)
        self.assertEqual('matcher', model_name('p/matcher', 'p'))
        self.assertEqual('t/matcher', model_name('t/matcher', 'p'))


class BoundTests(testtools.TestCase):
    def test_bound_includes_all_fields_that_reach_the_prompt(self):
        image = {'type': 'image_url', 'image_url': {'url': 'x' * 9999}}
        text = {'type': 'text', 'text': 'ъ'}
        cases = (
            (60, {}),
            (20, {'max_tokens': 10}),
            (15, {'max_tokens': 10, 'max_completion_tokens': 5}),
            (60, {'max_tokens': 9999}),
            (70, {'messages': [HI, HI]}),
            (60 + 70, {'messages': [{**HI, 'content': [image, text]}]}),
            (60 + len('"bob"'), {'messages': [{**HI, 'name': 'bob'}]}),
            (60 + len('[{"a":1}]'), {'tools': [{'a': 1}]}),
        )
        for bound, fields in cases:
            with self.subTest(fields=fields):
                self.assertEqual(bound, parse(**fields).bound)


class EngineBodyTests(testtools.TestCase):
    def test_only_model_token_cap_and_usage_option_change(self):
        asked = {
            'temperature': 0.5,
            'stream': True,
            'stream_options': {'x': 1},
            'max_completion_tokens': 99,
        }
        request = parse(**asked)
        self.assertFalse(request.include_usage)
        expected = {
            **asked,
            'model': 'engine-model',
            'messages': [HI],
            'stream_options': {'x': 1, 'include_usage': True},
            'max_completion_tokens': 50,
        }
        self.assertEqual(expected, msgspec.json.decode(request.body))


class IdentityTests(testtools.TestCase):
    def test_identity_depends_on_key_body_and_organisation(self):
        key = {'idempotency_key': 'k'}
        other = CALLER.organisation._replace(name='p/other')
        requests = (
            parse(headers=key),
            parse(headers=key, seed=1),
            parse(headers={'idempotency_key': 'l'}),
            parse(headers=key, caller=CALLER._replace(organisation=other)),
        )
        identities = {request.identity for request in requests}
        self.assertEqual(len(requests), len(identities))
        self.assertEqual(requests[0].identity, parse(headers=key).identity)
        self.assertEqual('req-1', parse().identity)

    def test_turns_of_one_conversation_share_a_prefix(self):
        answer = {'role': 'assistant', 'content': 'hello'}
        system = {'role': 'system', 'content': 'be brief'}
        first = parse(messages=[system, HI])
        later = parse(messages=[system, HI, answer, HI])
        other = parse(messages=[system, {**HI, 'content': 'bye'}])
        self.assertEqual(first.prefix, later.prefix)
        self.assertNotEqual(first.prefix, other.prefix)

    def test_deadline_is_optional(self):
        self.assertEqual(math.inf, parse().deadline)
        request = parse(headers={'x_request_timeout_ms': '1500'})
        self.assertLess(request.deadline, math.inf)
