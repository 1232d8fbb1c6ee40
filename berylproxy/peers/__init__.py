"""Streams between daemons, and the membership learnt from them."""
