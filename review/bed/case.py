"""Record and exit code of a script."""

import sys
import time
import traceback
from pathlib import Path

import trio

HELD, BROKEN, NOT_RUN = 0, 1, 2
_LIMIT_S = 110


class CannotRun(Exception):
    """The case can't be judged."""


class Record:
    """Writes ``record.txt`` beside the script."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w')
        self._started_at = time.monotonic()

    def note(self, text):
        at = time.monotonic() - self._started_at
        self._file.write(f'{at:8.3f} {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


def run(play, script, has_trouble):
    """Run ``play(record, has_trouble)``, which returns whether the rule held."""
    record = Record(Path(script).parent)
    record.note(f'trouble: {"yes" if has_trouble else "no"}')

    async def limited():
        with trio.fail_after(_LIMIT_S):
            return await play(record, has_trouble)

    try:
        held = trio.run(limited)
    except BaseException:
        record.note('could not run:\n' + traceback.format_exc())
        record.close()
        sys.exit(NOT_RUN)
    record.note('the rule held' if held else 'THE RULE WAS BROKEN')
    record.close()
    sys.exit(HELD if held else BROKEN)
