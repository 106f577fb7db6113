"""
demo
~~~~

Both fleets in small, as separate processes on loopback.
"""

__all__ = ()
