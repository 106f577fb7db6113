"""
demo
~~~~

Demo of both fleets at small scale, as separate processes on loopback.
"""

__all__ = ()
