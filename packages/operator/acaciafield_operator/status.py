"""The status of the fleet as text."""


def describe_fleet(answers):
    """Return lines that describe the fleet, the overall state first.

    ``answers`` maps each node to its status document, or to None.
    """
    known_answers = {n: a for n, a in answers.items() if a}
    unresponsive = sorted(set(answers) - set(known_answers))
    problems, lines = [], []
    lines.append("%d of %d nodes answer." % (len(known_answers), len(answers)))
    for node in unresponsive:
        problems.append("Node %s does not answer." % node)
    _describe_log(known_answers, problems)
    _describe_offsets(known_answers, problems)
    for service, service_state in sorted(
        _merge_services(known_answers).items()
    ):
        lines.append(_describe_service(service, service_state, problems))
    if problems:
        heading = "The fleet needs a look:"
        return [heading] + ["  " + p for p in problems] + lines
    return ["All is well. Nothing needs doing."] + lines


def has_problems(answers):
    """Return whether the status of the fleet names a problem."""
    return not describe_fleet(answers)[0].startswith("All is well")


def _describe_log(known_answers, problems):
    unconnected = sorted(
        n for n, a in known_answers.items() if not a["log_answers"]
    )
    if unconnected:
        problems.append(
            "The platform's log does not answer %d nodes. Work goes on; "
            "changes of the configuration wait." % len(unconnected)
        )


def _describe_offsets(known_answers, problems):
    newest = max((a["offset"] for a in known_answers.values()), default=0)
    behind = [n for n, a in known_answers.items() if a["offset"] < newest]
    for node in sorted(behind):
        problems.append("Node %s is behind on the configuration." % node)
    for node in sorted(
        n for n, a in known_answers.items() if not a["serving"]
    ):
        problems.append("Node %s has no configuration yet." % node)


def _merge_services(known_answers):
    merged = {}
    for answer in known_answers.values():
        for service, service_state in answer["services"].items():
            previous = merged.get(service)
            if (
                previous is None
                or service_state["in_flight"] > previous["in_flight"]
            ):
                merged[service] = service_state
    return merged


def _describe_service(service, service_state, problems):
    workers = service_state["workers"]
    ejected = [w["worker"] for w in workers if w["status"] == "ejected"]
    text = "%s: %d of %d backend servers in use" % (
        service,
        sum(w["status"] in ("healthy", "cold") for w in workers),
        len(workers),
    )
    if ejected:
        text += "; resting: %s" % ", ".join(sorted(ejected))
    if service_state["healthy"] <= service_state["floor"] and ejected:
        problems.append(
            "%s is at its floor: it cannot spare another backend server."
            % service
        )
    if not workers:
        problems.append("%s has no backend server." % service)
    if service_state["quarantined"]:
        text += "; %d kinds of request are refused, for they crash" % (
            service_state["quarantined"]
        )
    return text + "."
