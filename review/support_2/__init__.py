"""Stand-ins of the platform, its runners and its clients, for the scripts of this review."""
