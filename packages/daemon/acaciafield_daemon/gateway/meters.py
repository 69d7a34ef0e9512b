"""Counters and latency histograms of a gateway's node."""

import collections

from hdrh import histogram

LOWEST = 1  # milliseconds
HIGHEST = 600_000  # milliseconds
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Meters:
    """What a node counts; latencies are recorded in milliseconds."""

    __slots__ = ("counts", "latencies")

    def __init__(self):
        self.counts = collections.Counter()
        self.latencies = {}

    def count(self, name, **labels):
        """Count one event."""
        self.counts[name, tuple(sorted(labels.items()))] += 1

    def record(self, route, seconds):
        """Record the latency of a request of a route."""
        found = self.latencies.get(route)
        if found is None:
            found = histogram.HdrHistogram(LOWEST, HIGHEST, DIGITS)
            self.latencies[route] = found
        found.record_value(max(LOWEST, int(seconds * 1000)))

    def format(self, gauges, used_shares):
        """Return all as text; ``gauges`` maps a name to a number.

        ``used_shares`` maps a service to the share of its sound workers
        that get work.
        """
        lines = []
        for name, value in sorted(gauges.items()):
            lines.append("# TYPE acaciafield_%s gauge" % name)
            lines.append("acaciafield_%s %s" % (name, value))
        for service, share in sorted(used_shares.items()):
            lines.append(
                'acaciafield_used_worker_share{service="%s"} %s'
                % (service, share)
            )
        for (name, labels), count in sorted(self.counts.items()):
            text = ",".join('%s="%s"' % label for label in labels)
            lines.append("acaciafield_%s_total{%s} %d" % (name, text, count))
        for route, found in sorted(self.latencies.items()):
            for quantile in QUANTILES:
                value = found.get_value_at_percentile(quantile) / 1000.0
                lines.append(
                    'acaciafield_latency_seconds{route="%s",quantile="%s"} %s'
                    % (route, quantile / 100.0, value)
                )
        return "\n".join(lines) + "\n"
