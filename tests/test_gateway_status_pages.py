"""
tests.test_gateway_status_pages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guards against a load balancer that sends requests to routers which can't serve
them: readiness must follow the state of the router.
"""

import msgspec
import testtools
import trio

from eelgrassfork.errors import RequestError
from eelgrassfork.gateway.status_pages import StatusPages
from eelgrassfork.gateway.telemetry import Telemetry


class FakeCall:
    def __init__(self, path='', method='GET', **query):
        self.path = path
        self.method = method
        self.query_by_name = query
        self.status = None
        self.body = b''

    async def respond(self, status, body, headers):
        self.status = int(status)
        self.body = body


class StatusPagesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ready = False
        self.telemetry = Telemetry()
        self.telemetry.add_gauge('server_connections_opened', '', lambda: 7)
        self.pages = StatusPages(
            self.telemetry, lambda: self.ready, lambda: {'node': 'n1'}
        )

    def request(self, method, path=''):
        call = FakeCall(path)
        trio.run(method, call)
        return call

    def test_readiness_follows_router_state(self):
        statuses = []
        for self.ready in (False, True, False):
            statuses.append(self.request(self.pages.serve_readiness).status)
        self.assertEqual([503, 200, 503], statuses)

    def test_metrics_contain_counters_and_histograms(self):
        self.telemetry.requests_ended.labels('stream', 'answered').inc()
        self.telemetry.first_byte_s.labels('stream').observe(0.2)
        text = self.request(self.pages.serve_metrics, '/metrics').body.decode()
        for line in (
            'eelgrassfork_requests_ended_total'
            '{kind="stream",outcome="answered"} 1.0',
            'eelgrassfork_first_byte_seconds_bucket{kind="stream",le="0.2"} 1.0',
            'eelgrassfork_server_connections_opened 7.0',
        ):
            self.assertIn(line, text)

    def test_state_is_served_as_json(self):
        body = self.request(self.pages.serve_metrics, '/state').body
        self.assertEqual({'node': 'n1'}, msgspec.json.decode(body))

    def test_quarantine_is_lifted_by_post_only(self):
        calls = []
        self.pages.lift = lambda *part: calls.append(part) or True
        query = {'service': 'model', 'part': 'x'}
        call = FakeCall('/quarantine/lift', 'POST', **query)
        trio.run(self.pages.serve_metrics, call)
        self.assertEqual({'lifted': True}, msgspec.json.decode(call.body))
        self.assertEqual([('model', 'x')], calls)
        call = FakeCall('/quarantine/lift', **query)
        self.assertRaises(
            RequestError, trio.run, self.pages.serve_metrics, call
        )

    def test_unknown_path_is_rejected(self):
        self.assertRaises(
            RequestError, self.request, self.pages.serve_metrics, '/secret'
        )
