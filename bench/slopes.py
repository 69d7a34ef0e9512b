"""Costs of one more member, worker, key or request, as slopes."""

import gc
import time
import tracemalloc

from acaciafield import configuration
from acaciafield import ejections
from acaciafield import events
from acaciafield import membership
from acaciafield import messages
from acaciafield import node as nodes
from acaciafield import service_states
from acaciafield import workers
from acaciafield_daemon import codec
from bench import simulation


class Slope:
    """A cost per unit, with the sizes at which it was measured."""

    __slots__ = ("name", "unit", "points")

    def __init__(self, name, unit):
        self.name = name
        self.unit = unit
        self.points = []

    @property
    def value(self):
        """The slope between the smallest and the largest size."""
        (first, low), (last, high) = self.points[0], self.points[-1]
        return (high - low) / (last - first)

    def format(self):
        """Return the slope as a row of the page's table."""
        points = ", ".join("%d: %.4g" % p for p in self.points)
        return "| %s | %.4g | %s | %s |" % (
            self.name,
            self.value,
            self.unit,
            points,
        )


def measure_bytes(build, sizes, slope):
    """Fill a slope with the bytes that ``build(size)`` allocates."""
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        built = build(size)
        gc.collect()
        slope.points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del built
    return slope


def measure_time(make_call, sizes, slope, repeats=5):
    """Fill a slope with the shortest time, in microseconds.

    ``make_call(size)`` returns the call to be timed.
    """
    for size in sizes:
        best = min(_time_call(make_call, size) for _ in range(repeats))
        slope.points.append((size, best * 1e6))
    return slope


def _time_call(make_call, size):
    call = make_call(size)
    start = time.perf_counter()
    call()
    return time.perf_counter() - start


def make_updates(count):
    """Return the updates that describe ``count`` members."""
    return [
        messages.MemberUpdate(
            "node%d_19%08x" % (n, n),
            "10.0.%d.%d" % (n >> 8, n & 255),
            1,
            2,
            "a",
        )
        for n in range(count)
    ]


def build_members(count):
    """Return a node that knows ``count`` members."""
    node = nodes.Node("n", 1)
    membership.apply_updates(node.state, make_updates(count), 0.0, [])
    return node


def build_service_state(count):
    """Return the state of a service with ``count`` workers."""
    service_state = service_states.ServiceState("s", 0.0)
    hosts = [
        messages.HostEntry("worker-%d" % n, "10.0.0.1:%d" % n, "a", slots=6)
        for n in range(count)
    ]
    service_states.update_hosts(service_state, hosts, 100.0, [])
    return service_state


def build_records(count):
    """Return a node that stores ``count`` key records."""
    node = nodes.Node("n", 1)
    table = node.state.key_tables["n"].records
    for number in range(count):
        key = "%032x" % number
        table[key] = messages.KeyRecord(
            key, 5, "finished", key, "n/%d/e" % number, 200, "", b"x" * 64
        )
    return node


def build_config(count):
    """Return a configuration of ``count`` classes of work (routes)."""
    fold = configuration.Configuration()
    for first in range(0, count, 32):
        body = {
            "classes": {
                "class-%d" % n: {"target": "quick", "within": 0.3}
                for n in range(first, min(count, first + 32))
            }
        }
        change = configuration.make_change(
            "c%d" % first, {"service-%d" % first: (first, body)}
        )
        record = configuration.encode_record(change)
        fold.apply_records(0, [(fold.offset, record)])
    return fold


def prepare_judging(count):
    """Return a call that judges ``count`` busy workers once."""
    service_state = build_service_state(count)
    for number in range(40):
        service_state.baseline.add_latency(0.08 + number / 1000)
    for worker in service_state.workers.values():
        for number in range(3):
            request = workers.InFlightRequest(number, "w", "n", "c", 99.99)
            worker.in_flight[number] = request
    return lambda: ejections.judge_workers(service_state, 100.0, [])


def prepare_requests(count):
    """Return a call that sends ``count`` requests through a node."""
    node = nodes.Node("n", 1)
    node.start(0.0)
    body = {"classes": {"checks": {"target": "quick"}}}
    change = configuration.make_change("c", {"s": (0, body)})
    data = configuration.encode_record(change)
    node.handle(events.LogRead(0.1, configuration.STREAM, 0, [(0, data)]))
    node.handle(events.RequestArrived(0.2, 0, "s", "GET"))
    hosts = [
        messages.HostEntry("w%d" % n, "10.0.0.1:%d" % n, "a", slots=6)
        for n in range(50)
    ]
    node.handle(events.HostsRead(0.2, "s", hosts))
    done, answered = simulation.Stage.BODY, simulation.Ending.ANSWERED

    def handle_requests():
        for number in range(1, count + 1):
            now = 0.3 + number * 1e-6
            node.handle(events.RequestArrived(now, number, "s", "GET"))
            node.handle(events.AttemptHeadReceived(now, number, 1, 200))
            node.handle(
                events.AttemptEnded(now, number, 1, done, answered, 200)
            )

    return handle_requests


def prepare_changes(count):
    """Return a call that folds ``count`` changes."""
    fold = configuration.Configuration()
    body = {"classes": {"checks": {"target": "quick"}}}
    encoded_records = [
        (
            n,
            configuration.encode_record(
                configuration.make_change("c%d" % n, {"s": (n, body)})
            ),
        )
        for n in range(count)
    ]
    return lambda: fold.apply_records(0, encoded_records)


def measure_membership(sizes):
    """Return a node's slopes of traffic and CPU time per second."""
    traffic = Slope("membership traffic of a node", "bytes/s a member")
    work = Slope("membership work of a node", "us/s a member")
    for size in sizes:
        sent, spent = [0], [0.0]

        def handle_event(node, event, spent=spent):
            start = time.perf_counter()
            node_effects = node.handle(event)
            spent[0] += time.perf_counter() - start
            return node_effects

        def count(source, target, message, sent=sent):
            envelope = codec.encode_envelope(source, message)
            sent[0] += len(envelope.SerializeToString()) + 28

        world = simulation.World(1)
        for number in range(size):
            world.add_node("n%d" % number)
        world.run_for(20.0)
        world.on_message, world.handle_event = count, handle_event
        world.run_for(20.0)
        traffic.points.append((size, sent[0] / size / 20.0))
        work.points.append((size, spent[0] * 1e6 / size / 20.0))
    return traffic, work


def measure_slopes():
    """Return all slopes by their short names."""
    traffic, work = measure_membership((50, 100, 200))
    return {
        "member": measure_bytes(
            build_members, (500, 1000, 2000), Slope("member", "bytes")
        ),
        "worker": measure_bytes(
            build_service_state, (50, 100, 200), Slope("worker", "bytes")
        ),
        "record": measure_bytes(
            build_records, (1000, 5000, 20000), Slope("key record", "bytes")
        ),
        "route": measure_bytes(
            build_config, (320, 640, 1280), Slope("class of work", "bytes")
        ),
        "judge": measure_time(
            prepare_judging,
            (50, 100, 200),
            Slope("judging a worker once", "us"),
        ),
        "request": measure_time(
            prepare_requests,
            (200, 400, 800),
            Slope("a request's decisions", "us"),
        ),
        "change": measure_time(
            prepare_changes, (100, 200, 400), Slope("folding a change", "us")
        ),
        "traffic": traffic,
        "work": work,
    }
