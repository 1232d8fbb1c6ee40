"""Deduplication: finds the one home of a submission, so that its tasks start at most once."""
