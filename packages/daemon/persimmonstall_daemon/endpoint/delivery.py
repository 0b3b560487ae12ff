"""Sends the output of the attempts to the entries that are attached to them."""

import asyncio

from persimmonstall.failures import Reason
from persimmonstall.messages import requests

from .backend import SessionLost


class Delivery:
    """Delivers output to sessions; called from the task of `backend` only."""

    def __init__(self, backend):
        self.backend = backend
        self.handlers = {
            requests.Credit: self.on_credit,
            requests.Attach: self.on_attach,
            SessionLost: self.on_session_lost,
        }

    def flush(self, attempts):
        """Send the output that the windows allow, in one message for each session."""
        attached = [attempt for attempt in attempts if attempt.session is not None]
        batches = {}
        for attempt in attached:
            chunk = attempt.send_buffer.next_chunk()
            if chunk:
                batches.setdefault(attempt.session, []).append(chunk)
        for session, chunks in batches.items():
            session.send(requests.Chunks(tuple(chunks)))
        self.send_results(attached)

    def send_results(self, attempts):
        """Send the results of the ended attempts whose output is sent, then the load."""
        sessions = set()
        for attempt in attempts:
            if attempt.ended and attempt.send_buffer.all_sent and not attempt.result_sent:
                attempt.result_sent = True
                attempt.session.send(attempt.result)
                sessions.add(attempt.session)
        if sessions:
            self.backend.send_loads(sessions)

    def on_credit(self, credit, session):
        """Advance the send window by what the caller has consumed."""
        attempt = self.backend.find_attempt(credit)
        if attempt and attempt.session is session:
            attempt.send_buffer.credit(credit.offset)
            self.flush([attempt])

    def on_attach(self, attach, session):
        """Attach a new session to an attempt and send its output from the requested offset."""
        attempt = self.backend.find_attempt(attach)
        if attempt is None or not attempt.send_buffer.rewind(attach.offset):
            session.send(self.backend.daemon.unknown_attempt(attach))
            return
        attempt.session = session
        attempt.result_sent = False
        self.backend.attempt_versions.report(attempt)
        self.flush([attempt])

    def on_session_lost(self, lost, _session):
        """Detach the attempts of a lost link; stop those that no entry attaches to in time."""
        grace = 2 * self.backend.settings.links.silence
        loop = asyncio.get_running_loop()
        for attempt in self.backend.attempts.values():
            if attempt.session is lost.session:
                attempt.session = None
                attempt.detached_at = self.backend.now()
                loop.call_later(grace, self.stop_if_detached, attempt, attempt.detached_at)

    def stop_if_detached(self, attempt, detached_at):
        """Stop an attempt that no entry has attached to since it was detached."""
        same = attempt.detached_at == detached_at
        if same and attempt.session is None and not attempt.ended:
            self.backend.daemon.metrics.count("attempts_abandoned")
            self.backend.stop_attempt(attempt, Reason.CANCELLED)
