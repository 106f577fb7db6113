"""
eelgrassfork.platform.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Entry point of the router daemon on the users' platform.
"""

import os
import sys

from ..program import run_program

__all__ = ()

if __name__ == '__main__':
    # Interpreter shutdown takes a large part of a second on a slow VM, and
    # SIGKILL may be imminent. Nothing is left to clean up.
    exit_code = run_program('eelgrassfork.platform.daemon')
    sys.stderr.flush()
    os._exit(exit_code)
