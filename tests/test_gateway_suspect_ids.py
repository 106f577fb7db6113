"""
tests.test_gateway_suspect_ids
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against callers that pass a part of a prompt off as a request, or fill
the memory of a router with long ids.
"""

import testtools

from eelgrassfork.gateway.records import PromptPart
from eelgrassfork.gateway.suspect_ids import is_request, suspect_ids


def part_ids(*ids):
    parts = tuple(PromptPart(part_id, 1) for part_id in ids)
    return suspect_ids(parts, 'd1')[1:]


class SuspectIdTests(testtools.TestCase):
    def test_request_itself_is_always_suspect(self):
        (request,) = suspect_ids((), 'd1')
        self.assertTrue(is_request(request))
        self.assertNotEqual((request,), suspect_ids((), 'd2'))

    def test_last_part_is_never_suspect(self):
        self.assertEqual(('x',), part_ids('x', 'own'))
        self.assertEqual((), part_ids('own'))
        self.assertEqual((), part_ids())

    def test_long_ids_are_shortened_and_stay_different(self):
        first, second = part_ids('x' * 5000, 'y' * 5000, 'z' * 5000)
        self.assertLessEqual(len(first), 64)
        self.assertNotEqual(first, second)

    def test_part_can_not_have_the_id_of_a_request(self):
        (request,) = suspect_ids((), 'd1')
        (part_id,) = part_ids(request, 'own')
        self.assertFalse(is_request(part_id))
