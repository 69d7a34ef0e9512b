"""Tests of bodies in memory and of the ledger that bounds them."""

import asyncio
import tracemalloc

import pytest
import xxhash

from acaciafield_daemon.gateway import held_bodies
from acaciafield_daemon.gateway import memory_ledger

CONTENT = bytes(range(256)) * 2000
HOST_BYTES = 152_000_000
MAX_BODY_BYTES = 67_108_864
SMALL_BYTES = 4000  # of an ordinary request


class Writer:
    """Records what is written; ``largest`` is the largest single write."""

    def __init__(self):
        self.data = bytearray()
        self.largest = 0

    async def write(self, chunk):
        self.data += chunk
        self.largest = max(self.largest, len(chunk))


def make_body(chunk_bytes):
    """Return a HeldBody of CONTENT that came in chunks of a size."""
    body = held_bodies.HeldBody(xxhash.xxh3_64(b"head"))
    for start in range(0, len(CONTENT), chunk_bytes):
        body.append(CONTENT[start : start + chunk_bytes])
    return body


@pytest.mark.parametrize("chunk_bytes", [1, 100, 40_000, 300_000, 999_999])
def test_chunks_change_neither_the_fingerprint_nor_the_content(chunk_bytes):
    # Guards against a repetition that is not known as one, because its body
    # came in other chunks.
    body = make_body(chunk_bytes)
    writer = Writer()
    asyncio.run(held_bodies.make_data(body).write(writer))
    assert body.digest.hexdigest() == xxhash.xxh3_64_hexdigest(
        b"head" + CONTENT
    )
    assert writer.data == CONTENT
    assert writer.largest <= held_bodies.WRITTEN_BYTES


def test_body_of_tiny_chunks_takes_little_more_than_its_size():
    # Guards against an object for each chunk of a byte.
    tracemalloc.start()
    try:
        body = make_body(1)
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(body) == len(CONTENT)
    assert size < 1.5 * len(CONTENT)


def test_one_body_of_the_largest_size_fits_the_smallest_host():
    ledger = memory_ledger.MemoryLedger(HOST_BYTES)
    assert ledger.reserve(MAX_BODY_BYTES, MAX_BODY_BYTES)
    assert not ledger.reserve(MAX_BODY_BYTES, MAX_BODY_BYTES, MAX_BODY_BYTES)
    assert ledger.refusals == 1


@pytest.mark.parametrize("size", [30_000, 200_000, 1_000_000])
def test_small_request_finds_room_beside_a_crowd_of_bodies(size):
    ledger = memory_ledger.MemoryLedger(HOST_BYTES)
    held = 0
    while ledger.reserve(size, size, held):
        held += size
    assert ledger.reserve(SMALL_BYTES, SMALL_BYTES)
    ledger.release(held + SMALL_BYTES)
    assert ledger.held_bytes == 0
