"""Who holds a group of endpoints, and what the holder accepts, stores and hands over.

May import all folders but ``entry``.
"""
