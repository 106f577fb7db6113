"""
standins
~~~~~~~~

In-process stand-ins for the platform and backend servers, for demo and tests.
"""

__all__ = ()
