"""
eelgrassfork.gateway
~~~~~~~~~~~~~~~~~~~~

Forwards requests to backend servers as they are, without an API of its own.
"""

__all__ = ()
