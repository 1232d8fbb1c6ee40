"""Counts of the work that each owner's endpoints have finished, for billing."""
