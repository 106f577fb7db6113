"""
tests.test_key_list
~~~~~~~~~~~~~~~~~~~

Guards against grants by untrusted keys and revoked keys that are trusted again.
"""

import testtools
from nacl.signing import SigningKey

from eelgrassfork.bundle import BundleError, open_manifest
from eelgrassfork.key_list import (
    Grant,
    KeyList,
    KeyListError,
    KeyState,
    merge_key_lists,
    new_grant,
    next_state,
)
from eelgrassfork.signing import KeyPair

from . import bundles

KEYS = [KeyPair(SigningKey(bytes([number]) * 32)) for number in range(1, 6)]
IDS = [key.key_id for key in KEYS]
FIRST = {IDS[0]: KEYS[0].public_key}


def grant(granting_index, granted_index):
    return new_grant(KEYS[granted_index].public_key, KEYS[granting_index])


def state(listed, settings=FIRST, held=None):
    return next_state(settings, held, listed)


def ids(*numbers):
    return {IDS[number] for number in numbers}


class NextStateTests(testtools.TestCase):
    def test_trusted_keys_by_list(self):
        forged = grant(0, 1)._replace(public_key=KEYS[2].public_key)
        other = grant(0, 1)._replace(by=IDS[3])
        cases = {
            'settings': (KeyList(), {0}),
            'granted': (KeyList((grant(0, 1),)), {0, 1}),
            'chain': (KeyList((grant(0, 1), grant(1, 2))), {0, 1, 2}),
            'chain in another order': (
                KeyList((grant(1, 2), grant(0, 1))),
                {0, 1},
            ),
            'by an untrusted key': (KeyList((grant(3, 1),)), {0}),
            'signed for another key': (KeyList((forged,)), {0}),
            'claims another signer': (KeyList((other,)), {0}),
            'by itself': (KeyList((grant(1, 1),)), {0}),
            'revoked': (KeyList((grant(0, 1),), (IDS[0],)), {1}),
            'granted and revoked': (KeyList((grant(0, 1),), (IDS[1],)), {0}),
            'no key': (KeyList((Grant('x', IDS[0], 'y'),)), {0}),
            'no signature': (
                KeyList((Grant(KEYS[1].public_key, IDS[0], 'ä'),)),
                {0},
            ),
        }
        for name, (listed, trusted) in cases.items():
            with self.subTest(name=name):
                found = state(listed)
                self.assertEqual(ids(*trusted), found.keys.keys())
                self.assertEqual(frozenset(listed.revoked), found.revoked)

    def test_revoked_key_can_not_grant_trust(self):
        revoking = KeyList((grant(0, 1),), (IDS[0],))
        held = state(revoking)
        listed = revoking._replace(grants=(*revoking.grants, grant(0, 2)))
        self.assertEqual(ids(1), state(listed, held=held).keys.keys())
        for incomplete in (KeyList(), KeyList((grant(0, 1),), (IDS[4],))):
            self.assertRaises(KeyListError, state, incomplete, FIRST, held)

    def test_omitted_grant_removes_trust(self):
        held = state(KeyList((grant(0, 1), grant(1, 2))))
        listed = KeyList((grant(1, 2),))
        self.assertEqual(ids(0, 2), state(listed, held=held).keys.keys())

    def test_chain_is_followed_from_any_settings(self):
        listed = KeyList((grant(0, 1), grant(1, 2)), (IDS[0],))
        for number in range(3):
            settings = {IDS[number]: KEYS[number].public_key}
            found = state(listed, settings).keys.keys()
            self.assertIn(IDS[2], found)
            self.assertNotIn(IDS[0], found)

    def test_list_length_is_limited(self):
        many = KeyList((), tuple(f'{number:016}' for number in range(201)))
        self.assertRaises(KeyListError, state, many)

    def test_merged_lists_have_no_duplicates(self):
        first = KeyList((grant(0, 1),), (IDS[3],))
        second = KeyList((grant(0, 1), grant(1, 2)), (IDS[4],))
        expected = KeyList((grant(0, 1), grant(1, 2)), (IDS[3], IDS[4]))
        self.assertEqual(expected, merge_key_lists((first, second)))


class ManifestTests(testtools.TestCase):
    def seal(self, signer, listed, version=2):
        kinds = {'fleets': {'f': {}}}
        held = bundles.held_bundle(
            version, kinds, key=KEYS[signer], keys=listed
        )
        return held.signed.envelope

    def test_signer_must_be_trusted_by_its_own_key_list(self):
        rotated = KeyList((grant(0, 1),))
        revoked_old = KeyList((grant(0, 1),), (IDS[0],))
        held = KeyState({IDS[1]: KEYS[1].public_key}, frozenset(IDS[:1]))
        cases = (
            (self.seal(0, KeyList()), None, True),
            (self.seal(1, KeyList()), None, False),
            (self.seal(1, rotated), None, True),
            (self.seal(1, revoked_old), None, True),
            (self.seal(1, revoked_old), held, True),
            (self.seal(1, rotated), held, False),
            (self.seal(0, KeyList()), held, False),
            (self.seal(0, KeyList((), (IDS[4],))), held, False),
            (self.seal(2, KeyList((grant(0, 2),), (IDS[0],))), held, False),
        )
        for number, (envelope, state_held, is_accepted) in enumerate(cases):
            with self.subTest(number=number):
                if is_accepted:
                    open_manifest(envelope, FIRST, state_held)
                else:
                    self.assertRaises(
                        BundleError, open_manifest, envelope, FIRST, state_held
                    )

    def test_key_can_not_revoke_itself(self):
        self.assertRaises(BundleError, self.seal, 0, KeyList((), (IDS[0],)))
