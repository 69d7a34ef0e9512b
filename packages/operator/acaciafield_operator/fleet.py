"""The HTTP client of the nodes and the log."""

import asyncio
import contextlib
import json

import aiohttp

REQUEST_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
)
TIMEOUT_S = 5.0


class FleetUnreachable(Exception):
    """No node answered, or the log did not."""


class FleetClient:
    """Fetches documents from the nodes and appends to the log."""

    __slots__ = ("nodes", "log", "session")

    def __init__(self, nodes, log, session):
        self.nodes = nodes
        self.log = log
        self.session = session

    async def fetch_from_node(self, address, name, **params):
        """Return a document of one node."""
        url = "http://%s/.acaciafield/%s" % (address, name)
        async with self.session.get(url, params=params) as response:
            response.raise_for_status()
            return json.loads(await response.read())

    async def fetch_from_any(self, name, **params):
        """Return the document of the first node that answers."""
        for address in self.nodes:
            with contextlib.suppress(*REQUEST_ERRORS):
                return await self.fetch_from_node(address, name, **params)
        raise FleetUnreachable("no node answers at %s" % ", ".join(self.nodes))

    async def list_members(self):
        """Return (node, address, status) of all members that are not dead."""
        status = await self.fetch_from_any("status")
        return [
            (m["node"], m["address"], m["status"])
            for m in status["members"]
            if m["status"] != "dead"
        ]

    async def fetch_from_all(self, name, **params):
        """Return the document of each member by node, None for a failure."""
        members = await self.list_members()
        answers = await asyncio.gather(
            *(self._try_fetch(a, name, params) for _, a, _ in members)
        )
        return {node: d for (node, _, _), d in zip(members, answers)}

    async def append(self, stream, data):
        """Append to the log; return the offset, None if the answer is lost."""
        url = "%s/streams/%s" % (self.log.rstrip("/"), stream)
        try:
            async with self.session.post(url, data=data) as response:
                if response.status == 503:
                    raise FleetUnreachable("the log at %s is down" % self.log)
                response.raise_for_status()
                return int(json.loads(await response.read())["offset"])
        except aiohttp.ClientConnectorError as error:
            raise FleetUnreachable(
                "no log answers at %s" % self.log
            ) from error
        except REQUEST_ERRORS + (KeyError,):
            return None

    async def _try_fetch(self, address, name, params):
        try:
            return await self.fetch_from_node(address, name, **params)
        except REQUEST_ERRORS:
            return None


@contextlib.asynccontextmanager
async def open_fleet(nodes, log):
    """Keep the connections to the fleet open."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield FleetClient(nodes, log, session)
