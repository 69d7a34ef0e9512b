"""Counters and latency histograms of a gateway node."""

import collections

from hdrh import histogram

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Event counts and latencies of a node, for its metrics page."""

    __slots__ = ("counts", "latencies")

    def __init__(self):
        self.counts = collections.Counter()
        self.latencies = {}

    def count(self, name, **labels):
        """Count one event with these labels."""
        self.counts[name, tuple(sorted(labels.items()))] += 1

    def record_latency(self, route, seconds):
        """Record the latency of a request, in seconds."""
        route_histogram = self.latencies.get(route)
        if route_histogram is None:
            route_histogram = histogram.HdrHistogram(
                MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
            )
            self.latencies[route] = route_histogram
        route_histogram.record_value(max(MIN_LATENCY_MS, int(seconds * 1000)))

    def format_metrics(self, gauges, used_shares):
        """Return all metrics in the Prometheus text format.

        ``gauges`` maps a name to a number; ``used_shares`` maps a service
        to the share of its healthy workers that receive work.
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
        for route, route_histogram in sorted(self.latencies.items()):
            for percentile in PERCENTILES:
                value = (
                    route_histogram.get_value_at_percentile(percentile)
                    / 1000.0
                )
                lines.append(
                    'acaciafield_latency_seconds{route="%s",quantile="%s"} %s'
                    % (route, percentile / 100.0, value)
                )
        return "\n".join(lines) + "\n"
