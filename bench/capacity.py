"""Slopes of state, messages and time, and what they mean at full size.

Each slope of the embedded library is measured at three sizes and printed;
``--write`` makes docs/design/capacity.md from them.
"""

import pathlib

import cyclopts

from acaciafield import keys
from bench import slopes as measured

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "design" / "capacity.md"
NODES = 3800
SERVICES = 3800
WORKERS = 190_000
REQUESTS = 920_000  # a second
ROUTES = 120_000
WORKSPACES = 1_100_000
CHANGES = 29_000  # a day
RESTARTS = 33_000  # a day
REGIONS = 9
DAY = 86_400.0  # seconds
ORDER_SHARE = 0.1  # of requests that carry a key, an assumption
OPAQUE_SHARE = 0.1  # of those, with keys of the caller's own making
KEPT = keys.KEPT_EPOCHS * keys.EPOCH_LENGTH  # seconds
CPU_BUDGET = 0.04  # of a core
MEMORY_BUDGET = 32.0  # MB
TRAFFIC_BUDGET = 6000.0  # bytes a second
LOG_BUDGET = 300.0  # appends a second, for several hundred
app = cyclopts.App()


class Row:
    """One role's need at full size; ``budget`` may be None."""

    __slots__ = ("role", "what", "value", "budget", "unit", "mechanism")

    def __init__(self, role, what, value, budget, unit, mechanism):
        self.role = role
        self.what = what
        self.value = value
        self.budget = budget
        self.unit = unit
        self.mechanism = mechanism

    @property
    def fits(self):
        """Whether the need is within the budget."""
        return self.budget is None or self.value <= self.budget

    def format(self):
        """Return the row for the page."""
        budget = "" if self.budget is None else "%g" % self.budget
        return "| %s | %s | %.3g %s | %s | %s | %s |" % (
            self.role,
            self.what,
            self.value,
            self.unit,
            budget,
            "fits" if self.fits else "**RED**",
            self.mechanism,
        )


def make_rows(slopes):
    """Return what each role needs at full size."""
    per_service = WORKERS / SERVICES
    rate = REQUESTS / NODES
    keyed = rate * ORDER_SHARE * 2  # as home and as replica
    in_region = NODES / REGIONS
    value = {name: slope.value for name, slope in slopes.items()}
    base_traffic = slopes["traffic"].points[-1][1]
    base_work = slopes["work"].points[-1][1]
    size = slopes["traffic"].points[-1][0]
    traffic = base_traffic + max(0, in_region - size) * value["traffic"]
    work = base_work + max(0, in_region - size) * value["work"]
    churn = RESTARTS / DAY / REGIONS * 2 * 3 * 9 * 60
    claims = REQUESTS * ORDER_SHARE * OPAQUE_SHARE
    return [
        Row(
            "entry",
            "a request's decisions, of a core",
            rate * value["request"] / 1e6,
            None,
            "cores",
            "callers are sent to the service's keeper, so that no "
            "permit crosses the network; built (work on requests, not "
            "control)",
        ),
        Row(
            "keeper",
            "memory of one service's workers",
            per_service * value["worker"] / 1e6,
            MEMORY_BUDGET,
            "MB",
            "rendezvous hashing, one service a node on average; built",
        ),
        Row(
            "keeper",
            "judging ten times a second",
            per_service * value["judge"] * 10 / 1e6,
            CPU_BUDGET,
            "cores",
            "sums for each worker, kept by the keeper alone; built",
        ),
        Row(
            "home and replica",
            "memory of %d s of keys" % KEPT,
            keyed * KEPT * value["record"] / 1e6,
            MEMORY_BUDGET,
            "MB",
            "records dropped by epoch; a bounded table refuses before "
            "running; built, too large for the memory: shorter epochs or "
            "records packed in bytes are planned",
        ),
        Row(
            "follower",
            "memory of all classes of work on one node",
            ROUTES * value["route"] / 1e6,
            MEMORY_BUDGET,
            "MB",
            "every node folds everything; built. A stream for each "
            "service, folded by its keepers only, is planned",
        ),
        Row(
            "follower",
            "memory of one service's classes",
            ROUTES / SERVICES * value["route"] / 1e6,
            MEMORY_BUDGET,
            "MB",
            "a stream for each service; planned",
        ),
        Row(
            "follower",
            "memory of one service's workspaces, each as a class",
            WORKSPACES / SERVICES * value["route"] / 1e6,
            MEMORY_BUDGET,
            "MB",
            "a stream for each service; planned",
        ),
        Row(
            "follower",
            "folding all changes",
            CHANGES / DAY * value["change"] / 1e6,
            CPU_BUDGET,
            "cores",
            "a fold over the log; built",
        ),
        Row(
            "follower",
            "a changed configuration sent whole by a peer",
            CHANGES / DAY * ROUTES * 60,
            TRAFFIC_BUDGET,
            "bytes/s",
            "peers send the whole configuration; built. Changes alone "
            "are planned",
        ),
        Row(
            "member",
            "memory of the whole fleet's members",
            NODES * value["member"] / 1e6,
            MEMORY_BUDGET,
            "MB",
            "one list in every node; built. Regions summarised: planned",
        ),
        Row(
            "member",
            "traffic within a region of %d" % in_region,
            traffic + churn,
            TRAFFIC_BUDGET,
            "bytes/s",
            "random probing and gossip, lists compared in turn; built "
            "for one region, regions of their own are planned",
        ),
        Row(
            "member",
            "work within a region",
            work / 1e6,
            CPU_BUDGET,
            "cores",
            "random probing and gossip; built",
        ),
        Row(
            "platform streams",
            "appends for opaque keys, each keeper's batches of 5 ms",
            min(claims, SERVICES / 0.005),
            LOG_BUDGET,
            "appends/s",
            "claims batched in each node; built. One batcher a region "
            "with 30 appends a second is planned",
        ),
        Row(
            "platform streams",
            "appends for changes and snapshots",
            CHANGES / DAY * 1.01,
            LOG_BUDGET,
            "appends/s",
            "one append a change, a snapshot every 200; built",
        ),
    ]


