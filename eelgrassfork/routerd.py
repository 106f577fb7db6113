"""
eelgrassfork.routerd
~~~~~~~~~~~~~~~~~~~~

Entry point of the router daemon of an entry VM.
"""

import sys

from .program import run_program

__all__ = ('main',)


def main() -> int:
    """
    Run a router with the settings file given on the command line.

    :returns: exit code, see :func:`eelgrassfork.router_daemon.run`.
    """
    return run_program('eelgrassfork.router_daemon')


if __name__ == '__main__':
    sys.exit(main())
