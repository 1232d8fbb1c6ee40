"""Decisions on jobs and tasks, each of which names the load that it answers.

Pure code without a clock or sockets; may import ``learning``, ``jobs`` and ``endpoints``.
"""
