"""Callers that look up addresses, cache them, and send requests there."""

import asyncio
import itertools
import json
import time

import aiohttp

from acaciafield import outcomes

TIMEOUT_S = 30.0
MAX_TRIES = 4

Outcome = outcomes.Outcome


class RequestResult:
    """The result of one request at its caller.

    ``size`` is the length of the answer's body in bytes, and ``is_cut``
    is whether the request failed after the connection was open.
    """

    __slots__ = (
        "service",
        "order",
        "outcome",
        "status",
        "started_at",
        "latency_s",
        "is_cut",
        "worker",
        "size",
    )

    def __init__(self, service, order):
        self.service = service
        self.order = order
        self.outcome = Outcome.UNKNOWN
        self.status = 0
        self.started_at = time.time()
        self.latency_s = 0.0
        self.is_cut = False
        self.worker = None
        self.size = 0


class Caller:
    """One caller with its cached address answers."""

    def __init__(self, session, nodes):
        self.session = session
        self.nodes = list(nodes)
        self.address_answers = {}
        self.numbers = itertools.count(1)
        self.results = []

    async def find_addresses(self, service):
        """Return the address answer, cached or fetched from a node.

        Raise ConnectionError if no node answers.
        """
        cached = self.address_answers.get(service)
        if cached is not None and time.monotonic() < cached[0]:
            return cached[1]
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
            self.address_answers[service] = (end, answer)
            return answer
        raise ConnectionError("no node answered the address request")

    async def send_get(self, service, path, work_class=None):
        """Send a safe request; return its RequestResult."""
        headers = {"Work-Class": work_class} if work_class else {}
        result = RequestResult(service, None)
        await self._try_addresses(result, "GET", service, path, headers)
        self.results.append(result)
        return result

    async def send_order(self, service, order_id, copies=1, path="order"):
        """Send copies of an order with one key at the same time.

        Return the RequestResult of each copy.
        """
        answer = await self.find_addresses(service)
        key = "%s.%s" % (answer["key_prefix"], order_id)
        headers = {"Idempotency-Key": key, "Order-Id": order_id}
        results = []
        for _ in range(copies):
            result = RequestResult(service, order_id)
            results.append(result)
        await asyncio.gather(
            *(
                self._try_addresses(
                    result, "POST", service, path, headers, rotate=n
                )
                for n, result in enumerate(results)
            )
        )
        self.results.extend(results)
        return results

    async def _try_addresses(
        self, result, method, service, path, headers, rotate=0
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
                    await self._read_answer(result, response)
                break
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, OSError, TimeoutError):
                result.is_cut = True
                result.outcome = Outcome.UNKNOWN
                break
        result.latency_s = time.monotonic() - started

    async def _read_answer(self, result, response):
        result.status = response.status
        length = 0
        body = b""
        async for chunk in response.content.iter_any():
            length += len(chunk)
            if length < 65536:
                body += chunk
        result.size = length
        if response.content_type == "application/problem+json":
            result.outcome = Outcome(json.loads(body)["outcome"])
            return
        result.outcome = Outcome.RAN
        if response.content_type == "application/json":
            result.worker = json.loads(body).get("worker")


def open_session(limit=0):
    """Return an HTTP session for callers."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=limit),
        timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
    )


async def run_at_rate(rate, seconds, make_call):
    """Start ``make_call(n)`` at a steady rate per second; await all calls."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    tasks = []
    for number in range(int(rate * seconds)):
        delay = start + number / rate - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.create_task(make_call(number)))
    await asyncio.gather(*tasks)
