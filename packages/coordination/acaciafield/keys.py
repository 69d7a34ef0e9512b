"""Idempotency keys that name the two nodes which decide about them.

An issued key is ``af1-<home>-<replica>-<epoch>.<suffix>``. Home and
replica are node incarnations. A request runs only with the consent of
both, so either of them alone can answer for a key and refuse it finally.
"""

import re

import expression
import xxhash

from acaciafield import structs

KEY_EPOCH_S = 600.0  # minimum time for which a prefix can start new keys
OPEN_EPOCHS = 2  # epochs whose keys may start runs, the current one included
RETAINED_EPOCHS = 8  # epochs whose records stay in memory
NO_REPLICA = "none"
MAX_KEY_LENGTH = 200  # characters
_ISSUED_PATTERN = re.compile(
    r"^af1-([A-Za-z0-9_]+)-([A-Za-z0-9_]+)-([0-9]{1,12})\.([!-~]{1,120})$"
)
_OPAQUE_PATTERN = re.compile(r'^"?[!-~]{1,198}"?$')


class IssuedKey(structs.Struct):
    """A key with a prefix that the fleet issued."""

    __slots__ = ("home", "replica", "epoch", "digest")


class OpaqueKey(structs.Struct):
    """A key that the caller chose itself."""

    __slots__ = ("digest",)


def issue_prefix(home, replica, now):
    """Return the prefix of new keys decided by ``home`` and ``replica``."""
    epoch = compute_epoch(now)
    return "af1-%s-%s-%d" % (home, replica or NO_REPLICA, epoch)


def compute_epoch(now):
    """Return the number of the epoch that contains ``now`` (seconds)."""
    return int(now // KEY_EPOCH_S)


def is_epoch_open(epoch, now):
    """Return whether requests with new keys of the epoch may run."""
    return epoch > compute_epoch(now) - OPEN_EPOCHS


def is_epoch_retained(epoch, now):
    """Return whether records of the epoch are still in memory."""
    return epoch > compute_epoch(now) - RETAINED_EPOCHS


def parse_key(service, text):
    """Return a Result with an IssuedKey or OpaqueKey, or an error text.

    >>> parse_key("orders", "af1-n1_5-n2_7-12.a").ok.home
    'n1_5'
    >>> parse_key("orders", "").error
    'The Idempotency-Key is empty.'
    """
    if not text:
        return expression.Error("The Idempotency-Key is empty.")
    if len(text) > MAX_KEY_LENGTH:
        return expression.Error(
            "The Idempotency-Key has over %d characters." % MAX_KEY_LENGTH
        )
    digest = compute_digest(service, text)
    found = _ISSUED_PATTERN.match(text)
    if found:
        home, replica, epoch, _suffix = found.groups()
        return expression.Ok(IssuedKey(home, replica, int(epoch), digest))
    if text.startswith("af1-"):
        return expression.Error(
            "The Idempotency-Key starts like an issued prefix "
            "but does not read on as one."
        )
    if not _OPAQUE_PATTERN.match(text):
        return expression.Error(
            "The Idempotency-Key has a character outside printable ASCII."
        )
    return expression.Ok(OpaqueKey(digest))


def compute_digest(*parts):
    """Return a 128-bit digest of the parts as 32 hex digits."""
    return xxhash.xxh3_128_hexdigest("\x00".join(parts).encode())
