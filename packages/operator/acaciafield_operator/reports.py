"""The report on service-level burn as text and as an HTML page."""

import html

from acaciafield import structs
from hdrh import histogram

MINUTE_S = 60.0
SHORT_WINDOW_MINUTES = 5
LONG_WINDOW_MINUTES = 60
CHART_WIDTH_PX = 600
CHART_HEIGHT_PX = 120
_STYLE = (
    "body{font-family:sans-serif;max-width:46em;margin:2em auto}"
    "table{border-collapse:collapse}td,th{padding:.3em .8em;"
    "text-align:left;border-bottom:1px solid #ccc}"
    ".missed{color:#b00020}"
)


class ClassReport(structs.Struct):
    """The counts of one class of work on all nodes; latencies in seconds.

    ``short_burn`` and ``long_burn`` are the rates at which the error
    budget was used in the last five minutes and the last hour; a rate of
    1.0 uses it up exactly. ``share`` is the share of the requests that must
    meet the target; ``minutes`` holds [minute since the epoch, total,
    missed], oldest first.
    """

    __slots__ = (
        "service",
        "name",
        "target",
        "within",
        "share",
        "total",
        "missed",
        "outcomes",
        "p50",
        "p99",
        "short_burn",
        "long_burn",
        "minutes",
    )

    @property
    def is_met(self):
        """Whether the class met its target over the last hour."""
        return self.long_burn <= 1.0


def merge_reports(answers):
    """Return a list of ClassReports merged from burn documents of nodes."""
    merged, now = {}, 0.0
    for answer in answers:
        now = max(now, answer["now"])
        for row in answer["classes"]:
            merged.setdefault((row["service"], row["class"]), []).append(row)
    return [
        _merge_rows(rows, int(now // MINUTE_S))
        for _, rows in sorted(merged.items())
    ]


def format_text(reports):
    """Return the report as lines of text."""
    if not reports:
        return ["No requests have been counted yet."]
    lines = []
    for report in reports:
        verdict = "met" if report.is_met else "MISSED"
        lines.append(
            "%s/%s: target %s, %s. %d requests, %d missed."
            % (
                report.service,
                report.name,
                verdict,
                _describe_target(report),
                report.total,
                report.missed,
            )
        )
        lines.append(
            "    error budget used at %.2f times the allowed rate "
            "(5 minutes), %.2f (1 hour); median latency %.0f ms, "
            "99th percentile %.0f ms"
            % (
                report.short_burn,
                report.long_burn,
                report.p50 * 1000,
                report.p99 * 1000,
            )
        )
    return lines


def format_page(reports):
    """Return the report as a self-contained HTML page with plots."""
    rows, charts = [], []
    for report in reports:
        name = html.escape("%s/%s" % (report.service, report.name))
        verdict = "met" if report.is_met else '<b class="missed">missed</b>'
        rows.append(
            "<tr><td>%s</td><td>%s</td><td>%s</td><td>%d</td><td>%d</td>"
            "<td>%.2f</td><td>%.2f</td></tr>"
            % (
                name,
                html.escape(_describe_target(report)),
                verdict,
                report.total,
                report.missed,
                report.short_burn,
                report.long_burn,
            )
        )
        charts.append("<h2>%s</h2>%s" % (name, _draw_chart(report)))
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        "<title>Service-level burn</title><style>%s</style></head><body>"
        "<h1>Service-level burn</h1>"
        "<p>A burn of 1.00 uses up the allowed misses exactly; less is "
        "better."
        "</p><table><tr><th>Class</th><th>Target</th><th>State</th>"
        "<th>Requests</th><th>Missed</th><th>Burn, 5 min</th>"
        "<th>Burn, hour</th></tr>%s</table>%s</body></html>\n"
        % (_STYLE, "".join(rows), "".join(charts))
    )


def _merge_rows(rows, this_minute):
    first = rows[0]
    latencies = histogram.HdrHistogram(1, 3_600_000_000, 2)
    minutes, outcomes = {}, {}
    for row in rows:
        latencies.decode_and_add(row["histogram"])
        for minute, total, missed in row["minutes"]:
            counts = minutes.setdefault(minute, [0, 0])
            counts[0] += total
            counts[1] += missed
        for outcome, count in row["outcomes"].items():
            outcomes[outcome] = outcomes.get(outcome, 0) + count
    budget = 1.0 - first["share"]
    return ClassReport(
        first["service"],
        first["class"],
        first["target"],
        first["within"],
        first["share"],
        sum(row["total"] for row in rows),
        sum(row["missed"] for row in rows),
        outcomes,
        latencies.get_value_at_percentile(50.0) / 1e6,
        latencies.get_value_at_percentile(99.0) / 1e6,
        _compute_burn(minutes, this_minute, SHORT_WINDOW_MINUTES, budget),
        _compute_burn(minutes, this_minute, LONG_WINDOW_MINUTES, budget),
        [[m, *counts] for m, counts in sorted(minutes.items())],
    )


def _compute_burn(minutes, this_minute, window_minutes, budget):
    recent = [
        c for m, c in minutes.items() if m > this_minute - window_minutes
    ]
    total = sum(c[0] for c in recent)
    missed = sum(c[1] for c in recent)
    if not total:
        return 0.0
    return missed / total / budget


def _describe_target(report):
    share = "%g%%" % (100 * report.share)
    if report.target == "quick":
        return "%s answered within %g ms" % (share, report.within * 1000)
    if report.target == "once":
        return "%s run once, with a definite answer" % share
    return "%s finished" % share


def _draw_chart(report):
    """Return an SVG bar chart of the missed share of each minute."""
    budget = 1.0 - report.share
    max_share = max(
        [2 * budget] + [m[2] / m[1] for m in report.minutes if m[1]]
    )
    step = CHART_WIDTH_PX / LONG_WINDOW_MINUTES
    last_minute = report.minutes[-1][0] if report.minutes else 0
    bars = []
    for minute, total, missed in report.minutes:
        share = missed / total if total else 0.0
        height = share / max_share * CHART_HEIGHT_PX
        x = CHART_WIDTH_PX - (last_minute - minute + 1) * step
        bars.append(
            '<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" '
            'fill="%s"/>'
            % (
                x,
                CHART_HEIGHT_PX - max(height, 1),
                step * 0.8,
                max(height, 1),
                "#b00020" if share > budget else "#2e7d32",
            )
        )
    line_y = CHART_HEIGHT_PX - budget / max_share * CHART_HEIGHT_PX
    return (
        '<svg role="img" width="%d" height="%d"><title>Missed share of '
        "each minute; the line is the allowed share</title>%s"
        '<line x1="0" x2="%d" y1="%.1f" y2="%.1f" stroke="#555" '
        'stroke-dasharray="4"/></svg>'
        % (
            CHART_WIDTH_PX,
            CHART_HEIGHT_PX,
            "".join(bars),
            CHART_WIDTH_PX,
            line_y,
            line_y,
        )
    )
