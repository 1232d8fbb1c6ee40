"""Placement: grants the slots of endpoints to waiting tasks."""
