"""Carries one task to one endpoint over connections that the daemon keeps itself."""
