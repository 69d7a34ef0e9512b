"""The operator's program: checks and publishes files, shows reports."""
