"""
eelgrassfork.platform
~~~~~~~~~~~~~~~~~~~~~

Adapter between the gateway and the users' platform.
"""

__all__ = ()
