"""Learned quantities: run times, speeds, trust, effects of tasks on each other.

Pure code without a clock or sockets; imports nothing else of ``berylproxy.durable``.
"""