def make_page(slopes, rows):
    """Return docs/design/capacity.md."""
    red = [r for r in rows if not r.fits]
    weakest = max(red, key=lambda r: r.value / r.budget)
    head = (
        "# Capacity of the embedded library at the future size\n\n"
        "After this page you know what each role needs at %d nodes, %d "
        "workers in %d services, %d requests a second, %d routes, %d "
        "workspaces, %d changes and %d restarts a day, in %d regions. "
        "It is made by `make bench-capacity` from slopes measured on one "
        "machine; times vary from run to run. Routes are counted as "
        "classes of work. Assumed: %d%% of requests carry a key, %d%% of "
        "those one of the caller's own making.\n\n"
        "## Needs\n\n"
        "| role | what | need | budget | state | mechanism |\n"
        "|---|---|---|---|---|---|\n"
        % (
            NODES,
            WORKERS,
            SERVICES,
            REQUESTS,
            ROUTES,
            WORKSPACES,
            CHANGES,
            RESTARTS,
            REGIONS,
            100 * ORDER_SHARE,
            100 * OPAQUE_SHARE,
        )
    )
    tail = (
        "\n\nThe weakest row: **%s, %s**, %.3g times its budget. %d of %d "
        "rows are red.\n\n"
        "Not measured here: the 2.5 ms at p99 (`make bench-overhead`, one "
        "node) and the 14 s for a change across regions (within one region "
        "of 48 nodes the tests hold 5 s).\n\n"
        "## Slopes\n\n"
        "| slope | value | unit | points (size: total) |\n"
        "|---|---|---|---|\n"
        % (
            weakest.role,
            weakest.what,
            weakest.value / weakest.budget,
            len(red),
            len(rows),
        )
    )
    return (
        head
        + "\n".join(r.format() for r in rows)
        + tail
        + "\n".join(s.format() for s in slopes.values())
        + "\n"
    )


@app.default
def run_bench(*, write: bool = False):
    """Print the page, and write it if asked."""
    slopes = measured.measure_slopes()
    page = make_page(slopes, make_rows(slopes))
    print(page)
    if write:
        PAGE.write_text(page)


if __name__ == "__main__":
    app()
