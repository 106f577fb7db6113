"""
eelgrassfork.platform
~~~~~~~~~~~~~~~~~~~~~

Translates between the gateway and the users' platform.
"""

__all__ = ()
