"""
bench
~~~~~

Measurements of the router fleet against small stand-ins.
"""
