"""The fleet's status in plain words."""


def describe_fleet(answers):
    """Return lines that tell how the fleet is, the summary first.

    ``answers`` maps each node to its status document, or to None.
    """
    known = {n: a for n, a in answers.items() if a}
    silent = sorted(set(answers) - set(known))
    problems, lines = [], []
    lines.append("%d of %d nodes answer." % (len(known), len(answers)))
    for node in silent:
        problems.append("Node %s does not answer." % node)
    _describe_log(known, problems)
    _describe_offsets(known, problems)
    for service, keeping in sorted(_merge_services(known).items()):
        lines.append(_describe_service(service, keeping, problems))
    if problems:
        head = "The fleet needs a look:"
        return [head] + ["  " + p for p in problems] + lines
    return ["All is well. Nothing needs doing."] + lines


def list_problems(answers):
    """Return whether the status names anything that needs a look."""
    return not describe_fleet(answers)[0].startswith("All is well")


def _describe_log(known, problems):
    cut = sorted(n for n, a in known.items() if not a["log_answers"])
    if cut:
        problems.append(
            "The platform's log does not answer %d nodes. Work goes on; "
            "changes of the configuration wait." % len(cut)
        )


def _describe_offsets(known, problems):
    newest = max((a["offset"] for a in known.values()), default=0)
    behind = [n for n, a in known.items() if a["offset"] < newest]
    for node in sorted(behind):
        problems.append("Node %s is behind on the configuration." % node)
    for node in sorted(n for n, a in known.items() if not a["serving"]):
        problems.append("Node %s has no configuration yet." % node)


def _merge_services(known):
    merged = {}
    for answer in known.values():
        for service, keeping in answer["services"].items():
            held = merged.get(service)
            if held is None or keeping["in_flight"] > held["in_flight"]:
                merged[service] = keeping
    return merged


def _describe_service(service, keeping, problems):
    workers = keeping["workers"]
    out = [w["worker"] for w in workers if w["status"] == "ejected"]
    text = "%s: %d of %d backend servers in use" % (
        service,
        sum(w["status"] in ("healthy", "cold") for w in workers),
        len(workers),
    )
    if out:
        text += "; resting: %s" % ", ".join(sorted(out))
    if keeping["healthy"] <= keeping["floor"] and out:
        problems.append(
            "%s is at its floor: it cannot spare another backend server."
            % service
        )
    if not workers:
        problems.append("%s has no backend server." % service)
    if keeping["quarantined"]:
        text += "; %d kinds of request are refused, for they crash" % (
            keeping["quarantined"]
        )
    return text + "."
