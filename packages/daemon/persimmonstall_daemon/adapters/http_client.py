"""HTTP client that the adapters share, with one session per external system."""

import aiohttp
import msgspec

from persimmonstall.failures import Failure, Reason

from ..bounded_body import read_body
from ..bounded_http import AnswerRejected, open_session
from .wire import decode_answer

NOT_CONNECTED = "not connected"
"""Detail of a failure whose request certainly did not reach the server.

Backends match this text to tell such a failure from one with an unknown outcome.
"""

TIMEOUT = "timeout"
CONNECTION_LOST = "connection lost"

MAX_ANSWER_BYTES = 1 << 26
"""Largest answer, in bytes; objects and pages of rows are encoded as base64."""


class HttpClient:
    """Client of one external system at `url`; failures report `name` as their peer.

    Subclasses set `calls` (the `wire.Call` of each name), `no_effect_reason` (the failure reason
    of a call that did not reach the server) and `unknown_outcome_reason` (that of a call that
    may have taken effect).
    """

    calls = {}
    no_effect_reason = Reason.STORE_DOWN
    unknown_outcome_reason = Reason.AMBIGUOUS

    def __init__(self, url, name=""):
        self.url = url.rstrip("/")
        self.name = name or self.url
        self.session = None

    def open_session(self):
        """Return the session; the first call creates it on the running event loop."""
        if self.session is None:
            self.session = open_session()
        return self.session

    async def close(self):
        """Close the connections; closing twice is harmless."""
        session, self.session = self.session, None
        if session:
            await session.close()

    async def call(self, step, arguments, timeout, reading=False):
        """Return the result of call `step`; `reading` marks a call without side effects.

        A failed read had no effect, so its reason is always `no_effect_reason`.
        """
        body = msgspec.json.encode(arguments)
        unknown_outcome_reason = self.no_effect_reason if reading else self.unknown_outcome_reason
        return await self.exchange(step, body, self.calls[step], timeout, unknown_outcome_reason)

    async def exchange(self, step, body, call, timeout, unknown_outcome_reason):
        """Send the body of one call and return the decoded result, or a `Failure`."""
        data = await self.post(step, body, timeout, unknown_outcome_reason)
        if isinstance(data, Failure):
            return data
        return decode_answer(call, data, step, self.name)

    async def post(self, step, body, timeout, unknown_outcome_reason):
        """Return the response body, or a `Failure` that tells whether the call had no effect."""
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self.open_session().post(
                f"{self.url}/{step}",
                data=body,
                params={"timeout": str(timeout)},
                timeout=limit,
                allow_redirects=False,
            ) as response:
                return await read_body(response, MAX_ANSWER_BYTES)
        except aiohttp.ClientConnectorError:
            return Failure(self.no_effect_reason, step, self.name, NOT_CONNECTED)
        except AnswerRejected as error:
            return Failure(unknown_outcome_reason, step, self.name, str(error))
        except TimeoutError:
            return Failure(unknown_outcome_reason, step, self.name, TIMEOUT)
        except (aiohttp.ClientError, OSError):
            return Failure(unknown_outcome_reason, step, self.name, CONNECTION_LOST)
