"""Collects the results of a job's tasks into a single answer."""
