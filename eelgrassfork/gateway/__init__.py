"""
eelgrassfork.gateway
~~~~~~~~~~~~~~~~~~~~

Reverse proxy that forwards requests to backend servers unchanged.
"""

__all__ = ()
