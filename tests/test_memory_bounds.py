"""
tests.test_memory_bounds
~~~~~~~~~~~~~~~~~~~~~~~~

Guards against callers and servers that make a router run out of memory or
descriptors, with processes of the system on loopback addresses.

No test checks a time or the share of requests that are served.
"""

import functools

import testtools

from . import crowd

KINDS_BY_NAME = {
    'whole_bodies': crowd.send_whole_body,
    'pieces': crowd.send_pieces,
    'large_chunks': crowd.send_large_chunks,
    'tiny_chunks': crowd.send_tiny_chunks,
    'announced_over_limit': crowd.send_announced_over_limit,
    'unannounced_over_limit': crowd.send_unannounced_over_limit,
    'slow_heads': crowd.send_head_slowly,
    'pipelined': crowd.send_pipelined,
    'never_read': crowd.never_read,
}


class MemoryBoundTests(testtools.TestCase):
    def check(self, found, memory_mb=crowd.MEMORY_MB):
        print(f'{self.id().rpartition(".")[2]}: {found}')
        within = {
            'memory': found['memory_mb'] < memory_mb,
            'descriptors': found['descriptors']
            < crowd.MAX_FDS - crowd.FILE_FDS,
        }
        self.assertEqual(
            {'memory': True, 'descriptors': True, 'lives': True},
            {**within, 'lives': found['lives']},
            found,
        )

    def check_answer(self, found, status=200):
        self.assertEqual(status, found['answer'], found)

    def meet(self, name):
        found = crowd.run_platform_crowd(KINDS_BY_NAME[name])
        self.check(found)
        self.check_answer(found)

    def test_whole_bodies_that_stop_short(self):
        """Legal bodies that stay incomplete filled the memory."""
        self.meet('whole_bodies')

    def test_bodies_piece_by_piece_that_stop_short(self):
        """Legal bodies that grow slowly filled the memory."""
        self.meet('pieces')

    def test_large_chunks_that_stop_short(self):
        """Bodies of unknown length filled the memory."""
        self.meet('large_chunks')

    def test_tiny_chunks_that_stop_short(self):
        """Chunks of one byte kept the process from answering others."""
        self.meet('tiny_chunks')

    def test_announced_bodies_over_the_limit(self):
        """Bodies over the limit were read up to it before a refusal."""
        self.meet('announced_over_limit')

    def test_unannounced_bodies_over_the_limit(self):
        """Many bodies were read up to the limit at once."""
        self.meet('unannounced_over_limit')

    def test_heads_a_byte_at_a_time(self):
        """Incomplete heads held connections and memory."""
        self.meet('slow_heads')

    def test_pipelined_requests(self):
        """Requests sent ahead were kept in memory."""
        self.meet('pipelined')

    def test_callers_that_never_read(self):
        """Answers that nobody reads filled the memory."""
        self.meet('never_read')

    def test_connections_opened_and_abandoned(self):
        """Idle connections used up the descriptors."""
        found = crowd.run_platform_crowd(
            crowd.send_nothing, crowd.ABANDONED_CALLERS
        )
        self.check(found)
        self.check_answer(found)

    def test_error_pages_without_end(self):
        """Each endless error page of a server grew a router by 16 MB."""
        found = crowd.run_platform_crowd(
            crowd.ask_endless_page, crowd.ENDLESS_PAGES
        )
        self.check(found)
        self.check_answer(found)

    def test_whole_bodies_at_the_products_own_router(self):
        """The product's own interface had no bound on the sum of bodies."""
        send = functools.partial(
            crowd.send_whole_body, size=crowd.OWN_BODY_BYTES
        )
        found = crowd.run_own_crowd(send)
        self.check(found, crowd.OWN_MEMORY_MB)
        self.check_answer(found, 503)
