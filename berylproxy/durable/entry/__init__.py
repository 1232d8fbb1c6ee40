"""The daemon that a caller or an operator has reached.

May import all folders; no folder of ``berylproxy.durable`` imports it.
"""
