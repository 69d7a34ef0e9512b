"""Decisions of a gateway: routes, grants, membership; no I/O."""
