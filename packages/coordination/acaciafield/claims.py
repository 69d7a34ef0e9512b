"""Claims of opaque keys: the first claim in log order decides.

A node claims a key in a batch with others, reads the log up to its
claim, and then knows which pair of nodes decides about the key.
"""

from acaciafield import configuration
from acaciafield import effects
from acaciafield import folds
from acaciafield import keys
from acaciafield import structs

STREAM = "claims"
BATCH_DELAY_S = 0.005  # seconds for which claims are gathered into one append
CLAIM_TIMEOUT_S = 3.0  # seconds after which a claim is given up
SNAPSHOT_INTERVAL_RECORDS = 400  # records behind the last snapshot


class Claim(structs.Struct):
    """The winning claim of a key: its deciders and epoch."""

    __slots__ = ("home", "replica", "epoch")


class Claims(folds.LogFold):
    """A fold over the claims stream: the first claim of each key.

    >>> fold = Claims()
    >>> first = configuration.encode_record(
    ...     {"kind": "claims", "claims": [["k", "a", "b", 1]]})
    >>> second = configuration.encode_record(
    ...     {"kind": "claims", "claims": [["k", "c", "d", 1]]})
    >>> fold.read_records(0, [(0, first), (1, second)])
    []
    >>> fold.claims_by_key["k"].home
    'a'
    """

    __slots__ = ("claims_by_key",)

    def __init__(self):
        super().__init__()
        self.claims_by_key = {}

    def fold_record(self, offset, record):
        """Take in a batch of claims."""
        if record["kind"] != "claims":
            raise ValueError("unknown kind")
        for key, home, replica, epoch in record["claims"]:
            claim = Claim(str(home), str(replica), int(epoch))
            self.claims_by_key.setdefault(str(key), claim)

    def forget_before(self, now):
        """Drop claims whose records no node keeps any longer."""
        expired = [
            key
            for key, claim in self.claims_by_key.items()
            if not keys.is_epoch_retained(claim.epoch, now)
        ]
        for key in expired:
            del self.claims_by_key[key]

    def take_snapshot(self):
        """Return the state as a snapshot record."""
        rows = [
            [key, claim.home, claim.replica, claim.epoch]
            for key, claim in self.claims_by_key.items()
        ]
        return {"kind": "snapshot", "upto": self.offset, "claims": rows}

    def load_snapshot(self, snapshot):
        """Replace the state by a snapshot's; known claims stay."""
        for key, home, replica, epoch in snapshot["claims"]:
            claim = Claim(str(home), str(replica), int(epoch))
            self.claims_by_key.setdefault(str(key), claim)


class ClaimTimer(structs.Struct):
    """The gathered claims are to be appended."""

    __slots__ = ()


class ClaimWaitTimer(structs.Struct):
    """A claim was not settled in time."""

    __slots__ = ("key",)


class PendingClaims:
    """Claims gathered, and the requests that wait for a key's claim."""

    __slots__ = ("batch", "waiting", "append_count")

    def __init__(self):
        self.batch = []
        self.waiting = {}
        self.append_count = 0


def request_claim(state, key, request_id, now, out):
    """Find out which pair decides about an opaque key.

    Returns the Claim if it is known, else None; then the request is
    called back through ``state.settle_claim``.
    """
    claim = state.claims.claims_by_key.get(key)
    if claim is not None:
        return claim
    claiming = state.claiming
    waiting = claiming.waiting.setdefault(key, [])
    waiting.append(request_id)
    if len(waiting) > 1:
        return None
    if not claiming.batch:
        state.timers.subscribe("claim", now + BATCH_DELAY_S, ClaimTimer())
    epoch = keys.compute_epoch(now)
    replica = state.choose_replica() or keys.NO_REPLICA
    claiming.batch.append([key, state.node_id, replica, epoch])
    state.timers.subscribe(
        ("claim-wait", key), now + CLAIM_TIMEOUT_S, ClaimWaitTimer(key)
    )
    return None


def fire_claim(timer, state, now, out):
    """Append the gathered claims as one record."""
    claiming = state.claiming
    rows, claiming.batch = claiming.batch, []
    claiming.append_count += 1
    append_id = "claims/%d" % claiming.append_count
    data = configuration.encode_record({"kind": "claims", "claims": rows})
    out.append(effects.AppendLog(STREAM, append_id, data))


def settle_claims(state, now, out):
    """Call back the requests whose claims the fold now knows."""
    claiming = state.claiming
    for key in list(claiming.waiting):
        claim = state.claims.claims_by_key.get(key)
        if claim is None:
            continue
        state.timers.cancel(("claim-wait", key))
        for request_id in claiming.waiting.pop(key):
            state.resume_with_claim(request_id, claim, now, out)


def fire_claim_wait(timer, state, now, out):
    """Give the claim up: what ran elsewhere cannot be known now."""
    waiting = state.claiming.waiting.pop(timer.key, [])
    for request_id in waiting:
        state.resume_with_claim(request_id, None, now, out)
