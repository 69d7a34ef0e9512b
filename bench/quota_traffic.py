"""Traffic for quotas between zones, and the fullest windows under failures.

Run as ``python -m bench.quota_traffic`` for the traffic, or with the first
and the last seed for the windows. All of it is simulated in virtual time.
"""

import collections
import random
import sys

import orjson

from acaciafield.gateway import messages
from bench import quota_takeovers
from tests import gateway_quota_simulation as simulation
from tests import gateway_support as support
from tests import test_gateway_quotas

NOISY_FACTOR = 7.5
END_S = 16.0
QUOTA_MESSAGES = ("QuotaRequest", "QuotaTransfer")


class MeasuredFleet(simulation.QuotaFleet):
    """A fleet that counts the bytes of its messages by class."""

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.sizes = collections.Counter()

    def deliver(self, sender, ip, message):
        data = orjson.dumps(messages.pack_message(message))
        self.sizes[type(message).__name__] += len(data)
        super().deliver(sender, ip, message)


def measure_traffic(factor):
    """Print the traffic with one workspace at ``factor`` times its load."""
    fleet = MeasuredFleet(random.Random(1), zones=3, count=3)
    fleet.entries.append(
        support.make_entry("w11", service="maps", slots=100_000)
    )
    loads = quota_takeovers.start_usual_load(fleet)
    fleet.sizes.clear()
    fleet.quota_messages.clear()
    services = ("orders",) * 12 + ("maps",)
    for name, load in loads.items():
        rate = load * (factor if name == "w0" else 1.0)
        fleet.plan_load(name, rate, quota_takeovers.BEGIN_S, END_S, services)
    fleet.run_until(END_S)
    duration = END_S - quota_takeovers.BEGIN_S
    quota_bytes = sum(fleet.sizes[name] for name in QUOTA_MESSAGES)
    print(
        "load of w0 x %.1f: busiest direction of a link %.1f messages/s;"
        " %.0f B/s for quotas, %.1f%% of all"
        % (
            factor,
            max(fleet.quota_messages.values()) / duration,
            quota_bytes / duration,
            100.0 * quota_bytes / fleet.sizes.total(),
        )
    )
    refused = {name: len(rows) for name, rows in fleet.refusals.items()}
    started = sum(map(len, fleet.starts.values()))
    print("  started %d, refused by workspace %s" % (started, refused))


def measure_windows(first, last):
    """Print the fullest window of runs with failures."""
    worst, over = (0.0,), 0
    for seed in range(first, last + 1):
        fleet = test_gateway_quotas.run_with_failures(seed)
        for name, limit in test_gateway_quotas.LIMITS.items():
            found, _ = simulation.find_fullest_window(
                fleet.starts[name], support.TERMS.quota_window
            )
            bound = simulation.find_bound(limit, support.TERMS)
            over += found > bound
            worst = max(worst, (found / bound, seed, name, found, bound))
    print("seeds %d to %d: over %d, worst %s" % (first, last, over, worst))


def main(arguments):
    """Run the measurement that the arguments ask for."""
    if arguments:
        measure_windows(int(arguments[0]), int(arguments[1]))
    else:
        for factor in (1.0, NOISY_FACTOR):
            measure_traffic(factor)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
