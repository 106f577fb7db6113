"""
tests.test_gateway_event_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against missing, repeated and truncated events in streams.
"""

import testtools

from eelgrassfork.gateway.event_relay import EventRelay, EventsMissing


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


class EventRelayTests(testtools.TestCase):
    def test_complete_events_are_relayed_at_once(self):
        relay = EventRelay('')
        self.assertEqual(event(1), relay.feed(event(1) + event(2)[:5]))
        self.assertFalse(relay.at_event_boundary)
        self.assertEqual(event(2), relay.feed(event(2)[5:]))
        self.assertTrue(relay.at_event_boundary)

    def test_resuming_on_another_server_repeats_no_event(self):
        relay = EventRelay('')
        relay.feed(event(1) + event(2) + event(3)[:4])
        relay.switch_server()
        self.assertEqual(event(3), relay.feed(event(2) + event(3)))
        self.assertEqual(3, relay.events)

    def test_missing_event_is_an_error(self):
        relay = EventRelay('4')
        self.assertRaises(EventsMissing, relay.feed, event(6))

    def test_events_without_an_id_are_relayed(self):
        relay = EventRelay('')
        self.assertEqual(b': hello\n\n', relay.feed(b': hello\n\n'))
        self.assertEqual(0, relay.events)
