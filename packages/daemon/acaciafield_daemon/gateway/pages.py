"""The pages that a node serves itself: readiness, addresses, metrics."""

from aiohttp import web
import orjson

from acaciafield_daemon.gateway import boot_clock

ADDRESS_TTL_S = 2  # how long callers may cache addresses
MIN_ADDRESSES = 3  # below that, callers get addresses of all zones
MAX_ADDRESSES = 64  # in one answer to callers


class NodePages:
    """Answers the platform's and the callers' questions about a node.

    ``node`` is the GatewayNode.
    """

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node

    async def answer_ready(self, request):
        """Answer whether callers may be sent to this node."""
        is_ready = self._is_ready()
        return web.Response(status=200 if is_ready else 503)

    def _is_ready(self):
        if self.node.stopping.is_set():
            return False
        return self.node.state.is_serving(self.node.clock())

    async def answer_addresses(self, request):
        """Answer with the addresses that a caller should use."""
        node = self.node
        zone = request.query.get("zone", "")
        if not self._is_ready():
            return web.Response(status=503)
        ips = node.state.membership.list_ready_ips(
            zone, MIN_ADDRESSES, request.remote or ""
        )
        ips = ips or [node.options.ip]
        if len(ips) > MAX_ADDRESSES:
            ips = node.state.random.sample(ips, MAX_ADDRESSES)
        port = node.options.caller_port
        body = {
            "addresses": ["%s:%d" % (ip, port) for ip in ips],
            "ttlS": min(ADDRESS_TTL_S, node.options.max_address_ttl),
        }
        return web.Response(
            body=orjson.dumps(body), content_type="application/json"
        )

    async def answer_metrics(self, request):
        """Answer with the metrics as text."""
        return web.Response(body=self.dump_metrics())

    def dump_metrics(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        node = self.node
        now = node.clock()
        version = 0
        if node.request_server.configuration is not None:
            version = node.request_server.configuration.version
        gauges = {
            "requests_in_hand": node.request_server.active,
            "configuration_version": version,
            "members": len(node.state.membership.members),
            "coordinating": int(node.state.is_coordinating),
            **node.state.quotas.measure_gauges(),
            "paused_workers": node.state.pauses.count_paused(now),
            "quarantined": len(node.state.crashes.list_quarantined(now)),
            "store_age_seconds": node.state.get_store_age(now) or 0,
            "store_era": node.state.store_era or 0,
            "unreadable_messages": node.peers.unreadable,
            "oversized_messages": node.peers.oversized,
            "log_lines_dropped": node.log.dropped,
            "held_body_bytes": node.request_server.body_reader.held_bytes,
            "held_answer_bytes": node.worker_client.held_bytes,
            "held_client_bytes": node.ledger.held_bytes,
            "memory_refusals": node.ledger.refusals,
            "slow_heads_closed": node.caller_server.slow_heads_closed,
            "large_heads_refused": node.caller_server.large_heads_refused,
        }
        age = node.state.freshness.measure_age(boot_clock.read_boot_clock())
        if age is not None:
            gauges["configuration_age_seconds"] = age
        shares = node.state.measure_used_shares(now)
        return node.metrics.format_metrics(gauges, shares).encode()
