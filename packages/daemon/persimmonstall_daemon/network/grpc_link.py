"""One link: a bidirectional gRPC stream of MessagePack frames, batched in each write."""

import asyncio

import grpc
import msgspec

from persimmonstall.failures import Failure, Reason
from persimmonstall.messages.codec import decode, encode
from persimmonstall.outside.link import Link

from ..observe import logs

LOG = logs.get("links")
STEP = "link"

BATCH_BYTES = 1_048_576
"""Size of a batch, in bytes, from which no more frames are added to it before it is written."""

BATCH_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
BATCH_ENCODER = msgspec.msgpack.Encoder()


def encode_batch(frames):
    """Return one gRPC message with all `frames`."""
    return BATCH_ENCODER.encode([msgspec.Raw(frame) for frame in frames])


class GrpcLink(Link):
    """A link over `call`, a gRPC stream with async `read` and `write` of bytes.

    Only the writer task writes to it, the frames in `outgoing`.  `received_bytes` and `sent_bytes`
    count the payload, `dropped` the malformed messages and frames.
    """

    def __init__(self, call, peer, on_close=None):
        self.call = call
        self.peer = peer
        self.on_close = on_close
        self.outgoing = asyncio.Queue()
        self.incoming = []
        self.closed = asyncio.Event()
        self.dropped = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.read_task = None
        self.writer = asyncio.create_task(self.write())

    def send(self, message):
        """Queue `message`; return False if the link is closed or the message has no encoding."""
        if self.closed.is_set():
            return False
        try:
            frame = encode(message)
        except (ValueError, TypeError, OverflowError) as error:
            LOG.error("message_unencodable", peer=self.peer, reason=repr(error))
            return False
        self.outgoing.put_nowait(frame)
        return True

    async def write(self):
        """Send queued messages until the link is closed."""
        try:
            while True:
                frames = self.collect_frames(await self.outgoing.get())
                data = encode_batch(frames)
                self.sent_bytes += len(data)
                await self.call.write(data)
                for _ in frames:
                    self.outgoing.task_done()
        except (grpc.RpcError, asyncio.InvalidStateError):
            pass
        except Exception as error:
            LOG.error("link_writer_failed", peer=self.peer, reason=repr(error), exc_info=error)
        finally:
            self.closed.set()

    async def flush(self, timeout):
        """Wait until all queued messages are written; mark the link closed on timeout."""
        if self.closed.is_set():
            return
        try:
            async with asyncio.timeout(timeout):
                await self.outgoing.join()
        except TimeoutError:
            self.closed.set()

    def collect_frames(self, first):
        """Return the frame `first` and queued ones, until they have `BATCH_BYTES`."""
        frames = [first]
        size = len(first)
        while size < BATCH_BYTES and not self.outgoing.empty():
            frames.append(self.outgoing.get_nowait())
            size += len(frames[-1])
        return frames

    async def receive(self):
        """Return the next message, or a `Failure` once the link is closed."""
        while not self.incoming:
            if self.closed.is_set():
                return self.closed_failure("closed")
            data = await self.read()
            if data is None:
                self.closed.set()
                return self.closed_failure("closed by the peer")
            self.received_bytes += len(data)
            self.unpack(data)
        return self.incoming.pop()

    async def read(self):
        """Return the next gRPC message, or None at the end of the stream or once closed."""
        self.read_task = asyncio.ensure_future(self.call.read())
        try:
            data = await self.read_task
        except (grpc.RpcError, asyncio.InvalidStateError):
            return None
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return None
        return data if isinstance(data, bytes) else None

    def unpack(self, data):
        """Decode the frames of one gRPC message, dropping malformed ones."""
        try:
            frames = BATCH_DECODER.decode(data)
        except msgspec.MsgspecError:
            self.dropped += 1
            return
        for frame in reversed(frames):
            message = decode(frame)
            if isinstance(message, Failure):
                self.dropped += 1
            else:
                self.incoming.append(message)

    def closed_failure(self, detail):
        """Return the failure that `receive` ends with."""
        return Failure(Reason.PEER_LOST, STEP, self.peer, detail)

    async def close(self):
        """Close the link; closing twice is harmless."""
        self.closed.set()
        self.writer.cancel()
        if self.read_task:
            self.read_task.cancel()
        if self.on_close:
            on_close, self.on_close = self.on_close, None
            await on_close()
