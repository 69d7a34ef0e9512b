"""Capacity that the embedded library needs at full size.

Slopes of memory, traffic and CPU time are measured at three sizes and
extrapolated. ``--write`` writes docs/design/capacity.md from them.
"""

import pathlib

import cyclopts

from acaciafield import keys
from bench import slopes as measured

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "design" / "capacity.md"
NODE_COUNT = 3800
SERVICE_COUNT = 3800
WORKER_COUNT = 190_000
REQUEST_RATE = 920_000  # per second
ROUTE_COUNT = 120_000
WORKSPACE_COUNT = 1_100_000
CHANGES_PER_DAY = 29_000
RESTARTS_PER_DAY = 33_000
REGION_COUNT = 9
DAY_S = 86_400.0
KEYED_REQUEST_SHARE = 0.1  # of requests that carry a key; assumed
OPAQUE_KEY_SHARE = 0.1  # of these, whose key the caller made; assumed
RETENTION_S = keys.RETAINED_EPOCHS * keys.KEY_EPOCH_S
CPU_BUDGET_CORES = 0.04
MEMORY_BUDGET_MB = 32.0
TRAFFIC_BUDGET_BYTES_PER_S = 6000.0
LOG_BUDGET_APPENDS_PER_S = 300.0  # the log allows several hundred
app = cyclopts.App()


class Need:
    """A role's need of a resource; ``budget`` is None without a limit."""

    __slots__ = ("role", "resource", "value", "budget", "unit", "mechanism")

    def __init__(self, role, resource, value, budget, unit, mechanism):
        self.role = role
        self.resource = resource
        self.value = value
        self.budget = budget
        self.unit = unit
        self.mechanism = mechanism

    @property
    def fits(self):
        """Whether the need is within the budget."""
        return self.budget is None or self.value <= self.budget

    def format(self):
        """Return the need as a row of the page's table."""
        budget = "" if self.budget is None else "%g" % self.budget
        return "| %s | %s | %.3g %s | %s | %s | %s |" % (
            self.role,
            self.resource,
            self.value,
            self.unit,
            budget,
            "fits" if self.fits else "**RED**",
            self.mechanism,
        )


