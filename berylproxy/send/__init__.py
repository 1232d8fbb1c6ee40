"""Sends tasks to endpoints over connections that the daemon manages itself."""
