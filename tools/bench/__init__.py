"""Compares the placement on real processes with simple policies and a theoretical bound."""
