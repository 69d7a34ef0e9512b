"""Claims of opaque keys: the first claim in log order wins.

A node appends its claim of a key in a batch with others and reads the
log up to that claim. It then knows which two nodes decide about the key.
"""

from acaciafield import configuration
from acaciafield import effects
from acaciafield import folds
from acaciafield import keys
from acaciafield import structs

STREAM = "claims"
BATCH_DELAY_S = 0.005  # collects several claims for one append
CLAIM_TIMEOUT_S = 3.0
SNAPSHOT_INTERVAL_RECORDS = 400


class Claim(structs.Struct):
    """The winning claim of a key: its deciders and epoch."""

    __slots__ = ("home", "replica", "epoch")


class Claims(folds.LogFold):
    """Fold over the claims stream; holds the first claim of each key.

    >>> fold = Claims()
    >>> first = configuration.encode_record(
    ...     {"kind": "claims", "claims": [["k", "a", "b", 1]]})
    >>> second = configuration.encode_record(
    ...     {"kind": "claims", "claims": [["k", "c", "d", 1]]})
    >>> fold.apply_records(0, [(0, first), (1, second)])
    []
    >>> fold.claims_by_key["k"].home
    'a'
    """

    __slots__ = ("claims_by_key",)

    def __init__(self):
        super().__init__()
        self.claims_by_key = {}

    def apply_record(self, offset, record):
        """Apply a batch of claims."""
        if record["kind"] != "claims":
            raise ValueError("unknown record kind")
        for key, home, replica, epoch in record["claims"]:
            claim = Claim(str(home), str(replica), int(epoch))
            self.claims_by_key.setdefault(str(key), claim)

    def drop_expired_claims(self, now):
        """Remove the claims of epochs whose records have expired."""
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
        """Merge the claims of a snapshot; known claims stay."""
        for key, home, replica, epoch in snapshot["claims"]:
            claim = Claim(str(home), str(replica), int(epoch))
            self.claims_by_key.setdefault(str(key), claim)


class ClaimTimer(structs.Struct):
    """The collected claims must be appended."""

    __slots__ = ()


class ClaimWaitTimer(structs.Struct):
    """The claim did not appear in the log in time."""

    __slots__ = ("key",)


class PendingClaims:
    """Claims not yet appended, and the requests that wait for claims."""

    __slots__ = ("batch", "waiting_requests", "append_count")

    def __init__(self):
        self.batch = []
        self.waiting_requests = {}
        self.append_count = 0


def request_claim(state, key, request_id, now, out):
    """Return the Claim of an opaque key, or request one.

    Returns None if the claim is unknown. The request then continues
    later through ``state.resume_with_claim``.
    """
    claim = state.claims.claims_by_key.get(key)
    if claim is not None:
        return claim
    pending_claims = state.pending_claims
    waiting_requests = pending_claims.waiting_requests.setdefault(key, [])
    waiting_requests.append(request_id)
    if len(waiting_requests) > 1:
        return None
    if not pending_claims.batch:
        state.timers.subscribe("claim", now + BATCH_DELAY_S, ClaimTimer())
    epoch = keys.compute_epoch(now)
    replica = state.choose_replica() or keys.NO_REPLICA
    pending_claims.batch.append([key, state.node_id, replica, epoch])
    state.timers.subscribe(
        ("claim-wait", key), now + CLAIM_TIMEOUT_S, ClaimWaitTimer(key)
    )
    return None


def fire_claim(timer, state, now, out):
    """Append the collected claims as one record."""
    pending_claims = state.pending_claims
    rows, pending_claims.batch = pending_claims.batch, []
    pending_claims.append_count += 1
    append_id = "claims/%d" % pending_claims.append_count
    data = configuration.encode_record({"kind": "claims", "claims": rows})
    out.append(effects.AppendLog(STREAM, append_id, data))


def resume_claimed_requests(state, now, out):
    """Resume the requests whose claims the fold now knows."""
    pending_claims = state.pending_claims
    for key in list(pending_claims.waiting_requests):
        claim = state.claims.claims_by_key.get(key)
        if claim is None:
            continue
        state.timers.cancel(("claim-wait", key))
        for request_id in pending_claims.waiting_requests.pop(key):
            state.resume_with_claim(request_id, claim, now, out)


def fire_claim_wait(timer, state, now, out):
    """Stop waiting for a claim.

    Whether the request ran elsewhere is then unknown.
    """
    waiting_requests = state.pending_claims.waiting_requests.pop(timer.key, [])
    for request_id in waiting_requests:
        state.resume_with_claim(request_id, None, now, out)
