"""Admission: authorizes and validates calls of callers and operators before they are processed."""
