"""
tests.test_transport
~~~~~~~~~~~~~~~~~~~~

Guards against a listener that fails without end.
"""

import errno

import testtools

from eelgrassfork.transport import TcpListener


class BrokenSocket:
    """Fails to accept with one error after the other, then has no more."""

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
    def test_connection_that_failed_while_it_waited_is_passed_over(self):
        bound = BrokenSocket(errno.ECONNABORTED, errno.ENETDOWN)
        self.assertTrue(TcpListener(bound).accept_waiting())
        self.assertFalse(bound.blocking)

    def test_broken_listener_is_not_asked_without_end(self):
        listener = TcpListener(BrokenSocket(errno.EINVAL))
        self.assertRaises(OSError, listener.accept_waiting)

    def test_want_of_descriptors_is_told(self):
        self.assertFalse(
            TcpListener(BrokenSocket(errno.EMFILE)).accept_waiting()
        )
