"""Hooks for behave."""
