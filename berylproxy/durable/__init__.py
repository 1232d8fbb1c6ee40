"""Durable jobs: accepted once they are stored, carried on whichever daemons fail."""
