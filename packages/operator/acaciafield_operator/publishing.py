"""Publishes a configuration and waits until it is in force."""

import asyncio
import enum
import hashlib
import json

from acaciafield import configuration
from acaciafield import structs

POLL_PERIOD_S = 0.2


class Result(enum.Enum):
    """The result of publishing a file."""

    IN_FORCE = "in force everywhere"
    NO_CHANGE = "no change"
    CONFLICT = "lost race"
    INVALID = "invalid"
    PARTLY_IN_FORCE = "accepted, but not yet in force everywhere"
    UNCONFIRMED = "not known"


class Publication(structs.Struct):
    """A publication; ``behind`` names the nodes that are not up to date.

    ``offset`` is the base for the next change of the file, 0 if there is none.
    """

    __slots__ = ("result", "change_id", "offset", "behind", "services")
    DEFAULTS = {"offset": 0, "behind": (), "services": ()}


class Difference(structs.Struct):
    """A service whose configuration a file would change."""

    __slots__ = ("service", "kind", "old", "new")


def find_differences(definitions, config, remove=()):
    """Return the Differences that publishing a file would apply."""
    differences = []
    for service, body in sorted(definitions.bodies.items()):
        item = config["items"].get(service)
        old = item["body"] if item else None
        if old != body:
            kind = "change" if old is not None else "add"
            differences.append(Difference(service, kind, old, body))
    for service in remove:
        item = config["items"].get(service)
        if item and item["body"] is not None:
            differences.append(
                Difference(service, "remove", item["body"], None)
            )
    return differences


async def publish(fleet, definitions, author, timeout, progress, remove=()):
    """Publish the definitions of a file; return the Publication.

    The change's identifier is a digest of its content and base, so that
    a change published again after a lost answer is applied only once.
    ``timeout`` is in seconds.
    """
    config = await fleet.fetch_from_any("config")
    items = {}
    for difference in find_differences(definitions, config, remove):
        items[difference.service] = (definitions.base, difference.new)
    if not items:
        return Publication(Result.NO_CHANGE, "", config["offset"])
    change_id = make_change_id(definitions.base, items)
    record = configuration.make_change(change_id, items, author)
    offset = await fleet.append(
        configuration.STREAM, configuration.encode_record(record)
    )
    if offset is None:
        progress(
            "The log's answer was lost; checking whether it stored the change."
        )
    return await _wait_until_in_force(
        fleet, change_id, tuple(items), timeout, progress
    )


def make_change_id(base, items):
    """Return the identifier of a change, equal for equal changes."""
    text = json.dumps([base, items], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:24]


async def _wait_until_in_force(fleet, change_id, services, timeout, progress):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    reported_count = None
    while True:
        answers = await fleet.fetch_from_all("config", change=change_id)
        verdicts = [a["verdict"] for a in answers.values() if a]
        known_verdicts = [v for v in verdicts if v]
        if known_verdicts and known_verdicts[0][1] == configuration.STALE:
            return Publication(Result.CONFLICT, change_id)
        if known_verdicts and known_verdicts[0][1] == configuration.INVALID:
            return Publication(Result.INVALID, change_id)
        behind = tuple(
            sorted(n for n, a in answers.items() if not a or not a["verdict"])
        )
        if known_verdicts and not behind:
            offset = known_verdicts[0][0] + 1
            return Publication(
                Result.IN_FORCE, change_id, offset, (), services
            )
        if reported_count != len(known_verdicts):
            reported_count = len(known_verdicts)
            progress(
                "In force on %d of %d nodes." % (reported_count, len(answers))
            )
        if loop.time() >= deadline:
            break
        await asyncio.sleep(POLL_PERIOD_S)
    if not known_verdicts:
        return Publication(Result.UNCONFIRMED, change_id, 0, behind)
    offset = known_verdicts[0][0] + 1
    return Publication(
        Result.PARTLY_IN_FORCE, change_id, offset, behind, services
    )
