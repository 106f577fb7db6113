"""
tests.test_transport
~~~~~~~~~~~~~~~~~~~~

Guards against a listener that retries or fails forever.
"""

import errno

import testtools

from eelgrassfork.transport import TcpListener


class BrokenSocket:
    """Raises the given errors from ``accept``, then has an empty queue."""

    def __init__(self, *numbers):
        self.errors = [OSError(number, 'failed') for number in numbers]

    def setblocking(self, blocking):
        self.blocking = blocking

    def getsockname(self):
        return '127.0.0.1', 7

    def accept(self):
        if self.errors:
            raise self.errors.pop(0)
        raise BlockingIOError


class AcceptTests(testtools.TestCase):
    def test_connection_that_failed_in_the_queue_is_skipped(self):
        bound = BrokenSocket(errno.ECONNABORTED, errno.ENETDOWN)
        self.assertTrue(TcpListener(bound).accept_queued())
        self.assertFalse(bound.blocking)

    def test_broken_listener_raises(self):
        listener = TcpListener(BrokenSocket(errno.EINVAL))
        self.assertRaises(OSError, listener.accept_queued)

    def test_lack_of_descriptors_is_reported(self):
        self.assertFalse(
            TcpListener(BrokenSocket(errno.EMFILE)).accept_queued()
        )
