"""A holder's orders to its endpoints during a tenure, and what is logged and counted of them.

May import all folders but ``holding`` and ``entry``.
"""
