"""State of a node, and the operations that its modules share."""

import collections
import random

from acaciafield import attempts
from acaciafield import claims
from acaciafield import configuration
from acaciafield import effects
from acaciafield import handover
from acaciafield import key_binding
from acaciafield import key_records
from acaciafield import membership
from acaciafield import placement
from acaciafield import synchronization
from acaciafield import timers


class NodeState:
    """The whole state of a node.

    ``stream_progress`` maps a stream to its StreamProgress. ``grant_count``
    counts the runs of keys that this node proposed as home;
    ``replicas_by_grant`` maps a grant to the replica of its key.
    ``unresponsive_keepers`` maps a node to the end of its backoff (time in
    seconds), ``unanswered_attempts`` a worker to the number of its
    unanswered attempts in a row, and ``last_keepers`` a service to the
    keeper that got its last permit request.
    ``ranked_keepers`` caches the keepers of services for the members in
    ``ranked_members``. ``local_messages`` are messages of this node to
    itself that are not handled yet.
    """

    __slots__ = (
        "now",
        "node_id",
        "random",
        "timers",
        "members",
        "config",
        "claims",
        "pending_claims",
        "stream_progress",
        "services",
        "host_lists",
        "requests",
        "outcome_reports",
        "key_tables",
        "replicas_by_grant",
        "grant_count",
        "unresponsive_keepers",
        "unanswered_attempts",
        "last_keepers",
        "ranked_keepers",
        "ranked_members",
        "planned_stop",
        "unreadable_records",
        "local_messages",
        "request_observer",
    )

    def __init__(
        self, local_member, seed, validity=handover.ANSWER_VALIDITY_S
    ):
        self.now = 0.0
        self.node_id = local_member.node_id
        self.random = random.Random(seed)
        self.timers = timers.Timers()
        self.members = membership.Members(local_member)
        self.config = configuration.Configuration()
        self.claims = claims.Claims()
        self.pending_claims = claims.PendingClaims()
        self.stream_progress = {
            configuration.STREAM: synchronization.StreamProgress(self.config),
            claims.STREAM: synchronization.StreamProgress(self.claims),
        }
        self.services = {}
        self.host_lists = {}
        self.requests = {}
        self.outcome_reports = {}
        self.key_tables = {
            local_member.node_id: key_records.KeyTable(
                local_member.node_id, True
            )
        }
        self.replicas_by_grant = {}
        self.grant_count = 0
        self.unresponsive_keepers = {}
        self.unanswered_attempts = {}
        self.last_keepers = {}
        self.ranked_keepers = {}
        self.ranked_members = None
        self.planned_stop = handover.PlannedStop(validity)
        self.unreadable_records = 0
        self.local_messages = collections.deque()
        self.request_observer = None

    def send(self, node_id, message, out):
        """Send a message to a node, which may be this node."""
        if node_id == self.node_id:
            self.local_messages.append(message)
        else:
            out.append(effects.Send(node_id, message))

    def choose_replica(self):
        """Return the replica for keys with this node as their home."""
        usable = self.members.list_usable_members()
        return placement.choose_other_node(self.node_id, usable)

    def fetch_newer_config(self, sender, offset, digest, now, out):
        """Fetch the configuration from a node with a newer one."""
        synchronization.fetch_newer_config(
            self, sender, offset, digest, now, out
        )

    def handle_member_update(self, update, now, out):
        """Move permit requests off a keeper that is dead or leaving."""
        if update.status not in (membership.DEAD, membership.LEAVING):
            return
        for request in list(self.requests.values()):
            attempts.replace_keeper(request, update.node_id, self, now, out)

    def bind_key(self, request, key, now, out):
        """Ask the deciders of the key whether the request may run."""
        key_binding.bind_key(request, key, self, now, out)

    def resume_with_claim(self, request_id, claim, now, out):
        """Continue a request once the claim of its opaque key is known."""
        request = self.requests.get(request_id)
        if request is not None:
            key_binding.resume_with_claim(request, claim, self, now, out)

    def report_outcome(self, request, outcome, status, answer, now, out):
        """Report the outcome of a run to the home of its key."""
        key_binding.report_outcome(
            request, outcome, status, answer, self, now, out
        )

    def report_finished_request(self, request, outcome, status, now):
        """Call the request observer, if any, with a finished request."""
        if self.request_observer is not None:
            self.request_observer(request, outcome, status, now)
