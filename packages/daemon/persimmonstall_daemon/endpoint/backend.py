"""What the endpoint daemon asks of each kind of endpoint it fronts."""

import abc
import asyncio

import attrs

from persimmonstall.messages.control import Leaving


@attrs.frozen
class Envelope:
    """A message together with the session it came over."""

    message: object
    session: object


@attrs.frozen
class SessionLost:
    """The link of a session is gone; its attempts go on without a reader."""

    session: object


@attrs.frozen
class Expired:
    """The deadline of an attempt has passed."""

    request_id: str
    attempt: int


class Backend(abc.ABC):
    """One endpoint: a task that owns the attempts on it and reads messages from `inbox`."""

    def __init__(self, name):
        self.name = name
        self.inbox = asyncio.Queue()
        self.leaving = False
        self.accepted = 0

    def post(self, message, session=None):
        """Hand a message to the backend's task."""
        self.inbox.put_nowait(Envelope(message, session))

    @abc.abstractmethod
    async def run(self):
        """Serve until cancelled."""

    @abc.abstractmethod
    def load(self):
        """Return the `EndpointLoad` as known now."""

    @abc.abstractmethod
    def busy(self):
        """Return the number of attempts that a graceful shutdown has to wait for."""

    def leave(self):
        """Refuse new work from now on; return the message that tells the entries."""
        self.leaving = True
        return Leaving((self.name,))
