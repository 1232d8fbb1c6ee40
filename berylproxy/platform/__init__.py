"""Adapter for the users' platform: the only package that knows its names and protocols."""
