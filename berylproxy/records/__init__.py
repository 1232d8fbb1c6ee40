"""Configuration records: schemas, checks and the daemon's current view."""
