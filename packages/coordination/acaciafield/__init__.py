"""Coordination decisions for a fleet of proxies, free of any I/O.

Start with :mod:`acaciafield.node`, the public facade.
"""
