"""Datagrams between nodes, and the documents they fetch from each other."""

import asyncio
import contextlib
import zlib

import aiohttp
from aiohttp import hdrs
from aiohttp import web
import orjson

from acaciafield.gateway import message_types
from acaciafield.gateway import messages

FETCH_TIMEOUT_S = 1.0
MAX_DATAGRAM_BYTES = 60000
MIN_COMPRESSED_BYTES = 1024  # a smaller document fits into one packet
# Smaller datagrams hardly shrink, and most of them are urgent.
MIN_COMPRESSED_DATAGRAM_BYTES = 512
MAX_DECOMPRESSED_BYTES = 1_048_576  # of a datagram
COMPRESSED_MARK = b"z"  # before a compressed datagram; JSON starts with [
COMPRESSION = "deflate"
COMPRESSION_LEVEL = 3  # a higher one takes longer and gains little on JSON
DECODE_ERRORS = (ValueError, TypeError, AttributeError, KeyError)


class PeerTransport(asyncio.DatagramProtocol):
    """The datagram socket and the document server of one node.

    ``documents`` maps a path to a function that returns the document's
    bytes, or None; ``make_server`` makes the server from its handler;
    ``unreadable`` counts malformed datagrams, ``oversized`` the messages
    that were dropped because they do not fit into one.
    """

    def __init__(self, ip, port, receive, documents, make_server=web.Server):
        self.ip = ip
        self.port = port
        self.receive = receive
        self.documents = documents
        self.make_server = make_server
        self.unreadable = 0
        self.oversized = 0
        self._transport = None
        self._session = None
        # The last compressed document and its result.
        self._compressed = (None, None)

    @contextlib.asynccontextmanager
    async def open(self):
        """Open the sockets and the client session for the block."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )
        server = self.make_server(self._answer)
        listener = await loop.create_server(server, self.ip, self.port)
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            yield self
        finally:
            self._transport.close()
            listener.close()
            await self._session.close()

    def send(self, ip, message):
        """Send a message without confirmation; it may be lost."""
        data = encode_datagram(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.oversized += 1
            return
        self._transport.sendto(data, (ip, self.port))

    def datagram_received(self, data, addr):
        """Decode a datagram and deliver its message."""
        try:
            message = decode_datagram(data)
            if message_types.find_mistyped(message) is not None:
                self.unreadable += 1
                return
            self.receive(addr[0], message)
        except DECODE_ERRORS:
            self.unreadable += 1

    def error_received(self, exc):
        """Ignore a failed send, since datagrams may be lost anyway."""

    async def fetch(self, ip, name):
        """Return a document of another node, or None if it has none.

        Raises aiohttp.ClientError, OSError or TimeoutError.
        """
        url = "http://%s:%d/%s" % (ip, self.port, name)
        async with self._session.get(url) as response:
            if response.status != 200:
                return None
            return await response.read()

    async def _answer(self, request):
        make_document = self.documents.get(request.path.lstrip("/"))
        body = make_document() if make_document is not None else None
        if body is None:
            return web.Response(status=404)
        accepted = request.headers.get(hdrs.ACCEPT_ENCODING, "")
        if len(body) < MIN_COMPRESSED_BYTES or COMPRESSION not in accepted:
            return web.Response(body=body)
        return web.Response(
            body=self._compress(body),
            headers={hdrs.CONTENT_ENCODING: COMPRESSION},
        )

    def _compress(self, body):
        """Return a compressed document, which many nodes fetch unchanged."""
        known_body, compressed = self._compressed
        if known_body is not body:
            compressed = zlib.compress(body, COMPRESSION_LEVEL)
            self._compressed = (body, compressed)
        return compressed


def encode_datagram(message):
    """Return the bytes of a message, compressed if that is worthwhile.

    >>> encode_datagram(messages.GrantQueued("a1"))
    b'[3,"a1"]'
    """
    data = orjson.dumps(messages.pack_message(message))
    if len(data) < MIN_COMPRESSED_DATAGRAM_BYTES:
        return data
    return COMPRESSED_MARK + zlib.compress(data, COMPRESSION_LEVEL)


def decode_datagram(data):
    """Return the message of a datagram.

    Raises ValueError, or TypeError, if it cannot be decoded.
    """
    if data[:1] == COMPRESSED_MARK:
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(data[1:], MAX_DECOMPRESSED_BYTES)
        except zlib.error as error:
            raise ValueError(str(error)) from error
    return messages.unpack_message(orjson.loads(data))
