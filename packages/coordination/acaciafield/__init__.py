"""Coordination of a proxy fleet, without any I/O.

Start with :mod:`acaciafield.node`, the public facade.
"""
