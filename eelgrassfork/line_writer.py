"""
eelgrassfork.line_writer
~~~~~~~~~~~~~~~~~~~~~~~~

Writes log lines to a file descriptor without blocking on its reader.
"""

import errno
import os
from collections import deque
from typing import Final

import logbook
import trio

__all__ = ('LineWriter',)

_log = logbook.Logger('logs')

_MAX_BUFFERED_BYTES: Final = 262_144
_LINES_PER_S: Final = 300
_BURST_LINES: Final = 600
_FLUSH_S: Final = 0.2
# The last lines wait for their reader as long as SIGKILL leaves time.
_CLOSE_TIMEOUT_S: Final = 0.2
_CLOSE_POLL_INTERVAL_S: Final = 0.01


class LineWriter:
    """
    Text stream that drops lines above a rate limit or when its buffer is full.

    :param descriptor: file descriptor; it is set to non-blocking mode.
    :param lines_per_s: maximum average rate of lines.
    :ivar dropped: number of lines that were not written.
    """

    def __init__(
        self, descriptor: int, lines_per_s: float = _LINES_PER_S
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._tokens: float = _BURST_LINES
        self._refilled_at: float | None = None
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """
        Write or buffer one line, or drop it.

        :param text: the line with its terminator.
        :returns: length of the line in characters, also if it is dropped.
        """
        if not self._take_token():
            self.dropped += 1
            return len(text)
        encoded = text.encode()
        if self._pending_bytes + len(encoded) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
            return len(text)
        self._pending.append(encoded)
        self._pending_bytes += len(encoded)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._pending:
            line = self._pending[0]
            written = self._try_write(line)
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()

    async def run(self) -> None:
        """Flush the buffer periodically and log the number of dropped lines."""
        reported = 0
        while True:
            await trio.sleep(_FLUSH_S)
            self.flush()
            if self.dropped > reported and self._can_write_now():
                _log.warning(
                    'log lines dropped', extra={'in_all': self.dropped}
                )
                reported = self.dropped

    async def close(self) -> None:
        """Write the buffered lines, as far as the reader takes them in time."""
        with trio.move_on_after(_CLOSE_TIMEOUT_S):
            self.flush()
            while self._pending:
                await trio.sleep(_CLOSE_POLL_INTERVAL_S)
                self.flush()

    def _try_write(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except OSError as error:
            if error.errno == errno.EAGAIN:
                return 0
            # The descriptor has no reader any more; the line is lost.
            self.dropped += 1
            return len(line)

    def _can_write_now(self) -> bool:
        self._refill()
        return self._tokens >= 1 and not self._pending

    def _take_token(self) -> bool:
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now_s = _now_s()
        if self._refilled_at is not None:
            added = (now_s - self._refilled_at) * self._lines_per_s
            self._tokens = min(_BURST_LINES, self._tokens + added)
        self._refilled_at = now_s


def _now_s() -> float:
    try:
        return trio.current_time()
    except RuntimeError:
        # Lines written before the event loop starts or after it ends.
        return 0
