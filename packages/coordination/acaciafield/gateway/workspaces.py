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
    read, so that no request with a key can be decided on. ``secret`` is the
    key of the hash; another node that gets the hashes needs it too.
    """

    __slots__ = ("by_name", "is_readable", "secret", "_by_digest")

    def __init__(self, secret=None):
        self.by_name = {}
        self.is_readable = True
        self.secret = secret or os.urandom(KEY_DIGEST_BYTES)
        self._by_digest = {}

    def add(self, workspace, keys):
        """Add a workspace with its keys, as text."""
        self.add_digests(workspace, [self._digest(key) for key in keys])

    def add_digests(self, workspace, digests):
        """Add a workspace with the hashes of its keys, as bytes."""
        self.by_name[workspace.name] = workspace
        for digest in digests:
            self._by_digest[digest] = workspace

    def list_digests(self, name):
        """Return the hashes of the keys of a workspace."""
        return [d for d, w in self._by_digest.items() if w.name == name]

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
            key=self.secret,
            digest_size=KEY_DIGEST_BYTES,
        ).digest()
