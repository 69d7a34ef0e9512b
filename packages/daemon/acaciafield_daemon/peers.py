"""Messages between nodes: membership over UDP, others over gRPC."""

import asyncio
import contextlib

import grpc
from grpc import aio

from acaciafield import events
from acaciafield import messages
from acaciafield_daemon import codec
from acaciafield_daemon import peers_pb2

DELIVER_METHOD = "/acaciafield.Peers/Deliver"
MAX_QUEUED_MESSAGES = 10000  # to one node
MAX_BATCH_MESSAGES = 200
IDLE_TIMEOUT_S = 60.0
_GRPC_OPTIONS = (
    ("grpc.max_receive_message_length", 64 << 20),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
)


class PeerStream:
    """The stream to one node, opened when a message is queued."""

    __slots__ = ("address", "queue", "task", "message_queued")

    def __init__(self, address):
        self.address = address
        self.queue = []
        self.message_queued = asyncio.Event()
        self.task = None


class PeerTransport(asyncio.DatagramProtocol):
    """Sends and receives messages of a node and its peers."""

    def __init__(self, driver, ip, port):
        self.driver = driver
        self.ip = ip
        self.port = port
        self.streams = {}
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
        server = aio.server(options=_GRPC_OPTIONS)
        server.add_generic_rpc_handlers((_DeliverHandler(self),))
        server.add_insecure_port("%s:%d" % address)
        await server.start()
        try:
            yield self
        finally:
            await asyncio.sleep(0.05)
            tasks = [s.task for s in self.streams.values() if s.task]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.transport.close()
            await server.stop(0.1)

    def send_message(self, node_id, message):
        """Send a message to a member; drop it if its queue is full."""
        update = self.driver.node.state.members.get_update(node_id)
        if update is None:
            return
        if isinstance(message, messages.MEMBERSHIP_MESSAGES):
            self.send_datagram((update.ip, update.peer_port), message)
            return
        address = "%s:%d" % (update.ip, update.peer_port)
        stream = self.streams.get(address)
        if stream is None:
            stream = self.streams[address] = PeerStream(address)
        if len(stream.queue) >= MAX_QUEUED_MESSAGES:
            return
        stream.queue.append(
            codec.encode_envelope(self.driver.node.node_id, message)
        )
        stream.message_queued.set()
        if stream.task is None:
            stream.task = asyncio.create_task(self._run_stream(stream))

    def send_datagram(self, address, message):
        """Send a membership message to an address."""
        envelope = codec.encode_envelope(self.driver.node.node_id, message)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(envelope.SerializeToString(), address)

    def datagram_received(self, data, addr):
        """Receive a membership message."""
        try:
            sender, message = codec.decode_datagram(data)
        except codec.UnreadableMessage:
            self.count_unreadable_message()
            return
        if not isinstance(message, messages.MEMBERSHIP_MESSAGES):
            self.count_unreadable_message()
            return
        self.driver.dispatch_event(events.MessageReceived, sender, message)

    def error_received(self, exc):
        """Ignore refused datagrams; probing finds unresponsive nodes."""

    def count_unreadable_message(self):
        """Count and log bytes that cannot be decoded as a message."""
        self.unreadable += 1
        self.driver.write_log(
            "peers", "A message that cannot be decoded was dropped."
        )

    async def _run_stream(self, stream):
        try:
            async with aio.insecure_channel(
                stream.address, options=_GRPC_OPTIONS
            ) as channel:
                deliver = channel.stream_unary(
                    DELIVER_METHOD,
                    request_serializer=peers_pb2.Batch.SerializeToString,
                    response_deserializer=peers_pb2.Received.FromString,
                )
                call = deliver()
                while await _wait_for_messages(stream):
                    batch = stream.queue[:MAX_BATCH_MESSAGES]
                    del stream.queue[:MAX_BATCH_MESSAGES]
                    await call.write(peers_pb2.Batch(envelopes=batch))
                await call.done_writing()
        except (grpc.RpcError, asyncio.InvalidStateError):
            stream.queue.clear()
        finally:
            stream.task = None
            self.streams.pop(stream.address, None)

    async def receive_batches(self, batches, _context):
        """Receive the batches of one node until its stream ends."""
        count = 0
        async for batch in batches:
            for envelope in batch.envelopes:
                count += 1
                self._receive_envelope(envelope)
        return peers_pb2.Received(count=count)

    def _receive_envelope(self, envelope):
        try:
            sender, message = codec.decode_envelope(envelope)
        except codec.UnreadableMessage:
            self.count_unreadable_message()
            return
        self.driver.dispatch_event(events.MessageReceived, sender, message)


class _DeliverHandler(grpc.GenericRpcHandler):
    def __init__(self, transport):
        self._method_handler = grpc.stream_unary_rpc_method_handler(
            transport.receive_batches,
            request_deserializer=peers_pb2.Batch.FromString,
            response_serializer=peers_pb2.Received.SerializeToString,
        )

    def service(self, handler_call_details):
        """Return the handler of Deliver; None for any other method."""
        if handler_call_details.method == DELIVER_METHOD:
            return self._method_handler
        return None


async def _wait_for_messages(stream):
    if stream.queue:
        return True
    stream.message_queued.clear()
    try:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            await stream.message_queued.wait()
    except TimeoutError:
        return bool(stream.queue)
    return True
