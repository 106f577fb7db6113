"""
tests.test_gateway_event_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against streams with a gap, a repeat or a torn event.
"""

import testtools

from eelgrassfork.gateway.event_relay import EventRelay, EventsMissing


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


class EventRelayTests(testtools.TestCase):
    def test_whole_events_pass_at_once(self):
        relay = EventRelay('')
        self.assertEqual(event(1), relay.feed(event(1) + event(2)[:5]))
        self.assertFalse(relay.at_event_boundary)
        self.assertEqual(event(2), relay.feed(event(2)[5:]))
        self.assertTrue(relay.at_event_boundary)

    def test_other_server_goes_on_without_repeat(self):
        relay = EventRelay('')
        relay.feed(event(1) + event(2) + event(3)[:4])
        relay.switch_server()
        self.assertEqual(event(3), relay.feed(event(2) + event(3)))
        self.assertEqual(3, relay.events)

    def test_gap_breaks_the_stream(self):
        relay = EventRelay('4')
        self.assertRaises(EventsMissing, relay.feed, event(6))

    def test_events_without_a_number_pass(self):
        relay = EventRelay('')
        self.assertEqual(b': hello\n\n', relay.feed(b': hello\n\n'))
        self.assertEqual(0, relay.events)
