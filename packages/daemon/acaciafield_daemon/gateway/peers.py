"""Datagrams between nodes, and the documents they fetch from each other."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import orjson

from acaciafield.gateway import messages

FETCH_TIMEOUT = 1.0  # seconds for a document from another node
MOST_DATAGRAM = 60000  # bytes
BAD_INPUT = (ValueError, TypeError, AttributeError, KeyError)


class Peers(asyncio.DatagramProtocol):
    """The sockets towards other nodes."""

    def __init__(self, ip, port, receive, documents):
        self.ip = ip
        self.port = port
        self.receive = receive
        self.documents = documents
        self.unreadable = 0
        self._transport = None
        self._session = None

    @contextlib.asynccontextmanager
    async def open(self):
        """Hold the sockets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )
        server = web.Server(self._answer)
        listener = await loop.create_server(server, self.ip, self.port)
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT)
        self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            yield self
        finally:
            self._transport.close()
            listener.close()
            await self._session.close()

    def send(self, ip, message):
        """Send a message; it may be lost on the way."""
        data = orjson.dumps(messages.pack_message(message))
        if len(data) <= MOST_DATAGRAM:
            self._transport.sendto(data, (ip, self.port))

    def datagram_received(self, data, addr):
        """Take in a message."""
        try:
            message = messages.unpack_message(orjson.loads(data))
            self.receive(addr[0], message)
        except BAD_INPUT:
            self.unreadable += 1

    def error_received(self, exc):
        """Ignore a send that the network refused; it counts as lost."""

    async def fetch(self, ip, name):
        """Return a document of another node, or None if it has none."""
        url = "http://%s:%d/%s" % (ip, self.port, name)
        async with self._session.get(url) as response:
            if response.status != 200:
                return None
            return await response.read()

    async def _answer(self, request):
        make = self.documents.get(request.path.lstrip("/"))
        body = make() if make is not None else None
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)
