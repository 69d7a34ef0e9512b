"""Metrics in the Prometheus text format."""

QUANTILES = (50.0, 90.0, 99.0, 99.9)


def format_metrics(driver):
    """Return the metrics of a node as text."""
    state = driver.node.state
    lines = []
    _add_metric(
        lines,
        "acaciafield_members",
        "gauge",
        len(state.members.members_by_id) + 1,
    )
    _add_metric(
        lines, "acaciafield_config_offset", "gauge", state.config.offset
    )
    _add_metric(
        lines, "acaciafield_requests_in_hand", "gauge", len(state.requests)
    )
    records = sum(len(t.records) for t in state.key_tables.values())
    _add_metric(lines, "acaciafield_key_records", "gauge", records)
    _add_metric(
        lines,
        "acaciafield_unreadable_records_total",
        "counter",
        state.unreadable_records,
    )
    _add_metric(
        lines,
        "acaciafield_unreadable_messages_total",
        "counter",
        driver.peer_transport.unreadable + driver.rejected_messages,
    )
    _add_services(lines, state)
    _add_burn(lines, driver.burn)
    return "\n".join(lines) + "\n"


def _add_services(lines, state):
    names = (
        ("acaciafield_ejections_total", "counter", "ejected"),
        ("acaciafield_suspicions_total", "counter", "suspected"),
    )
    for metric, kind, field in names:
        lines.append("# TYPE %s %s" % (metric, kind))
        for service, service_state in sorted(state.services.items()):
            labels = '{service="%s"}' % service
            value = getattr(service_state, field)
            lines.append("%s%s %d" % (metric, labels, value))


def _add_burn(lines, burn):
    lines.append("# TYPE acaciafield_requests_total counter")
    rows = sorted(burn.table.items())
    for (service, name), class_burn in rows:
        for outcome, count in class_burn.outcomes.items():
            labels = '{service="%s",class="%s",outcome="%s"}' % (
                service,
                name,
                outcome.value,
            )
            lines.append("acaciafield_requests_total%s %d" % (labels, count))
    lines.append("# TYPE acaciafield_missed_total counter")
    for (service, name), class_burn in rows:
        labels = '{service="%s",class="%s"}' % (service, name)
        lines.append(
            "acaciafield_missed_total%s %d" % (labels, class_burn.missed)
        )
    lines.append("# TYPE acaciafield_latency_seconds summary")
    for (service, name), class_burn in rows:
        for quantile in QUANTILES:
            value = (
                class_burn.latencies.get_value_at_percentile(quantile) / 1e6
            )
            labels = '{service="%s",class="%s",quantile="%s"}' % (
                service,
                name,
                quantile / 100.0,
            )
            lines.append(
                "acaciafield_latency_seconds%s %.6f" % (labels, value)
            )
        labels = '{service="%s",class="%s"}' % (service, name)
        lines.append(
            "acaciafield_latency_seconds_count%s %d"
            % (labels, class_burn.total)
        )


def _add_metric(lines, name, kind, value):
    lines.append("# TYPE %s %s" % (name, kind))
    lines.append("%s %d" % (name, value))
