"""Holds the tasks of accepted jobs until a slot is granted."""
