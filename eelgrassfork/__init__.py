"""
eelgrassfork
~~~~~~~~~~~~

Router fleet that sells model access on prepaid token budgets.
"""

__all__ = ()
