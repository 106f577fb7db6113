"""
tests.test_signing
~~~~~~~~~~~~~~~~~~

Guards against forged manifests and leaked private keys.
"""

import os
import stat
import tempfile

import testtools
from nacl.signing import SigningKey

from eelgrassfork import signing


class SignatureTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pair = signing.KeyPair(SigningKey(b'1' * 32))
        self.other = signing.KeyPair(SigningKey(b'2' * 32))
        self.trusted = {self.pair.key_id: self.pair.public_key}

    def test_valid_signature_is_accepted(self):
        signature = self.pair.sign(b'm')
        signing.verify(self.trusted, self.pair.key_id, b'm', signature)

    def test_invalid_signatures_are_rejected(self):
        good = self.pair.sign(b'm')
        key_id = self.pair.key_id
        bare = bytes(SigningKey(b'1' * 32).sign(b'm').signature)
        cases = (
            (key_id, b'n', good, 'bad_signature'),
            (key_id, b'm', self.other.sign(b'm'), 'bad_signature'),
            (key_id, b'm', b'', 'bad_signature'),
            (key_id, b'm', bare, 'bad_signature'),
            (key_id, b'm', good[:-1] + b'\0', 'bad_signature'),
            (self.other.key_id, b'm', self.other.sign(b'm'), 'untrusted_key'),
        )
        for number, (by, message, signature, code) in enumerate(cases):
            with self.subTest(number=number):
                error = self.assertRaises(
                    signing.SigningError,
                    signing.verify,
                    self.trusted,
                    by,
                    message,
                    signature,
                )
                self.assertEqual(code, error.code)


class KeyFileTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.path = os.path.join(tempfile.mkdtemp(), 'a.key')

    def test_stored_key_has_mode_0600_and_loads(self):
        pair = signing.make_key(self.path)
        mode = stat.S_IMODE(os.stat(self.path).st_mode)
        self.assertEqual(0o600, mode)
        loaded = signing.load_key(self.path)
        self.assertEqual(pair.public_key, loaded.public_key)
        signing.check_trusted_key(pair.key_id, pair.public_key)

    def test_existing_key_file_is_not_overwritten(self):
        signing.make_key(self.path)
        self.assertRaises(signing.SigningError, signing.make_key, self.path)

    def test_errors_do_not_reveal_the_key(self):
        secret = 'c2VjcmV0LXNlY3JldA=='
        for text in (f'{{"key_id": 1, "private_key": "{secret}"}}', secret):
            with open(self.path, 'w', encoding='utf-8') as stream:
                stream.write(text)
            error = self.assertRaises(
                signing.SigningError, signing.load_key, self.path
            )
            self.assertNotIn(secret[:6], str(error))
