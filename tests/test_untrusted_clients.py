"""Tests of a gateway process against untrusted clients.

Each test guards against a process that ends, exceeds the memory or the
descriptors of its host, or serves nobody else, because of one form of attack
on one listener. The crowds are small, the limits lowered.
"""

import asyncio
import functools

import pytest

from bench import soak_crowd
from tests import untrusted_clients as crowds

# A form of attack: how many clients, and what each of them sends.
CALLER_FORMS = {
    "large": (3, soak_crowd.iterate_whole_body, 40_000_000),
    "medium": (8, soak_crowd.iterate_whole_body, 20_000_000),
    "many": (60, soak_crowd.iterate_whole_body, 3_000_000),
    "small": (400, soak_crowd.iterate_whole_body, 300_000),
    "behind": (400, soak_crowd.iterate_behind, 600_000),
    "chunks": (8, soak_crowd.iterate_chunked_body, 20_000_000, 16_384),
    "tiny chunks": (3, soak_crowd.iterate_chunked_body, 1_500_000, 1),
    "short chunks": (4, soak_crowd.iterate_chunked_body, 6_000_000, 24),
    "endless": (4, soak_crowd.iterate_chunked_body, 200_000_000, 65_536),
    "fields": (900, soak_crowd.iterate_fields, 115),
    "too many fields": (200, soak_crowd.iterate_fields, 2000),
    "pipelined": (100, soak_crowd.iterate_pipelined, 5000),
    "slow heads": (900, soak_crowd.iterate_slow_head),
    "silent": (900, soak_crowd.iterate_nothing),
}
PAGE_FORMS = {
    "bodies": (400, soak_crowd.iterate_whole_body, 600_000),
    "pipelined": (200, soak_crowd.iterate_pipelined, 20_000),
    "slow heads": (600, soak_crowd.iterate_slow_head),
    "silent": (600, soak_crowd.iterate_nothing),
}
PAGES = ("readiness", "directory", "peers", "metrics")
DESCRIPTOR_FORMS = ("slow heads", "silent")
FEW_DESCRIPTORS = 600  # a crowd takes more
MAX_BODY_BYTES = 67_108_864
HOSTS_MB = (152, 200)
# Of a host's memory in MB: the number and size of bodies sent at once.
COMPLETED_BODIES = {
    152: [(1, 45_000_000), (6, 10_000_000)],
    200: [(1, 60_000_000), (2, 40_000_000), (3, 26_000_000), (8, 20_000_000)],
}
LARGE_ANSWER_BYTES = 4_000_000
UNREAD_COUNT = 50
SEED = 1
DATAGRAM_COUNT = 3000


def run_attack(folder, listener, form, path, make_data, *fields):
    """Attack a listener with a form, then check the process."""
    max_descriptors = FEW_DESCRIPTORS if form in DESCRIPTOR_FORMS else 1535

    async def run():
        async with crowds.run_target(
            folder, max_descriptors=max_descriptors
        ) as target:
            address = target.get_address(listener)
            count, *arguments = fields
            clients = [
                soak_crowd.Client(address, make_data(path, *arguments))
                for _ in range(count)
            ]
            async with crowds.run_crowd(clients):
                await target.check()
                if listener != "caller":
                    assert await target.get_page(listener)

    asyncio.run(run())


def attack_form(folder, listener, form, forms, path=None):
    """Attack a listener with one of ``forms``."""
    count, make_data, *arguments = forms[form]
    path = path or crowds.PATHS[listener]
    run_attack(folder, listener, form, path, make_data, count, *arguments)


@pytest.mark.parametrize("form", list(CALLER_FORMS))
def test_callers_listener_survives(tmp_path, form):
    attack_form(tmp_path, "caller", form, CALLER_FORMS)


def test_path_without_a_route_survives(tmp_path):
    attack_form(tmp_path, "caller", "medium", CALLER_FORMS, b"/none")


@pytest.mark.parametrize("form", list(PAGE_FORMS))
@pytest.mark.parametrize("listener", PAGES)
def test_pages_listener_survives(tmp_path, listener, form):
    attack_form(tmp_path, listener, form, PAGE_FORMS)


def test_answers_that_are_not_read_survive(tmp_path):
    # Guards against answers that callers request and do not read.
    async def run():
        async with crowds.run_target(tmp_path) as target:
            target.worker.answer_bytes = LARGE_ANSWER_BYTES
            make_data = functools.partial(
                soak_crowd.make_head,
                crowds.PATHS["caller"],
                b"Content-Length: 0",
            )
            clients = [
                soak_crowd.Client(target.get_address("caller"), [make_data()])
                for _ in range(UNREAD_COUNT)
            ]
            async with crowds.run_crowd(clients):
                await target.check()

    asyncio.run(run())


def test_mistyped_messages_survive(tmp_path):
    # Guards against a field of another type that makes the timers of a node
    # fail from then on.
    async def run():
        async with crowds.run_target(tmp_path) as target:
            await target.send_mistyped_messages(SEED, DATAGRAM_COUNT)
            await asyncio.sleep(crowds.HOLD_TIME_S)
            await target.check()
            assert await target.get_page("readiness")
            assert "Traceback" not in target.node.log_path.read_text()

    asyncio.run(run())


@pytest.mark.parametrize("memory_mb", HOSTS_MB)
def test_largest_body_is_served_in_calm(tmp_path, memory_mb):
    # Guards against limits that refuse a request within the page's limits.
    async def run():
        async with crowds.run_target(tmp_path, memory_mb) as target:
            assert await target.send_ordinary(bytes(MAX_BODY_BYTES)) == 200
            assert target.worker.body_sizes[-1] == MAX_BODY_BYTES
            await target.check()

    asyncio.run(run())


@pytest.mark.parametrize(
    "memory_mb, count, size",
    [
        (memory_mb, *bodies)
        for memory_mb, rows in COMPLETED_BODIES.items()
        for bodies in rows
    ],
)
def test_completed_bodies_survive(tmp_path, memory_mb, count, size):
    # Guards against a body that is held more than once.
    async def run():
        async with crowds.run_target(tmp_path, memory_mb) as target:
            clients = [
                soak_crowd.Client(
                    target.get_address("caller"),
                    soak_crowd.iterate_completed_body(
                        crowds.PATHS["caller"], size
                    ),
                )
                for _ in range(count)
            ]
            async with crowds.run_crowd(clients):
                await target.check()

    asyncio.run(run())
