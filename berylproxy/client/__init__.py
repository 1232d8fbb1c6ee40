"""The library that callers use to submit work."""
