"""Authenticates the caller by its API key."""

import hashlib

from persimmonstall.failures import Reason, Refusal
from persimmonstall.messages.requests import Work

from ..filter import Filter

STEP = "authenticate"


def find_organisation(entry, secret):
    """Return the organisation that an API key belongs to, or a `Refusal`."""
    peer = entry.settings.daemon.instance
    if not secret:
        return Refusal(Reason.UNAUTHENTICATED, STEP, peer, "no API key was given")
    key_hash = hashlib.sha256(secret.encode()).hexdigest()
    organisation = entry.catalogue.organisation_of(key_hash)
    if organisation is None:
        return Refusal(Reason.UNAUTHENTICATED, STEP, peer, "the API key is unknown")
    if organisation.suspended:
        return Refusal(Reason.SUSPENDED, STEP, peer, f"{organisation.name} is suspended")
    return organisation


class Authenticate(Filter):
    """Finds the organisation of the API key and sets the absolute deadline."""

    name = STEP

    def __init__(self, entry):
        self.entry = entry

    async def admit(self, request):
        """Return the `Work` of a `CallerRequest`, or a `Refusal`."""
        organisation = find_organisation(self.entry, request.secret)
        if not organisation:
            return organisation
        return self.work_of(request, organisation)

    def work_of(self, request, organisation):
        """Return the `Work` of an authenticated request.

        Its deadline is earlier than the caller's by `reply_margin`, the time reserved for the
        response, but by no more than half of the time.
        """
        callers = self.entry.settings.callers
        seconds = min(request.deadline or callers.default_deadline, callers.max_deadline)
        return Work(
            request_id=request.request_id,
            organisation=organisation.name,
            prompt=request.prompt,
            deadline=request.arrived + max(seconds / 2, seconds - callers.reply_margin),
            arrived=request.arrived,
            model=request.model,
            adapter=request.adapter,
            max_tokens=request.max_tokens,
            priority=organisation.priority,
            service=request.service,
            method=request.method,
            content_type=request.content_type,
            idempotent=request.idempotent,
            key=request.key,
            body_hash=request.body_hash,
        )
