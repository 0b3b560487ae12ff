"""Accepts callers' connections, all that wait in one pass of the event loop.

The servers of uvloop accept one connection in each pass, so that many that are opened at once wait
for as many passes of a busy entry.
"""

import asyncio

from ..observe import logs

BACKLOG = 1024
"""Length of the queue of connections to accept."""

MAX_ACCEPTED = 128
"""Maximum number of connections accepted in one pass, so that others get their turn."""

PAUSE_SECONDS = 0.1
"""Pause after an error, such as a lack of descriptors, before connections are accepted again."""

LOG = logs.get("callers")
STEP = "accept"


class Acceptor:
    """Accepts connections from a listening socket; `make_protocol` returns that of a new one."""

    def __init__(self, listener, make_protocol):
        self.listener = listener
        self.make_protocol = make_protocol
        self.loop = asyncio.get_running_loop()
        self.tasks = set()
        self.closed = False

    def start(self):
        """Start to accept."""
        self.listener.setblocking(False)
        self.listener.listen(BACKLOG)
        self.resume()

    def resume(self):
        """Accept when connections wait, unless closed."""
        if not self.closed:
            self.loop.add_reader(self.listener, self.accept_waiting)

    def accept_waiting(self):
        """Accept the connections that wait."""
        for _ in range(MAX_ACCEPTED):
            try:
                connection, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError as error:
                LOG.info("connection_aborted", step=STEP, reason=repr(error))
                continue
            except OSError as error:
                self.pause(error)
                return
            task = self.loop.create_task(self.open(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def pause(self, error):
        """Accept nothing for a while: an error would come again at once."""
        LOG.warning("accept_failed", step=STEP, reason=repr(error))
        self.loop.remove_reader(self.listener)
        self.loop.call_later(PAUSE_SECONDS, self.resume)

    async def open(self, connection):
        """Start the protocol of a connection that was accepted."""
        try:
            await self.loop.connect_accepted_socket(self.make_protocol, connection)
        except OSError as error:
            LOG.info("connection_lost", step=STEP, reason=repr(error))
            connection.close()

    async def close(self):
        """Stop accepting; connections that wait are accepted before."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.listener)
        self.accept_waiting()
        self.listener.close()
        if self.tasks:
            await asyncio.wait(self.tasks)
