"""Runs calls on one instance of a plain service."""

import asyncio

import attrs

from persimmonstall.failures import Outcome, Reason
from persimmonstall.messages import control, requests
from persimmonstall.outside.service import ServiceCall, ServiceLoad

from .attempt import AttemptPhase, make_attempt
from .backend import Backend, Expired, SessionLost

STEP = "service"
LATE_ANSWER_SECONDS = 30.0
"""Time after the deadline for which the answer to non-idempotent work is still awaited."""

LOAD_POLL_SECONDS = 1.0
"""Mean interval of the polls of the service's load."""

FINISH = "stop"


@attrs.frozen
class CallEnded:
    """The service's answer to an attempt, or the `Failure` of the call."""

    attempt: object
    result: object


class ServiceBackend(Backend):
    """Owns the calls in progress on one instance of the plain service `service`.

    The service has no means to cancel a call.
    """

    step = STEP

    def __init__(self, name, service, client, daemon):
        super().__init__(name, daemon)
        self.service = service
        self.client = client
        self.active_calls = set()
        self.last_report = ServiceLoad(0, 0, 0)
        self.handlers = {
            requests.Submit: self.on_submit,
            requests.Cancel: self.on_cancel,
            requests.Attach: self.on_attach,
            SessionLost: self.on_session_lost,
            Expired: self.on_expired,
            CallEnded: self.on_call_ended,
        }

    def start_tasks(self):
        """Start the polls of the service's load."""
        self.spawn(self.watch())

    async def watch(self):
        """Poll the service's load; a service that does not answer is reported as leaving."""
        timeout = self.settings.endpoints.step_silence
        while True:
            load = await self.client.load(timeout)
            self.alive = bool(load)
            self.last_report = load or self.last_report
            await asyncio.sleep(self.daemon.context.jitter(LOAD_POLL_SECONDS))

    def pending_count(self):
        """Return the number of calls that a graceful shutdown has to wait for."""
        undelivered = sum(1 for attempt in self.attempts.values() if attempt.undelivered)
        return len(self.active_calls) + undelivered

    def load(self):
        """Return the current load; the daemon's own calls count when the service reports fewer."""
        own = len(self.active_calls)
        return control.EndpointLoad(
            endpoint=self.name,
            running=max(own, self.last_report.active),
            waiting=self.last_report.waiting,
            memory_used=0,
            memory_total=0,
            prefill_backlog=0,
            step_seconds=0.0,
            accepted=self.accepted,
            leaving=self.leaving or not self.alive,
            services=(self.service,),
        )

    def on_submit(self, submit, session):
        """Accept a new attempt or refuse it at once."""
        key = submit.request_id, submit.attempt
        if key in self.attempts:
            self.daemon.metrics.count("frames_dropped", tag="repeated_submit")
            return
        if self.leaving:
            session.send(self.make_refusal(submit, Reason.LEAVING, Outcome.NOT_RUN))
            return
        attempt = make_attempt(submit, session, self.now(), 0, self.daemon.run_id)
        self.add_attempt(attempt)
        attempt.phase = AttemptPhase.RUNNING
        self.active_calls.add(key)
        self.spawn(self.call(attempt))

    async def call(self, attempt):
        """Acquire the claim if the call needs one, call the service and post the result."""
        held_claim = await self.daemon.claims.acquire(attempt, self.name)
        if not held_claim or attempt.ended:
            self.post(CallEnded(attempt, held_claim))
            return
        attempt.handed_over = True
        submit = attempt.submit
        timeout = max(0.0, attempt.deadline - self.now())
        if attempt.held_claim:
            timeout += LATE_ANSWER_SECONDS
        call = ServiceCall(attempt.job_id, submit.method, submit.prompt, submit.content_type)
        self.post(CallEnded(attempt, await self.client.call(call, timeout)))

    def on_call_ended(self, ended, _session):
        """End an attempt whose call has returned."""
        attempt, result = ended.attempt, ended.result
        self.active_calls.discard(attempt.key)
        if not attempt.handed_over:
            self.refuse(attempt, Reason.CANCELLED if result else result.reason, Outcome.NOT_RUN)
        elif result:
            self.answer(attempt, result)
        else:
            self.fail(attempt, result)

    def answer(self, attempt, result):
        """End an attempt with the service's answer, stored if the work is not idempotent."""
        if attempt.held_claim:
            stored = self.daemon.claims.finish(
                attempt.held_claim, result.status, result.content_type, result.body
            )
            self.spawn(stored)
        submit = attempt.submit
        end = requests.End(
            submit.request_id,
            submit.attempt,
            0,
            FINISH,
            status=result.status,
            body=result.body,
            content_type=result.content_type,
        )
        self.end_attempt(attempt, end)

    def fail(self, attempt, failure):
        """End an attempt whose call to the service failed."""
        not_run = failure.reason is Reason.BUSY or failure.detail == "not connected"
        if not_run and attempt.held_claim:
            self.spawn(self.daemon.claims.abandon(attempt.held_claim))
        outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
        self.refuse(attempt, failure.reason, outcome, failure.detail)

    def end_attempt(self, attempt, result):
        """Set and send the result of an attempt; further results are dropped."""
        if attempt.ended:
            return
        attempt.phase = AttemptPhase.ENDED
        attempt.result = result
        attempt.deadline_timer.cancel()
        keep = self.settings.endpoints.keep_answers
        asyncio.get_running_loop().call_later(keep, self.remove_attempt, attempt)
        self.deliver(attempt)

    def deliver(self, attempt):
        """Send the result of an ended attempt to the attached entry."""
        if attempt.session is None or not attempt.ended:
            return
        attempt.result_sent = attempt.session.send(attempt.result)
        self.send_loads((attempt.session,))

    def on_cancel(self, cancel, _session):
        """End an attempt that its entry has cancelled; the call to the service goes on."""
        attempt = self.find_attempt(cancel)
        if attempt is not None:
            attempt.session = None
            self.stop_attempt(attempt, Reason.CANCELLED)

    def on_expired(self, expired, _session):
        """End an attempt whose deadline has passed."""
        attempt = self.find_attempt(expired)
        if attempt is not None:
            self.stop_attempt(attempt, Reason.DEADLINE)

    def stop_attempt(self, attempt, reason):
        """End an attempt before the service has answered."""
        self.refuse(attempt, reason, attempt.outcome_if_stopped)

    def on_attach(self, attach, session):
        """Attach a new session; send the result as soon as there is one."""
        attempt = self.find_attempt(attach)
        if attempt is None:
            session.send(self.daemon.unknown_attempt(attach))
            return
        attempt.session = session
        self.deliver(attempt)

    def on_session_lost(self, lost, _session):
        """Detach the attempts of a lost link, to which the entry can attach again."""
        for attempt in self.attempts.values():
            if attempt.session is lost.session:
                attempt.session = None
