"""
tests.test_plain_request
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a retried order that is refused because its service was renamed.
"""

from types import SimpleNamespace

import testtools
import trio

from eelgrassfork.bundle_types import Bundle, Caller, Organisation, Service
from eelgrassfork.plain_request import parse_plain_request


def parsed(name, target, aliases=()):
    service = Service(name, 'plain')
    bundle = Bundle(
        1, {}, {}, {name: service}, {}, {}, service_aliases=dict(aliases)
    )
    organisation = Organisation('pazlen/a', {}, frozenset([name]))
    call = SimpleNamespace(
        target=target,
        method='POST',
        body=b'{}',
        request_id='req-1',
        headers_by_name={'idempotency-key': 'order-7'},
    )
    caller = Caller('pazlen', organisation, 'pazlen/a/main')

    async def main():
        await trio.lowlevel.checkpoint()
        return parse_plain_request(call, caller, bundle)

    return trio.run(main)


class RenameTests(testtools.TestCase):
    def test_retried_call_keeps_its_body_hash_after_a_rename(self):
        renamed = [('pazlen/desk', 'pazlen/archive')]
        first = parsed('pazlen/desk', '/services/desk/orders')
        again = parsed('pazlen/archive', '/services/desk/orders', renamed)
        self.assertEqual('pazlen/archive', again.service.name)
        self.assertEqual(first.body_hash, again.body_hash)
        self.assertEqual('/orders', again.target)
        qualified = '/services/pazlen%2Fdesk/orders'
        self.assertEqual(
            first.body_hash,
            parsed('pazlen/archive', qualified, renamed).body_hash,
        )
        other = parsed('pazlen/archive', '/services/archive/orders', renamed)
        self.assertNotEqual(first.body_hash, other.body_hash)
