"""Small stand-ins for the platform and for workers, for demos and tests."""
