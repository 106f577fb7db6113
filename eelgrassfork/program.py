"""
eelgrassfork.program
~~~~~~~~~~~~~~~~~~~~

Runs a program whose signals are received before its modules are imported.
"""

from collections.abc import Callable
from importlib import import_module

from .process_signals import ProcessSignals

__all__ = ('Program', 'run_program')

Program = Callable[[ProcessSignals], int]


def run_program(module: str) -> int:
    """
    Import a module and call its ``run`` function.

    Imports take most of the start of a process, and a signal may arrive
    meanwhile, so the module that calls this function imports nothing else.

    :param module: absolute name of the module; its ``run`` is a
        :data:`Program`.
    :returns: exit code of the program.
    """
    signals = ProcessSignals()
    signals.start()
    try:
        run: Program = import_module(module).run
        return run(signals)
    finally:
        signals.close()
