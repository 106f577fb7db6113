"""
tests.test_gateway_request_digest
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against repeats that are not recognised, and against callers who make
the requests of others look like theirs.
"""

import testtools

from eelgrassfork.gateway.request_digest import digest_request

from .simulated_callers import make_head

HEAD = make_head()._replace(method='POST', target='/a/b?c=1', host='x.example')


class DigestTests(testtools.TestCase):
    def test_repeat_with_another_id_has_the_same_digest(self):
        repeat = HEAD._replace(
            request_id='r2', timeout_s=0.3, headers=(('via', 'proxy'),)
        )
        self.assertEqual(
            digest_request(HEAD, 'acme', b'body'),
            digest_request(repeat, 'acme', b'body'),
        )

    def test_each_part_of_the_identity_counts(self):
        digests = {
            digest_request(HEAD, 'acme', b'body'),
            digest_request(HEAD, 'other', b'body'),
            digest_request(HEAD, 'acme', b'bod'),
            digest_request(HEAD._replace(method='PUT'), 'acme', b'body'),
            digest_request(HEAD._replace(target='/a/b?c=2'), 'acme', b'body'),
            digest_request(HEAD._replace(host='y.example'), 'acme', b'body'),
        }
        self.assertEqual(6, len(digests))

    def test_text_does_not_move_from_one_field_into_the_next(self):
        self.assertNotEqual(
            digest_request(HEAD, 'acme', b'xbody'),
            digest_request(HEAD, 'acmex', b'body'),
        )
