"""A message that has no encoding does not stop a link for the calls of others."""

import asyncio

import attrs
import pytest

from persimmonstall.messages import control, requests
from persimmonstall.messages.codec import decode
from persimmonstall_daemon.network.grpc_link import BATCH_DECODER, GrpcLink

SUBMIT = requests.Submit(
    request_id="r1",
    attempt=1,
    organisation="org",
    endpoint="e1",
    prompt=b"a prompt",
    remaining=1.0,
)


class RecordingCall:
    """A stream that keeps the messages written to it."""

    def __init__(self):
        self.messages = []

    async def write(self, data):
        """Keep the messages of one batch."""
        self.messages += map(decode, BATCH_DECODER.decode(data))


@pytest.mark.parametrize(
    "odd",
    [
        attrs.evolve(SUBMIT, content_type="text/\udce9"),
        attrs.evolve(SUBMIT, request_id="\udcff"),
        control.Ping(1 << 64, 0),
    ],
)
def test_message_without_an_encoding_does_not_stop_the_link(odd):
    async def scenario():
        call = RecordingCall()
        link = GrpcLink(call, "d1")
        assert link.send(SUBMIT)
        assert not link.send(odd)
        assert link.send(control.Ping(1, 0))
        await link.flush(1.0)
        assert call.messages == [SUBMIT, control.Ping(1, 0)]
        assert not link.closed.is_set()
        await link.close()

    asyncio.run(scenario())


def test_link_whose_writer_fails_accepts_no_more_messages():
    async def scenario():
        call = RecordingCall()
        call.write = None
        link = GrpcLink(call, "d1")
        assert link.send(SUBMIT)
        await asyncio.wait((link.writer,), timeout=1.0)
        assert not link.send(SUBMIT)
        await link.close()

    asyncio.run(scenario())
