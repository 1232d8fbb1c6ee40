"""Measures where the processor time of the platform's daemons goes."""
