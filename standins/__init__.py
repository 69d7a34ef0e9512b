"""Small stand-ins of the platform and of workers, for demos and tests."""
