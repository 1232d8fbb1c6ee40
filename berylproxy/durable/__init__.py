"""Durable jobs: stored before they are accepted, and carried out even if daemons fail."""
