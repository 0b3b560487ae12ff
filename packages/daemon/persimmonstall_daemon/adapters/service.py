"""HTTP client of a plain service: the method is in the path, responses pass unchanged."""

import urllib.parse

import aiohttp
from yarl import URL

from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.service import PlainService, ServiceAnswer

from ..bounded_body import read_body
from ..bounded_http import AnswerRejected
from ..exact_headers import to_octets
from . import wire
from .http_client import CONNECTION_LOST, NOT_CONNECTED, TIMEOUT, HttpClient

MAX_ANSWER_BYTES = 1 << 24
"""Largest answer of a service, in bytes."""

CALL_ID = "Call-Id"
"""Request header with an identifier that is unique to each submission of a call."""

NOT_RUN = "Not-Run"
"""Response header by which the service reports that it did not run the call."""


class HttpService(HttpClient, PlainService):
    """Client of one service.

    A call certainly did not run only if it failed with BUSY or "not connected".
    """

    calls = wire.SERVICE
    no_effect_reason = Reason.ENDPOINT_LOST
    unknown_outcome_reason = Reason.ENDPOINT_LOST

    async def call(self, call, timeout):
        """Run a `ServiceCall`; return the `ServiceAnswer` or a `Failure`."""
        headers = {CALL_ID: call.call_id, "Content-Type": call.content_type}
        limit = aiohttp.ClientTimeout(total=timeout)
        method = urllib.parse.quote(call.method, safe="")
        try:
            async with self.open_session().post(
                URL(f"{self.url}/methods/{method}", encoded=True),
                data=call.body,
                headers=headers,
                timeout=limit,
                allow_redirects=False,
            ) as response:
                body = await read_body(response, MAX_ANSWER_BYTES)
                return self.read_answer(response, body)
        except aiohttp.ClientConnectorError:
            return self.failure(NOT_CONNECTED)
        except TimeoutError:
            return self.failure(TIMEOUT)
        except AnswerRejected as error:
            return self.failure(str(error))
        except (aiohttp.ClientError, OSError):
            return self.failure(CONNECTION_LOST)

    async def load(self, timeout):
        """Return the `ServiceLoad` or a `Failure`."""
        return await super().call("load", (), timeout, reading=True)

    def read_answer(self, response, body):
        """Return the `ServiceAnswer`, or a BUSY `Failure` if the service did not run the call."""
        if NOT_RUN in response.headers:
            reason = to_octets(response.headers[NOT_RUN]).decode(errors="backslashreplace")
            return Failure(Reason.BUSY, "call", self.name, reason)
        return ServiceAnswer(response.status, body, response.content_type)

    def failure(self, detail):
        """Return the `Failure` of a call whose connection failed."""
        return Failure(Reason.ENDPOINT_LOST, "call", self.name, detail)
