"""
standins.__main__
~~~~~~~~~~~~~~~~~

Runs a stand-in as a process: ``python -m standins NAME [OPTIONS]``.
"""

import sys

from eelgrassfork.program import run_program

__all__ = ()

_NAMES = ('engine', 'plain_service', 'platform')
_EXIT_USAGE = 2

if __name__ == '__main__':
    if len(sys.argv) < 2 or sys.argv[1] not in _NAMES:
        sys.stderr.write(f'usage: python -m standins {"|".join(_NAMES)}\n')
        sys.exit(_EXIT_USAGE)
    sys.exit(run_program(f'standins.{sys.argv[1]}'))
