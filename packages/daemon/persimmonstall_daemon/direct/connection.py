"""A caller's connection: its timeouts, and the bytes that it holds."""

import asyncio
import contextlib

from aiohttp import web

from persimmonstall.direct.byte_budget import Phase

from ..observe import logs
from .arrivals import Arrivals, field_count, head_bytes
from .entry_memory import EXCHANGE_BYTES
from .head_timeout import HeadTimeout
from .parser_limits import parser_options

LOG = logs.get("callers")
STEP = "read"

IDLE_MARGIN_SECONDS = 2.0
"""Added to the idle timeout, so that a call rarely arrives while its connection closes."""

SERVED_FIELDS = 128
FIELD_SECONDS = 5e-6
"""Fields of a head from which its calls are served at a bounded pace, and their time each."""


class Connection(web.RequestHandler):
    """A caller's connection; it is closed if the head of a request is not complete in time.

    `limits` are those that applied when the connection was opened; `lost_at` is the time of the
    event loop at which it closed, None while it is open.  `reading` says that bytes of a request
    have arrived that has not been answered.  It is `essential` if it does not serve callers.

    `holder` stands for it in the budget of `memory`.  `wire` are the bytes charged for what has
    arrived and is not served yet, its `arrivals`.  `taken` are those of the request that is
    served, and `stored` is what was read of its body.  `turn` is the one after which it is read
    again, None while it is read.  `denied` says that there was no room for a request; `revoke`,
    if there is one, refuses the request that arrives.
    """

    def __init__(self, server, limits, memory, essential=False, **options):
        super().__init__(server, **parser_options(limits), **options)
        self.limits = limits
        self.memory = memory
        self.essential = essential
        self.address = ""
        self.holder = None
        self.arrivals = Arrivals(limits)
        self.turn = None
        self.wire = 0
        self.taken = 0
        self.stored = None
        self.denied = False
        self.revoke = None
        self.timeout = HeadTimeout()
        self.in_request = False
        self.reading = False
        self.lost_at = None

    def connection_made(self, transport):
        """Start the idle timeout of the first request, the same as for later ones."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.address = peer[0] if peer else ""
        self.holder = self.memory.open(self, (self.address, ""), self.essential)
        if self.holder is None:
            transport.abort()
            return
        self.start_timeout(self.limits.idle_timeout + IDLE_MARGIN_SECONDS)

    def data_received(self, data):
        """Pass data to the parser; the first bytes of a request start its header timeout."""
        if data:
            self.reading = True
            if not self.in_request:
                self.start_timeout(self.limits.header_timeout)
        if self._close:
            return
        if self.arrivals.unparsed and data:
            self.arrivals.unparsed += data
            return
        self.parse(data)

    def parse(self, data):
        """Parse data piece by piece; what is dear to parse waits for its turn."""
        start = 0
        while True:
            piece = data[start : start + self.arrivals.parsed_bytes]
            super().data_received(piece)
            if self.holder is None or self.transport is None:
                return
            self.account(piece)
            start += len(piece)
            if self.arrivals.is_dear:
                self.arrivals.unparsed += data[start:]
                self.pace()
                return
            if start >= len(data):
                return

    @property
    def reading_paused(self):
        """Whether the connection is not read now, so that its close is not noticed."""
        return self.turn is not None or self._reading_paused or self._buffer_paused

    def pace(self):
        """Read no more until it is this connection's turn among those that are dear to parse."""
        seconds = self.arrivals.take_work()
        if self.transport is None or self.turn is not None:
            return
        self.turn = self.memory.turns.ask(seconds, self.end_pace)
        self._pause_transport_reading()

    def end_pace(self):
        """Parse what is left, then read again, unless something else forbids it."""
        self.turn = None
        data, self.arrivals.unparsed = self.arrivals.unparsed, b""
        if data and self.transport is not None and not self._close:
            self.parse(data)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def resume_reading(self, resume_parser=True):
        """Resume reading if it is paused; aiohttp asks for it after each piece of a body."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _pause_transport_reading(self):
        """Read no more; whether the caller has left is then found out in another way."""
        super()._pause_transport_reading()
        self.memory.departed.add(self)

    def _resume_transport_reading(self):
        """Resume reading as aiohttp asks for, but not before the pace allows it."""
        if self.turn is None:
            self.memory.departed.discard(self)
            super()._resume_transport_reading()

    def account(self, piece):
        """Charge what has arrived and is not served yet; give way if there is no room for it."""
        self.holder.move(len(piece), self.memory.entry.now())
        self.arrivals.count(piece, self._request_count, self._messages, self._buffer_paused)
        if self.arrivals.is_endless(self._reading_paused):
            self.abort("head or framing too large")
            return
        if not self.charge_wire(self.waiting_bytes()):
            self.give_way()

    def waiting_bytes(self):
        """Return the estimated memory of what has arrived and is not served yet."""
        return self.arrivals.waiting_bytes(self._messages)

    def fill(self, unfilled):
        """Record how much of what is reserved for the body has not been read; charge the rest."""
        self.arrivals.unfilled = unfilled
        self.charge_wire(min(self.wire, self.waiting_bytes()))

    def charge_wire(self, size):
        """Charge `size` bytes for what waits, in place of what was charged so far."""
        if size <= self.wire:
            self.memory.release(self.holder, self.wire - size)
        elif not self.memory.charge(self.holder, size - self.wire):
            return False
        self.wire = size
        return True

    def give_way(self):
        """Free memory: refuse the request that arrives, or close the connection.

        A request that was passed on keeps its answer; what was sent after it is not read.
        """
        if self.revoke is not None:
            self.revoke()
        elif self.holder.phase is Phase.READING:
            self.denied = True
        elif self.holder.phase is Phase.RUNNING:
            self._close = True
            self._messages.clear()
            self.charge_wire(0)
        elif self.holder.phase is Phase.WAITING and self._messages:
            self.denied = True
            self._close = True
            self._messages = type(self._messages)([self._messages[0]])
        else:
            self.abort("it has to give way")

    def abort(self, reason):
        """Close the connection at once."""
        LOG.info("connection_closed", step=STEP, reason=reason, peer=str(self.holder.group))
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    async def take(self, size):
        """Reserve `size` bytes for the request that is served; return whether there was room."""
        if not await self.memory.reserve(self.holder, size):
            return False
        self.taken += size
        return True

    def give_back(self, size):
        """Release bytes of the request that is served."""
        self.taken -= size
        self.memory.release(self.holder, size)

    def join_group(self, organisation):
        """Share the memory of an organisation's callers at the same address."""
        self.memory.budget.regroup(self.holder, (self.address, organisation))

    def enter(self, phase):
        """Record what the connection is doing now."""
        self.holder.enter(phase, self.memory.entry.now())

    def sent(self, size):
        """Record that the caller took bytes of the answer."""
        self.holder.move(size, self.memory.entry.now())

    def start_timeout(self, seconds):
        """Close the connection unless a head is complete within `seconds`."""
        self.timeout.start(seconds, self.close_unless_served)

    def close_unless_served(self):
        """Close the connection, unless a request that was read has begun to be served.

        Tasks that were made ready before this callback have run.
        """
        if self.in_request:
            return
        if self.reading:
            LOG.info("request_incomplete", step=STEP, reason="head incomplete at the timeout")
        self.force_close()

    def request_started(self, body):
        """Stop the header timeout: the head is complete; `body` is the stream of the body."""
        self.in_request = True
        self.arrivals.begin_serving(body)
        self.timeout.cancel()
        if self.holder is not None:
            self.charge_wire(min(self.wire, self.waiting_bytes()))
            self.enter(Phase.READING)

    async def accept(self, message, until):
        """Reserve what a call needs beside its body; return whether there was room.

        One of very many fields waits for its turn, which has to come by the time `until`.
        """
        if self.denied or not await self.take(EXCHANGE_BYTES + head_bytes(message)):
            return False
        fields = field_count(message)
        if fields > SERVED_FIELDS and not await self.wait_for_turn(fields, until):
            return False
        return not self.denied

    async def wait_for_turn(self, fields, until):
        """Wait for the turn of a call of so many fields; return whether it came in time."""
        with self.revocable() as revocation:
            async with revocation:
                return await self.memory.turns.wait(fields * FIELD_SECONDS, until)
        return False

    @contextlib.contextmanager
    def revocable(self):
        """Provide a timeout that ends once this connection has to give way; leave on its end."""
        revocation = asyncio.timeout(None)
        clock = asyncio.get_running_loop().time
        self.revoke = lambda: revocation.reschedule(clock())
        try:
            yield revocation
        except TimeoutError:
            if not revocation.expired():
                raise
        finally:
            self.revoke = None

    def request_ended(self):
        """Expect the head of another request: this one has been answered."""
        self.in_request = False
        self.reading = bool(self._messages)
        if self.stored is not None:
            self.stored.discard()
            self.stored = None
        if self.holder is not None:
            self.give_back(self.taken)
            self.memory.budget.spare(self.holder)
            self.enter(Phase.WAITING)

    def connection_lost(self, exc):
        """Cancel the timeout of a connection that has closed, and the call in progress."""
        self.lost_at = asyncio.get_running_loop().time()
        self.memory.departed.discard(self)
        self.memory.turns.withdraw(self.turn)
        self.turn = None
        self.timeout.cancel()
        if self.holder is not None:
            self.memory.close(self.holder)
        messages = list(self._messages)
        super().connection_lost(exc)
        self._messages.clear()
        self.arrivals.drop(messages)
