"""Grants the slots of endpoints to waiting tasks."""
