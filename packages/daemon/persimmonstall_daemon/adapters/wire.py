"""The JSON encoding of calls to external systems, one entry for each call of a base class.

A call is ``POST /<name>?timeout=<seconds>`` with its arguments as a JSON array; the response is
an object with one member: "value", "conflict" or "failure".  Bytes are encoded as base64.
"""

import attrs
import msgspec

from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.engine import EngineLoad, JobState, Order
from persimmonstall.outside.instances import Instance
from persimmonstall.outside.service import ServiceLoad
from persimmonstall.outside.table import Committed, Conflict, Row, Write
from persimmonstall.outside.weights import FetchGrant


@attrs.frozen
class Call:
    """Types of one call: its `arguments` without the timeout, and its result `value`."""

    arguments: object
    value: object


TABLE = {
    "read": Call(tuple[str, str], Row | None),
    "scan": Call(tuple[str, str, str, int], tuple[Row, ...]),
    "commit": Call(tuple[tuple[Write, ...]], Committed),
}

OBJECTS = {
    "put": Call(tuple[str, bytes], bool),
    "get": Call(tuple[str], bytes | None),
    "list": Call(tuple[str], tuple[str, ...]),
    "delete": Call(tuple[str], bool),
}

INSTANCES = {
    "list": Call(tuple[()], tuple[Instance, ...]),
    "register": Call(tuple[Instance], bool),
}

WEIGHTS = {
    "request": Call(tuple[str, str], FetchGrant),
    "finish": Call(tuple[str], bool),
}

ENGINE = {
    "cancel": Call(tuple[str], bool),
    "set_priority": Call(tuple[str, int], bool),
    "park": Call(tuple[str], str),
    "discard": Call(tuple[str], bool),
    "jobs": Call(tuple[()], tuple[JobState, ...]),
    "load": Call(tuple[()], EngineLoad),
    "order": Call(tuple[Order], bool),
}

SERVICE = {"load": Call(tuple[()], ServiceLoad)}


def encode_answer(result):
    """Return the result of a call as a JSON object.

    >>> encode_answer(True)
    b'{"value":true}'
    """
    if isinstance(result, Failure):
        return msgspec.json.encode({"failure": attrs.evolve(result)})
    if isinstance(result, Conflict):
        return msgspec.json.encode({"conflict": result})
    return msgspec.json.encode({"value": result})


def decode_answer(call, data, step, peer):
    """Return the result in the JSON object `data`, or a `Failure` if it is malformed."""
    try:
        members = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        if "failure" in members:
            return msgspec.json.decode(members["failure"], type=Failure)
        if "conflict" in members:
            return msgspec.json.decode(members["conflict"], type=Conflict)
        return msgspec.json.decode(members["value"], type=call.value)
    except (msgspec.MsgspecError, KeyError) as error:
        return Failure(Reason.ENDPOINT_ERROR, step, peer, f"malformed answer: {error}")


def encode_with_prompt(arguments, job):
    """Return a JSON line of `arguments` and `job`, followed by the job's raw prompt.

    The prompt is sent as it is, without base64.
    """
    header = msgspec.json.encode((*arguments, attrs.evolve(job, prompt=b"")))
    return header + b"\n" + job.prompt


def decode_with_prompt(data, arguments_type):
    """Return the arguments of type `arguments_type`; the last one is the job with its prompt."""
    header, _, prompt = data.partition(b"\n")
    *arguments, job = msgspec.json.decode(header, type=arguments_type)
    return *arguments, attrs.evolve(job, prompt=prompt)
