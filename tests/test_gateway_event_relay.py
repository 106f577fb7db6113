"""
tests.test_gateway_event_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against streams with a gap, a repeat or a torn event.
"""

import testtools

from eelgrassfork.gateway.event_relay import BrokenStream, EventRelay


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


class EventRelayTests(testtools.TestCase):
    def test_whole_events_pass_at_once(self):
        relay = EventRelay('')
        self.assertEqual(event(1), relay.feed(event(1) + event(2)[:5]))
        self.assertFalse(relay.is_whole)
        self.assertEqual(event(2), relay.feed(event(2)[5:]))
        self.assertTrue(relay.is_whole)

    def test_other_server_goes_on_without_repeat(self):
        relay = EventRelay('')
        relay.feed(event(1) + event(2) + event(3)[:4])
        relay.begin()
        self.assertEqual(event(3), relay.feed(event(2) + event(3)))
        self.assertEqual(3, relay.events)

    def test_gap_breaks_the_stream(self):
        relay = EventRelay('4')
        self.assertRaises(BrokenStream, relay.feed, event(6))

    def test_events_without_a_number_pass(self):
        relay = EventRelay('')
        self.assertEqual(b': hello\n\n', relay.feed(b': hello\n\n'))
        self.assertEqual(0, relay.events)
