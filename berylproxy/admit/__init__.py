"""Checks what callers and operators send before anything is kept of it."""
