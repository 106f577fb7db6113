"""
tests.test_logs
~~~~~~~~~~~~~~~

Guards against keys that leak into the log, log injection, and log lines without
component, process or request ID.
"""

import io

import logbook
import msgspec
import testtools
import trio

from eelgrassfork import logs

_log = logbook.Logger('credit')


class LogTests(testtools.TestCase):
    def start_logging(self, line_format: str, **options) -> io.StringIO:
        stream = io.StringIO()
        handler = logs.configure_logging(
            logs.LogOptions(line_format=line_format, **options), stream
        )
        self.addCleanup(handler.pop_application)
        return stream

    def test_keys_are_redacted_in_both_formats(self):
        lines = (
            'sent Authorization: Bearer sk-live-1 to caller',
            "headers {'authorization': 'Bearer sk-live-1'}",
            "headers [(b'authorization', b'sk-live-1')]",
            'Authorization: Basic sk-live-1',
            '{"operator_key": "sk-live-1"}',
            'peer_key=sk-live-1',
            'the literal op-sk-live-1 of the settings',
        )
        for line_format in ('text', 'json'):
            stream = self.start_logging(line_format, secrets=('op-sk-live-1',))
            for line in lines:
                _log.info('credit: {}', line)
                try:
                    raise ValueError(line)
                except ValueError:
                    _log.exception('credit: failed')
            self.assertNotIn('sk-live-1', stream.getvalue())
            self.assertIn('[hidden]', stream.getvalue())

    def test_text_from_callers_cannot_inject_a_line(self):
        for line_format in ('text', 'json'):
            stream = self.start_logging(line_format)
            _log.info('credit: path {}', '/a\r\nERROR credit: b\u2028c')
            self.assertEqual(1, len(stream.getvalue().splitlines()))

    def test_json_line_contains_component_holder_and_request_id(self):
        stream = self.start_logging('json', holder='vm-1.ab')

        async def main():
            with logs.request_context('req-1'):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(trio.lowlevel.checkpoint)
                    _log.info('drew {} tokens', 7)
            _log.debug('credit: below the level')

        trio.run(main)
        (line,) = stream.getvalue().splitlines()
        fields = msgspec.json.decode(line)
        fields.pop('time')
        expected = {
            'level': 'INFO',
            'part': 'credit',
            'message': 'credit: drew 7 tokens',
            'holder': 'vm-1.ab',
            'request_id': 'req-1',
        }
        self.assertEqual(expected, fields)
