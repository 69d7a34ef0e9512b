"""Messages to and from other nodes: gRPC streams, UDP for membership."""

import asyncio
import contextlib

import grpc
from grpc import aio

from acaciafield import events
from acaciafield import messages
from acaciafield_daemon import codec
from acaciafield_daemon import peers_pb2

METHOD = "/acaciafield.Peers/Deliver"
MOST_QUEUED = 10000  # messages to one node
MOST_BATCH = 200  # messages in one batch
IDLE_CLOSE = 60.0  # seconds
_OPTIONS = (
    ("grpc.max_receive_message_length", 64 << 20),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
)


class Link:
    """The stream to one node, opened when there is something to send."""

    __slots__ = ("address", "queue", "task", "wake")

    def __init__(self, address):
        self.address = address
        self.queue = []
        self.wake = asyncio.Event()
        self.task = None


class Peers(asyncio.DatagramProtocol):
    """All links of a node, and what comes in from others."""

    def __init__(self, driver, ip, port):
        self.driver = driver
        self.ip = ip
        self.port = port
        self.links = {}
        self.transport = None
        self.unreadable = 0

    @contextlib.asynccontextmanager
    async def open(self):
        """Listen for other nodes."""
        loop = asyncio.get_running_loop()
        address = (self.ip, self.port)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        server = aio.server(options=_OPTIONS)
        server.add_generic_rpc_handlers((_Handler(self),))
        server.add_insecure_port("%s:%d" % address)
        await server.start()
        try:
            yield self
        finally:
            await asyncio.sleep(0.05)
            tasks = [x.task for x in self.links.values() if x.task]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.transport.close()
            await server.stop(0.1)

    def send(self, node_id, message):
        """Send a message to a known node."""
        update = self.driver.node.state.members.get_update(node_id)
        if update is None:
            return
        if isinstance(message, messages.MEMBERSHIP):
            self.send_datagram((update.ip, update.peer_port), message)
            return
        address = "%s:%d" % (update.ip, update.peer_port)
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(address)
        if len(link.queue) >= MOST_QUEUED:
            return
        link.queue.append(
            codec.encode_envelope(self.driver.node.node_id, message)
        )
        link.wake.set()
        if link.task is None:
            link.task = asyncio.create_task(self._run_link(link))

    def send_datagram(self, address, message):
        """Send a membership message to an address."""
        envelope = codec.encode_envelope(self.driver.node.node_id, message)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(envelope.SerializeToString(), address)

    def datagram_received(self, data, addr):
        """Take a membership message in."""
        try:
            sender, message = codec.decode_datagram(data)
        except codec.UnreadableMessage:
            self.count_unreadable()
            return
        if not isinstance(message, messages.MEMBERSHIP):
            self.count_unreadable()
            return
        self.driver.feed(events.MessageReceived, sender, message)

    def error_received(self, exc):
        """Ignore refused datagrams; probing notices silent nodes."""

    def count_unreadable(self):
        """Count bytes that are no message."""
        self.unreadable += 1
        self.driver.note("peers", "Unreadable bytes were dropped.")

    async def _run_link(self, link):
        try:
            async with aio.insecure_channel(
                link.address, options=_OPTIONS
            ) as channel:
                deliver = channel.stream_unary(
                    METHOD,
                    request_serializer=peers_pb2.Batch.SerializeToString,
                    response_deserializer=peers_pb2.Received.FromString,
                )
                call = deliver()
                while await _await_queue(link):
                    batch = link.queue[:MOST_BATCH]
                    del link.queue[:MOST_BATCH]
                    await call.write(peers_pb2.Batch(envelopes=batch))
                await call.done_writing()
        except (grpc.RpcError, asyncio.InvalidStateError):
            link.queue.clear()
        finally:
            link.task = None
            self.links.pop(link.address, None)

    async def deliver(self, batches, _context):
        """Take the batches of one node in until its stream ends."""
        count = 0
        async for batch in batches:
            for envelope in batch.envelopes:
                count += 1
                self._take(envelope)
        return peers_pb2.Received(count=count)

    def _take(self, envelope):
        try:
            sender, message = codec.decode_envelope(envelope)
        except codec.UnreadableMessage:
            self.count_unreadable()
            return
        self.driver.feed(events.MessageReceived, sender, message)


class _Handler(grpc.GenericRpcHandler):
    def __init__(self, peers):
        self._method = grpc.stream_unary_rpc_method_handler(
            peers.deliver,
            request_deserializer=peers_pb2.Batch.FromString,
            response_serializer=peers_pb2.Received.SerializeToString,
        )

    def service(self, handler_call_details):
        """Return the handler of our one method, else None."""
        if handler_call_details.method == METHOD:
            return self._method
        return None


async def _await_queue(link):
    if link.queue:
        return True
    link.wake.clear()
    try:
        async with asyncio.timeout(IDLE_CLOSE):
            await link.wake.wait()
    except TimeoutError:
        return bool(link.queue)
    return True
