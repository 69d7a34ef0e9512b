"""Crowds of clients that send much and read nothing."""

import asyncio
import contextlib
import socket

# Of a connection, so that a crowd's bytes do not wait in its own kernel.
SEND_BUFFER_BYTES = 65536
ROUND_TIME_S = 6.0  # for which a crowd stays if the node bears it
ROUNDS = 5  # at most, against one node
MIN_ENDS = 3  # of the processes of a node, that break the rule
MIN_NODES = 2  # "a tenth of the machines in use (two at least)"


class CrowdClient:
    """A connection that sends ``parts`` as far as the node takes them."""

    def __init__(self, address, parts):
        self.address = address
        self.parts = parts
        self.writer = None
        self.sent_bytes = 0

    async def run(self):
        """Send all parts and keep the connection; read nothing."""
        with contextlib.suppress(OSError):
            sock = socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, self.address)
            _, self.writer = await asyncio.open_connection(sock=sock)
            self.writer.transport.pause_reading()
            for part in self.parts:
                self.writer.write(part)
                await self.writer.drain()
                if self.writer.transport.is_closing():
                    return
                self.sent_bytes += len(part)
            await asyncio.Event().wait()

    def close(self):
        """Reset the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


async def attack(node, record, count, make_parts):
    """Send crowds to a node until its process has ended MIN_ENDS times."""
    for number in range(1, ROUNDS + 1):
        await node.wait_ready()
        ends = len(node.ends)
        clients = [
            CrowdClient(node.find_address("front"), make_parts(client))
            for client in range(count)
        ]
        tasks = [asyncio.ensure_future(client.run()) for client in clients]
        record.write("%s: crowd %d of %d arrives", node.name, number, count)
        end = record.now() + ROUND_TIME_S
        while record.now() < end and len(node.ends) == ends:
            await asyncio.sleep(0.05)
        record.write(
            "%s: crowd %d leaves; %.1f MB sent; peak %d MiB resident",
            node.name,
            number,
            sum(client.sent_bytes for client in clients) / 1e6,
            node.peak_bytes / 2**20,
        )
        for task in tasks:
            task.cancel()
        for client in clients:
            client.close()
        await asyncio.gather(*tasks, return_exceptions=True)
        if len(node.ends) >= MIN_ENDS:
            return
        await asyncio.sleep(0.5)


async def play_crowds(fleet, callers, attacked_count, count, make_parts):
    """Attack some nodes beside ordinary callers; return whether they fell.

    With a ``count`` of 0 only the ordinary callers play.
    """
    record = fleet.record
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    try:
        await asyncio.sleep(2.0)
        if count:
            await asyncio.gather(
                *[
                    attack(node, record, count, make_parts)
                    for node in fleet.nodes[:attacked_count]
                ]
            )
        else:
            await asyncio.sleep(15.0)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for caller in callers:
        for request_id, status in caller.statuses.items():
            record.write(
                "order %s: answer %s, runs %d",
                request_id,
                status or "none",
                len(fleet.list_runs(request_id)),
            )
    statuses = [s for caller in callers for s in caller.statuses.values()]
    for status in sorted(set(statuses), key=str):
        record.write(
            "orders of ordinary callers with %s: %d",
            "no answer" if status is None else "status %d" % status,
            statuses.count(status),
        )
    ran = sum(
        1
        for caller in callers
        for request_id, status in caller.statuses.items()
        if status is None and fleet.list_runs(request_id)
    )
    record.write("orders that ran and got no answer: %d", ran)
    for node in fleet.nodes:
        record.write("%s: process ended %d times", node.name, len(node.ends))
    fallen = [node for node in fleet.nodes if len(node.ends) >= MIN_ENDS]
    return len(fallen) >= MIN_NODES
