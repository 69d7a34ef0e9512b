"""The operator's program: check, publish, show, report."""
