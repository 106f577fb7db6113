"""
tests.test_names
~~~~~~~~~~~~~~~~

Guards against names of different fleets being confused.
"""

import testtools

from eelgrassfork import names


class QualifiedNameTests(testtools.TestCase):
    def test_unqualified_name_gets_the_default_fleet(self):
        name = names.qualify('matcher', 'pazlen')
        self.assertEqual('pazlen/matcher', str(name))

    def test_invalid_names_are_rejected(self):
        for text in ('', 'Matcher', 'a/b/c', '/matcher', 'pazlen/'):
            with self.subTest(text=text):
                error = self.assertRaises(names.BadName, names.qualify, text)
                self.assertEqual('bad_name', error.code)


class PayerTagTests(testtools.TestCase):
    def test_text_form_round_trips(self):
        tag = names.PayerTag('vm-1.ab', 'pazlen/atelier/main', 7)
        self.assertEqual(tag, names.parse_payer(str(tag)))

    def test_vm_is_parsed_from_holder(self):
        self.assertEqual('vm-1.x', names.vm_of_holder('vm-1.x.0badcafe'))


class RendezvousTests(testtools.TestCase):
    def test_removing_a_node_moves_only_its_keys(self):
        nodes = [f'vm-{number}' for number in range(8)]
        for number in range(50):
            key = f'key-{number}'
            before = names.rendezvous_order(key, nodes)
            after = names.rendezvous_order(key, nodes[1:])
            expected = [node for node in before if node != 'vm-0']
            self.assertEqual(expected, after)