def estimate_needs(slopes):
    """Return the needs of each role at full size."""
    workers_per_service = WORKER_COUNT / SERVICE_COUNT
    request_rate = REQUEST_RATE / NODE_COUNT
    key_record_rate = request_rate * KEYED_REQUEST_SHARE * 2  # home, replica
    members_in_region = NODE_COUNT / REGION_COUNT
    slope_values = {name: slope.value for name, slope in slopes.items()}
    base_traffic = slopes["traffic"].points[-1][1]
    base_work = slopes["work"].points[-1][1]
    largest_size = slopes["traffic"].points[-1][0]
    traffic = (
        base_traffic
        + max(0, members_in_region - largest_size) * slope_values["traffic"]
    )
    work = (
        base_work
        + max(0, members_in_region - largest_size) * slope_values["work"]
    )
    churn_traffic = RESTARTS_PER_DAY / DAY_S / REGION_COUNT * 2 * 3 * 9 * 60
    claim_rate = REQUEST_RATE * KEYED_REQUEST_SHARE * OPAQUE_KEY_SHARE
    return [
        Need(
            "entry",
            "a request's decisions, of a core",
            request_rate * slope_values["request"] / 1e6,
            None,
            "cores",
            "callers are sent to the service's keeper, so that no "
            "permit crosses the network; built (work on requests, not "
            "control)",
        ),
        Need(
            "keeper",
            "memory of one service's workers",
            workers_per_service * slope_values["worker"] / 1e6,
            MEMORY_BUDGET_MB,
            "MB",
            "rendezvous hashing, one service a node on average; built",
        ),
        Need(
            "keeper",
            "judging ten times a second",
            workers_per_service * slope_values["judge"] * 10 / 1e6,
            CPU_BUDGET_CORES,
            "cores",
            "sums for each worker, kept by the keeper alone; built",
        ),
        Need(
            "home and replica",
            "memory of %d s of keys" % RETENTION_S,
            key_record_rate * RETENTION_S * slope_values["record"] / 1e6,
            MEMORY_BUDGET_MB,
            "MB",
            "records dropped by epoch; a bounded table refuses before "
            "running; built, too large for the memory: shorter epochs or "
            "records packed in bytes are planned",
        ),
        Need(
            "follower",
            "memory of all classes of work on one node",
            ROUTE_COUNT * slope_values["route"] / 1e6,
            MEMORY_BUDGET_MB,
            "MB",
            "every node folds everything; built. A stream for each "
            "service, folded by its keepers only, is planned",
        ),
        Need(
            "follower",
            "memory of one service's classes",
            ROUTE_COUNT / SERVICE_COUNT * slope_values["route"] / 1e6,
            MEMORY_BUDGET_MB,
            "MB",
            "a stream for each service; planned",
        ),
        Need(
            "follower",
            "memory of one service's workspaces, each as a class",
            WORKSPACE_COUNT / SERVICE_COUNT * slope_values["route"] / 1e6,
            MEMORY_BUDGET_MB,
            "MB",
            "a stream for each service; planned",
        ),
        Need(
            "follower",
            "folding all changes",
            CHANGES_PER_DAY / DAY_S * slope_values["change"] / 1e6,
            CPU_BUDGET_CORES,
            "cores",
            "a fold over the log; built",
        ),
        Need(
            "follower",
            "a changed configuration sent whole by a peer",
            CHANGES_PER_DAY / DAY_S * ROUTE_COUNT * 60,
            TRAFFIC_BUDGET_BYTES_PER_S,
            "bytes/s",
            "peers send the whole configuration; built. Changes alone "
            "are planned",
        ),
        Need(
            "member",
            "memory of the whole fleet's members",
            NODE_COUNT * slope_values["member"] / 1e6,
            MEMORY_BUDGET_MB,
            "MB",
            "one list in every node; built. Regions summarised: planned",
        ),
        Need(
            "member",
            "traffic within a region of %d" % members_in_region,
            traffic + churn_traffic,
            TRAFFIC_BUDGET_BYTES_PER_S,
            "bytes/s",
            "random probing and gossip, lists compared in turn; built "
            "for one region, regions of their own are planned",
        ),
        Need(
            "member",
            "work within a region",
            work / 1e6,
            CPU_BUDGET_CORES,
            "cores",
            "random probing and gossip; built",
        ),
        Need(
            "platform streams",
            "appends for opaque keys, each keeper's batches of 5 ms",
            min(claim_rate, SERVICE_COUNT / 0.005),
            LOG_BUDGET_APPENDS_PER_S,
            "appends/s",
            "claims batched in each node; built. One batcher a region "
            "with 30 appends a second is planned",
        ),
        Need(
            "platform streams",
            "appends for changes and snapshots",
            CHANGES_PER_DAY / DAY_S * 1.01,
            LOG_BUDGET_APPENDS_PER_S,
            "appends/s",
            "one append a change, a snapshot every 200; built",
        ),
    ]


def make_page(slopes, rows):
    """Return the text of docs/design/capacity.md."""
    red_rows = [r for r in rows if not r.fits]
    weakest = max(red_rows, key=lambda r: r.value / r.budget)
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
            NODE_COUNT,
            WORKER_COUNT,
            SERVICE_COUNT,
            REQUEST_RATE,
            ROUTE_COUNT,
            WORKSPACE_COUNT,
            CHANGES_PER_DAY,
            RESTARTS_PER_DAY,
            REGION_COUNT,
            100 * KEYED_REQUEST_SHARE,
            100 * OPAQUE_KEY_SHARE,
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
            weakest.resource,
            weakest.value / weakest.budget,
            len(red_rows),
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
    """Print the page, and write it to its file with ``write``."""
    slopes = measured.measure_slopes()
    page = make_page(slopes, estimate_needs(slopes))
    print(page)
    if write:
        PAGE.write_text(page)


if __name__ == "__main__":
    app()
