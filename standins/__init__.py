"""Small stand-ins for the external systems of berylproxy: the platform and the endpoints."""
