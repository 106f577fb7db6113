"""
tests.test_gateway_credit_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against credit that is lost in transit, and against asking the wrong
peers for it.
"""

import msgspec
import testtools
import trio

from eelgrassfork.gateway.credit_exchange import CreditExchange
from eelgrassfork.gateway.lending import (
    CreditAnswer,
    CreditRequest,
    LedgerView,
    Loan,
)
from eelgrassfork.http_client import ConnectFailed, ReceiveTimeout
from eelgrassfork.platform import boot_file

from .mock_clock import run
from .test_gateway_peer_exchange import Call, FakeClient, FakeGossip
from .test_platform_boot_file import TEXT

VIEW = LedgerView({'a': 5}, {'a': 1}, 0.5)


def credit_request(urgent, extra=None):
    return CreditRequest('n7', 'd0', {'a': urgent}, extra or {})


def make(client, gossip):
    return CreditExchange(client, gossip, boot_file.parse_settings(TEXT))


class CreditExchangeTests(testtools.TestCase):
    def borrow(self, exchange, *requests):
        async def main():
            return [await exchange.borrow(request) for request in requests]

        return run(main)

    def client(self, lent, ledger=None):
        answer = CreditAnswer({'a': lent}, ledger)
        return FakeClient({'/peer/v1/credit': msgspec.msgpack.encode(answer)})

    def test_serves_what_the_router_lends(self):
        exchange = make(FakeClient({}), FakeGossip([]))

        async def lend(request):
            await trio.lowlevel.checkpoint()
            return CreditAnswer(request.urgent_by_organisation, VIEW)

        exchange.lend = lend
        call = Call(
            '/peer/v1/credit',
            msgspec.msgpack.encode(credit_request(70, {'a': 5})),
        )
        answer = run(lambda: exchange.serve(call))
        self.assertEqual(
            CreditAnswer({'a': 70}, VIEW),
            msgspec.msgpack.decode(answer, type=CreditAnswer),
        )

    def test_asks_the_keeper_first_and_then_by_free_credit(self):
        client = self.client(10)
        exchange = make(client, FakeGossip([0, 0, 0], free=(0, 50, 90)))
        (loan,) = self.borrow(exchange, credit_request(25))
        self.assertEqual(Loan({'a': 30}, None), loan)
        self.assertEqual(
            ['10.0.0.0:8748', '10.0.0.2:8748', '10.0.0.1:8748'],
            client.called_addresses,
        )

    def test_asks_no_other_peer_for_extra_credit(self):
        client = self.client(10, VIEW)
        exchange = make(client, FakeGossip([0, 0, 0], free=(0, 50, 90)))
        (loan,) = self.borrow(exchange, credit_request(8, {'a': 90}))
        self.assertEqual(Loan({'a': 10}, VIEW), loan)
        self.assertEqual(['10.0.0.0:8748'], client.called_addresses)

    def test_scattered_credit_is_found_where_keepers_have_none(self):
        client = self.client(0, VIEW)
        gossip = FakeGossip([0] * 8, free=(0, 0, 0, 0, 0, 70, 90, 80))
        gossip.keepers = lambda: gossip.known[:5]
        exchange = make(client, gossip)
        self.borrow(exchange, credit_request(25))
        self.assertEqual(
            [f'10.0.0.{number}:8748' for number in (0, 6, 7, 5)],
            client.called_addresses,
        )

    def test_keepers_without_a_heartbeat_are_asked_after_the_first_one(
        self,
    ):
        client = self.client(0, VIEW)
        gossip = FakeGossip([0] * 3, free=(0, 0, 0))
        gossip.keepers = lambda: gossip.known
        gossip.known[2].heartbeat = None
        gossip.with_recent_heartbeat = lambda: gossip.known[:2]
        exchange = make(client, gossip)
        self.borrow(exchange, credit_request(25))
        self.assertEqual(
            ['10.0.0.0:8748', '10.0.0.2:8748'], client.called_addresses
        )

    def test_keepers_without_a_heartbeat_are_not_asked_for_nothing(self):
        client = self.client(25, VIEW)
        gossip = FakeGossip([0] * 3, free=(0, 0, 0))
        gossip.keepers = lambda: gossip.known
        gossip.known[2].heartbeat = None
        gossip.with_recent_heartbeat = lambda: gossip.known[:2]
        exchange = make(client, gossip)
        self.borrow(exchange, credit_request(25))
        self.assertEqual(['10.0.0.0:8748'], client.called_addresses)

    def test_timeouts_follow_the_delay_of_a_busy_link(self):
        client = FakeClient({})
        client.error = ConnectFailed('connect_failed', 'late', sent=False)
        exchange = make(client, FakeGossip([0], free=(50,)))
        exchange.adapts_timeouts = True
        before = exchange._timeouts()
        for _ in range(5):
            exchange._skipped_until_by_node.clear()
            self.borrow(exchange, credit_request(25))
        after = exchange._timeouts()
        self.assertGreater(after.connect_s, before.connect_s * 3)
        self.assertLess(after.first_byte_s, 1.2)

    def test_deposit_reports_whether_it_may_have_arrived(self):
        async def main():
            client = FakeClient({})
            exchange = make(client, FakeGossip([0]))
            sent = []
            for error in (
                ConnectFailed('connect_failed', 'refused', sent=False),
                ReceiveTimeout('connection_silent', 'none', sent=True),
            ):
                client.error = error
                exchange._skipped_until_by_node.clear()
                sent.append(await exchange.deposit(credit_request(0)))
            return sent

        self.assertEqual([False, True], run(main))

    def test_unresponsive_lenders_lend_nothing_and_are_skipped(self):
        client = FakeClient({})
        client.down = True
        exchange = make(client, FakeGossip([0], free=(50,)))
        loans = self.borrow(exchange, credit_request(25), credit_request(25))
        self.assertEqual([Loan({}, None)] * 2, loans)
        self.assertEqual(1, len(client.called_addresses))
