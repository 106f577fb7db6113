"""
eelgrassfork.gateway.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decisions on requests that wait for credit; performs no I/O.
"""

__all__ = ()
