"""Gathers the results of a job's tasks into its single answer."""
