"""The HTTP client of the platform: its log and its list of hosts."""

import asyncio
import base64
import contextlib
import json

import aiohttp

from acaciafield import events
from acaciafield import messages

REQUEST_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
)


class PlatformClient:
    """Sends requests to the platform and passes the results on as events."""

    __slots__ = ("settings", "driver", "session")

    def __init__(self, settings, driver):
        self.settings = settings
        self.driver = driver
        self.session = None

    @contextlib.asynccontextmanager
    async def open(self):
        """Keep the session with the platform open."""
        timeout_s = self.settings.get("platform", "timeout")
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            self.session = session
            yield self

    async def read_log(self, stream, offset):
        """Read the records of a stream from an offset on."""
        url = "%s/streams/%s" % (self.settings.get("platform", "log"), stream)
        try:
            params = {"from": str(offset)}
            async with self.session.get(url, params=params) as response:
                response.raise_for_status()
                document = json.loads(await response.read())
            records = [
                (int(r["offset"]), base64.b64decode(r["data"]))
                for r in document["records"]
            ]
            earliest = int(document["earliest"])
        except REQUEST_ERRORS:
            self.driver.dispatch_event(events.LogReadFailed, stream)
            return
        self.driver.dispatch_event(events.LogRead, stream, earliest, records)

    async def append_record(self, stream, append_id, data):
        """Append a record to a stream."""
        url = "%s/streams/%s" % (self.settings.get("platform", "log"), stream)
        try:
            async with self.session.post(url, data=data) as response:
                response.raise_for_status()
                offset = int(json.loads(await response.read())["offset"])
        except REQUEST_ERRORS:
            self.driver.dispatch_event(events.LogAppendFailed, append_id)
            return
        self.driver.dispatch_event(events.LogAppended, append_id, offset)

    async def read_hosts(self, service):
        """Read the hosts of a service; report nothing on a failure."""
        url = "%s/hosts" % self.settings.get("platform", "hosts")
        try:
            params = {"service": service}
            async with self.session.get(url, params=params) as response:
                response.raise_for_status()
                document = json.loads(await response.read())
            hosts = [_parse_host(entry) for entry in document["hosts"]]
        except REQUEST_ERRORS:
            return
        self.driver.dispatch_event(events.HostsRead, service, hosts)


def _parse_host(entry):
    return messages.HostEntry(
        str(entry["id"]),
        str(entry["address"]),
        str(entry["availability_zone"]),
        str(entry["state"]),
        int(entry["slots"]),
        float(entry.get("started", 0.0)),
    )
