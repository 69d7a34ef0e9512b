"""Datagrams between nodes, and the documents they fetch from each other."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import orjson

from acaciafield.gateway import message_types
from acaciafield.gateway import messages

FETCH_TIMEOUT_S = 1.0
MAX_DATAGRAM_BYTES = 60000
DECODE_ERRORS = (ValueError, TypeError, AttributeError, KeyError)


class PeerTransport(asyncio.DatagramProtocol):
    """The datagram socket and the document server of one node.

    ``documents`` maps a path to a function that returns the document's
    bytes, or None; ``make_server`` makes the server from its handler;
    ``unreadable`` counts malformed datagrams.
    """

    def __init__(self, ip, port, receive, documents, make_server=web.Server):
        self.ip = ip
        self.port = port
        self.receive = receive
        self.documents = documents
        self.make_server = make_server
        self.unreadable = 0
        self._transport = None
        self._session = None

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
        data = orjson.dumps(messages.pack_message(message))
        if len(data) <= MAX_DATAGRAM_BYTES:
            self._transport.sendto(data, (ip, self.port))

    def datagram_received(self, data, addr):
        """Decode a datagram and deliver its message."""
        try:
            message = messages.unpack_message(orjson.loads(data))
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
        return web.Response(body=body)
