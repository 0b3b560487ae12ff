"""HTTP client that the adapters share: one session per outside system."""

import aiohttp
import msgspec

from persimmonstall.failures import Failure, Reason

from .wire import decode_answer

NOT_CONNECTED = "not connected"
"""Detail of a failure that is certain not to have reached the other side."""

TIMEOUT = "timeout"
CONNECTION_LOST = "connection lost"


class HttpCaller:
    """Calls one outside system at `url`; `name` is the peer in failures.

    Subclasses set `calls`, the reason `refused` of a call that never arrived, and the reason
    `unknown` of a call that may have taken effect.
    """

    calls = {}
    refused = Reason.STORE_DOWN
    unknown = Reason.AMBIGUOUS

    def __init__(self, url, name=""):
        self.url = url.rstrip("/")
        self.name = name or self.url
        self.session = None

    def open_session(self):
        """Return the session, made on the running event loop."""
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self.session = aiohttp.ClientSession(connector=connector)
        return self.session

    async def close(self):
        """Close the connections; closing twice is harmless."""
        session, self.session = self.session, None
        if session:
            await session.close()

    async def call(self, step, arguments, timeout, reading=False):
        """Return the result of call `step`; a failed read certainly had no effect."""
        body = msgspec.json.encode(arguments)
        unknown = self.refused if reading else self.unknown
        return await self.exchange(step, body, self.calls[step], timeout, unknown)

    async def exchange(self, step, body, call, timeout, unknown):
        """Send the body of one call and return its decoded answer, or a `Failure`."""
        data = await self.post(step, body, timeout, unknown)
        if isinstance(data, Failure):
            return data
        return decode_answer(call, data, step, self.name)

    async def post(self, step, body, timeout, unknown):
        """Return the bytes of the answer, or a `Failure` of reason `refused` or `unknown`."""
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self.open_session().post(
                f"{self.url}/{step}", data=body, params={"timeout": str(timeout)}, timeout=limit
            ) as response:
                return await response.read()
        except aiohttp.ClientConnectorError:
            return Failure(self.refused, step, self.name, NOT_CONNECTED)
        except TimeoutError:
            return Failure(unknown, step, self.name, TIMEOUT)
        except (aiohttp.ClientError, OSError):
            return Failure(unknown, step, self.name, CONNECTION_LOST)
