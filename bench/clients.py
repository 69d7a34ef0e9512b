"""Callers: they ask for addresses, keep the answer, and call there."""

import asyncio
import itertools
import json
import time

import aiohttp

from acaciafield import outcomes

TIMEOUT = 30.0  # seconds
MOST_TRIES = 4

Outcome = outcomes.Outcome


class Told:
    """What a caller was told about one request; times in seconds."""

    __slots__ = (
        "service",
        "order",
        "outcome",
        "status",
        "at",
        "latency",
        "cut",
        "worker",
        "size",
    )

    def __init__(self, service, order):
        self.service = service
        self.order = order
        self.outcome = Outcome.UNKNOWN
        self.status = 0
        self.at = time.time()
        self.latency = 0.0
        self.cut = False
        self.worker = None
        self.size = 0


class Caller:
    """One caller with its kept address answers."""

    def __init__(self, session, nodes):
        self.session = session
        self.nodes = list(nodes)
        self.answers = {}
        self.numbers = itertools.count(1)
        self.told = []

    async def find_addresses(self, service):
        """Return the address answer, asked anew when it is too old."""
        kept = self.answers.get(service)
        if kept is not None and time.monotonic() < kept[0]:
            return kept[1]
        for address in list(self.nodes):
            try:
                url = "http://%s/.acaciafield/addresses" % address
                params = {"service": service}
                async with self.session.get(url, params=params) as response:
                    if response.status != 200:
                        continue
                    answer = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError):
                self.nodes.append(self.nodes.pop(0))
                continue
            end = time.monotonic() + answer["validity"]
            self.answers[service] = (end, answer)
            return answer
        raise ConnectionError("no node answers")

    async def get(self, service, path, work_class=None):
        """Send a safe request; return the Told."""
        headers = {"Work-Class": work_class} if work_class else {}
        told = Told(service, None)
        await self._try_addresses(told, "GET", service, path, headers)
        self.told.append(told)
        return told

    async def order(self, service, order_id, repeats=1, path="order"):
        """Send an order with a key, perhaps more than once at a time."""
        answer = await self.find_addresses(service)
        key = "%s.%s" % (answer["key_prefix"], order_id)
        headers = {"Idempotency-Key": key, "Order-Id": order_id}
        tries = []
        for _ in range(repeats):
            told = Told(service, order_id)
            tries.append(told)
        await asyncio.gather(
            *(
                self._try_addresses(
                    told, "POST", service, path, headers, rotate=n
                )
                for n, told in enumerate(tries)
            )
        )
        self.told.extend(tries)
        return tries

    async def _try_addresses(
        self, told, method, service, path, headers, rotate=0
    ):
        started = time.monotonic()
        answer = await self.find_addresses(service)
        addresses = answer["addresses"]
        rotate %= len(addresses)
        for address in addresses[rotate:] + addresses[:rotate]:
            url = "http://%s/%s/%s" % (address, service, path)
            try:
                async with self.session.request(
                    method, url, headers=headers
                ) as response:
                    await self._read_answer(told, response)
                break
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, OSError, TimeoutError):
                told.cut = True
                told.outcome = Outcome.UNKNOWN
                break
        told.latency = time.monotonic() - started

    async def _read_answer(self, told, response):
        told.status = response.status
        length = 0
        body = b""
        async for chunk in response.content.iter_any():
            length += len(chunk)
            if length < 65536:
                body += chunk
        told.size = length
        if response.content_type == "application/problem+json":
            told.outcome = Outcome(json.loads(body)["outcome"])
            return
        told.outcome = Outcome.RAN
        if response.content_type == "application/json":
            told.worker = json.loads(body).get("worker")


def open_session(limit=0):
    """Return a session for callers."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=limit),
        timeout=aiohttp.ClientTimeout(total=TIMEOUT),
    )


async def run_steadily(rate, seconds, work):
    """Start ``work(n)`` at a steady rate; wait for all of it."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    tasks = []
    for number in range(int(rate * seconds)):
        delay = start + number / rate - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.create_task(work(number)))
    await asyncio.gather(*tasks)
