"""Measures the placement decisions on real processes, against simple policies and a bound."""
