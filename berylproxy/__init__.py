"""berylproxy: a dispatcher for sub-second tasks in parallel jobs."""

__version__ = "0.1.0"
