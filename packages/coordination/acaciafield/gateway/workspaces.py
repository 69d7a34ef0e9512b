"""Workspaces: the customers whose keys, priority and quota are configured."""

import hashlib
import os

from acaciafield import structs

KEY_DIGEST_BYTES = 16


class Workspace(structs.Struct):
    """A workspace of a configuration.

    ``priority`` is None where the workspace has none, else 0 is the most
    urgent. ``rate`` is its quota in requests a second, with ``burst``
    requests more at once; a rate of 0 means no limit.
    """

    __slots__ = ("name", "priority", "rate", "burst")
    DEFAULTS = {"priority": None, "rate": 0.0, "burst": 0.0}


class WorkspaceTable:
    """The workspaces of a configuration, by name and by key.

    Keys are kept and looked up as keyed hashes. The time of a look-up then
    tells nothing about the stored keys, and a dump of the table none of them.
    ``is_readable`` is False if the table of the configuration could not be
    read, so that no request with a key can be decided on.
    """

    __slots__ = ("by_name", "is_readable", "_by_digest", "_secret")

    def __init__(self):
        self.by_name = {}
        self.is_readable = True
        self._by_digest = {}
        self._secret = os.urandom(KEY_DIGEST_BYTES)

    def add(self, workspace, keys):
        """Add a workspace with its keys, as text."""
        self.by_name[workspace.name] = workspace
        for key in keys:
            self._by_digest[self._digest(key)] = workspace

    def find(self, key):
        """Return the Workspace that holds a key, or None.

        >>> table = WorkspaceTable()
        >>> table.add(Workspace("w1"), ["k1"])
        >>> table.find("k1").name
        'w1'
        >>> table.find("k2") is None
        True
        """
        return self._by_digest.get(self._digest(key))

    def _digest(self, key):
        return hashlib.blake2b(
            key.encode(errors="surrogateescape"),
            key=self._secret,
            digest_size=KEY_DIGEST_BYTES,
        ).digest()
