"""The configuration, a fold over the operators' stream of the log."""

import json

import xxhash

from acaciafield import classes
from acaciafield import folds

STREAM = "configuration"
MAX_VERDICTS = 512
ACCEPTED = "accepted"
STALE = "stale"
INVALID = "invalid"


class ConfigItem:
    """The configuration of a service, with the offset after its change.

    ``body`` is the published document and ``service`` the ServiceConfig
    made of it; both are None for a removed service.
    """

    __slots__ = ("offset", "body", "service")

    def __init__(self, offset, body, service):
        self.offset = offset
        self.body = body
        self.service = service


class Configuration(folds.LogFold):
    """The configuration of all services, and verdicts on recent changes.

    ``verdicts`` maps the identifier of a change to its offset and verdict.

    >>> config = Configuration()
    >>> change = make_change("c1", {"prices": (0, {"classes": {}})})
    >>> config.apply_records(0, [(0, encode_record(change))])
    []
    >>> config.verdicts["c1"]
    [0, 'accepted']
    """

    __slots__ = ("items", "verdicts", "_digest")

    def __init__(self):
        super().__init__()
        self.items = {}
        self.verdicts = {}
        self._digest = None

    def find_service(self, name):
        """Return the ServiceConfig of a service, or None."""
        item = self.items.get(name)
        return item.service if item else None

    def compute_digest(self):
        """Return a digest of the items' offsets, as 16 hex digits."""
        if self._digest is None:
            text = json.dumps(
                sorted((n, i.offset) for n, i in self.items.items())
            )
            self._digest = xxhash.xxh3_64_hexdigest(text.encode())
        return self._digest

    def apply_record(self, offset, record):
        """Apply a change; every reader reaches the same verdict."""
        if record["kind"] != "change":
            raise ValueError("unknown kind")
        change_id = str(record["id"])
        if change_id in self.verdicts:
            return
        verdict = self._check_change(record["items"])
        if verdict == ACCEPTED:
            for name, item in record["items"].items():
                self._set_item(name, offset + 1, item["body"])
        self.verdicts[change_id] = [offset, verdict]
        while len(self.verdicts) > MAX_VERDICTS:
            del self.verdicts[next(iter(self.verdicts))]

    def take_snapshot(self):
        """Return the state as a snapshot record."""
        return {
            "kind": "snapshot",
            "upto": self.offset,
            "items": {
                name: {"offset": item.offset, "body": item.body}
                for name, item in self.items.items()
            },
            "verdicts": self.verdicts,
        }

    def load_snapshot(self, snapshot):
        """Replace the state by that of a snapshot."""
        items = {
            name: (item["offset"], item["body"])
            for name, item in snapshot["items"].items()
        }
        self.verdicts = dict(snapshot["verdicts"])
        self.items = {}
        for name, (offset, body) in items.items():
            self._set_item(name, offset, body)
        self._digest = None

    def _check_change(self, items):
        for name, item in items.items():
            known = self.items.get(name)
            if known is not None and known.offset > item["base"]:
                return STALE
        for name, item in items.items():
            if item["body"] is not None:
                if classes.check_service(name, item["body"]).is_error():
                    return INVALID
        return ACCEPTED

    def _set_item(self, name, offset, body):
        self._digest = None
        service = None
        if body is not None:
            service = classes.check_service(name, body).ok
        self.items[name] = ConfigItem(offset, body, service)


def make_change(change_id, items, author=""):
    """Return a change record.

    ``items`` maps a service to its base offset and its body. The change
    is stale if the service changed at the base offset or later. A body
    of None removes the service.
    """
    return {
        "kind": "change",
        "id": change_id,
        "author": author,
        "items": {
            name: {"base": base, "body": body}
            for name, (base, body) in items.items()
        },
    }


def encode_record(record):
    """Return a record as the bytes that are written to the log."""
    return json.dumps(record, sort_keys=True).encode()
