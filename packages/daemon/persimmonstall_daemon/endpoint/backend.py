"""Base class of the back ends that the endpoint daemon runs attempts on."""

import abc
import asyncio
import functools

import attrs

from persimmonstall.messages.control import Leaving, Loads
from persimmonstall.messages.requests import Refused

BUSY_RETRY_SECONDS = 1.0
"""Delay after which a refused attempt may be retried, as stated in the refusal."""


@attrs.frozen
class Envelope:
    """A message and the session that it arrived on."""

    message: object
    session: object


@attrs.frozen
class SessionLost:
    """The link of a session is closed; its attempts continue without a reader."""

    session: object


@attrs.frozen
class Expired:
    """The deadline of an attempt has passed."""

    request_id: str
    attempt: int


class Backend(abc.ABC):
    """One endpoint: a task that owns the attempts on it and reads messages from `inbox`.

    `daemon` supplies settings, context, metrics and the run id.  Only the task that reads
    `inbox` accesses the state; calls to the endpoint run in tasks of their own and post
    their results to `inbox`.  `handlers` maps types of messages to their handlers.
    """

    step = ""
    """Name of the processing step in refusals by this kind of endpoint."""

    def __init__(self, name, daemon):
        self.name = name
        self.daemon = daemon
        self.inbox = asyncio.Queue()
        self.attempts = {}
        self.handlers = {}
        self.tasks = set()
        self.alive = True
        self.leaving = False
        self.accepted = 0

    @property
    def settings(self):
        """Settings of the daemon."""
        return self.daemon.settings

    def now(self):
        """Return the daemon's monotonic time in seconds."""
        return self.daemon.context.now()

    def post(self, message, session=None):
        """Queue a message for the backend's task."""
        self.inbox.put_nowait(Envelope(message, session))

    def spawn(self, coroutine):
        """Run `coroutine` in a task of its own and keep a reference to the task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def run(self):
        """Handle messages until cancelled, then cancel the tasks started here."""
        self.start_tasks()
        try:
            while True:
                envelope = await self.inbox.get()
                handler = self.handlers.get(type(envelope.message))
                if handler:
                    handler(envelope.message, envelope.session)
        finally:
            for task in list(self.tasks):
                task.cancel()

    @abc.abstractmethod
    def start_tasks(self):
        """Start the background tasks of the backend."""

    @abc.abstractmethod
    def load(self):
        """Return the current `EndpointLoad`."""

    @abc.abstractmethod
    def pending_count(self):
        """Return the number of attempts that a graceful shutdown has to wait for."""

    def leave(self):
        """Refuse new work from now on; return the message that reports it to the entries."""
        self.leaving = True
        return Leaving((self.name,))

    def add_attempt(self, attempt):
        """Add a new attempt and start the timer for its deadline."""
        key = attempt.key
        self.attempts[key] = attempt
        self.daemon.register_attempt(key, self)
        self.accepted += 1
        expire = functools.partial(self.post, Expired(*key))
        loop = asyncio.get_running_loop()
        attempt.deadline_timer = loop.call_later(attempt.submit.remaining, expire)

    def remove_attempt(self, attempt):
        """Remove a finished attempt."""
        self.attempts.pop(attempt.key, None)
        self.daemon.unregister_attempt(attempt.key)

    def find_attempt(self, message):
        """Return the attempt that a message refers to, or None."""
        return self.attempts.get((message.request_id, message.attempt))

    def send_loads(self, sessions):
        """Send the current load to these sessions."""
        loads = Loads((self.load(),))
        for session in sessions:
            session.send(loads)

    @abc.abstractmethod
    def end_attempt(self, attempt, result):
        """End an attempt with `result`, an `End` or `Refused`, and send it."""

    def refuse(self, attempt, reason, outcome, detail=""):
        """End an attempt with a refusal."""
        self.end_attempt(attempt, self.make_refusal(attempt.submit, reason, outcome, detail))

    def make_refusal(self, submit, reason, outcome, detail=""):
        """Return the `Refused` message for an attempt."""
        return Refused(
            submit.request_id,
            submit.attempt,
            reason,
            self.step,
            self.name,
            outcome,
            BUSY_RETRY_SECONDS,
            detail,
        )
