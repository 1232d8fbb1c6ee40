"""Small stand-ins for the systems that berylproxy meets: the platform and endpoints."""
