"""Orders that ran and failed with 503 are passed on as not run."""

import asyncio
import functools
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import deployment  # noqa: E402

NODES = 3
WORKERS = 14
GREY_WORKERS = 2  # a share of 0.14
GREY_SHARE = 0.45  # of their requests that fail
GREY_AT_S = 2.0
GREY_FOR_S = 6.5
PLAY_S = 12.0
CALLERS_PER_NODE = 4
MAX_TRIES = 3
TIME_MS = 4000
ROUTES = [("r-orders", "/orders/", "unsafe", TIME_MS, "orders")]
SEED = 1


class GreyWorker(deployment.Worker):
    """A worker that books orders, but fails after some of them for a while.

    ``booked`` has the number of each order that it has booked.
    """

    def __init__(self, fleet, is_grey=False, **options):
        super().__init__(fleet, **options)
        self.is_grey = is_grey
        self.booked = []
        self.random = random.Random("%d %s" % (SEED, self.worker_id))

    async def answer(self, request, reader, writer):
        """Book an order; answer 503 if the step after it fails."""
        body = await reader.readexactly(request.length)
        self.runs.setdefault(request.id, []).append(self.record.now())
        await asyncio.sleep(self.work_s)
        self.booked.append(body.decode())
        elapsed = self.record.now() - self.fleet.played_from
        is_failing = (
            deployment.has_trouble()
            and self.is_grey
            and GREY_AT_S <= elapsed < GREY_AT_S + GREY_FOR_S
            and self.random.random() < GREY_SHARE
        )
        if not is_failing:
            writer.write(self.make_answer(request, 200, b"booked\n"))
            return
        # It has run the request, so that it does not say the contrary.
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\n"
            b"Acaciafield-Request-Id: %s\r\n"
            b"Acaciafield-Upstream-Signature: s.%s\r\n"
            b"Content-Length: 7\r\n\r\nfailed\n"
            % (request.id.encode(), request.id.encode())
        )
        self.record.write(
            "%s: ran %s (%s) and failed",
            self.worker_id,
            request.id,
            body.decode(),
        )


class Shop(deployment.Caller):
    """A client that sends an order again only after the promise of 503.

    ``statuses`` has the answer of each attempt, ``orders`` the number of
    each order that was sent.
    """

    def __init__(self, fleet, node, number):
        super().__init__(fleet, node, number)
        self.orders = []

    async def run(self):
        """Place orders until cancelled."""
        while True:
            order = "%s-%d" % (self.name, len(self.orders) + 1)
            self.orders.append(order)
            for attempt in range(1, MAX_TRIES + 1):
                request_id = "%s-try%d" % (order, attempt)
                status = await self._place(request_id, order)
                self.statuses[request_id] = status
                if status not in (429, 503):
                    break
                await asyncio.sleep(0.1)
            await asyncio.sleep(self.period_s)

    async def _place(self, request_id, order):
        data = deployment.make_head(
            "POST",
            "/orders/new",
            request_id,
            TIME_MS,
            "Content-Length: %d" % len(order),
        )
        try:
            async with asyncio.timeout(TIME_MS / 1000.0 + 0.5):
                status, _, _ = await deployment.fetch(
                    self.node.find_address("front"), data + order.encode()
                )
        except (OSError, EOFError, TimeoutError):
            return None
        return status


async def play(record):
    """Play the case; return whether the rule was broken."""
    fleet = deployment.Fleet(record, NODES)
    workers = [
        functools.partial(
            GreyWorker,
            is_grey=number < GREY_WORKERS,
            worker_id="i-orders-%02d" % number,
            service="orders",
            work_s=0.1,
        )
        for number in range(WORKERS)
    ]
    async with fleet.open(workers, ROUTES):
        fleet.played_from = record.now()
        shops = [
            Shop(fleet, node, number)
            for node in fleet.nodes
            for number in range(CALLERS_PER_NODE)
        ]
        tasks = [asyncio.ensure_future(shop.run()) for shop in shops]
        await asyncio.sleep(PLAY_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        statuses = [s for shop in shops for s in shop.statuses.values()]
        for status in sorted(set(statuses), key=str):
            record.write(
                "attempts with answer %s: %d", status, statuses.count(status)
            )
        refused_runs = [
            request_id
            for shop in shops
            for request_id, status in shop.statuses.items()
            if status in (408, 421, 429, 503) and fleet.list_runs(request_id)
        ]
        for request_id in refused_runs:
            record.write("%s was refused, and has run", request_id)
        booked = [order for w in fleet.workers for order in w.booked]
        doubled = sorted({o for o in booked if booked.count(o) > 1})
        for order in doubled:
            record.write("%s was booked %d times", order, booked.count(order))
        record.write(
            "attempts refused that have run: %d; orders booked twice: %d",
            len(refused_runs),
            len(doubled),
        )
        return bool(refused_runs)


if __name__ == "__main__":
    deployment.run_script(FOLDER, play)
