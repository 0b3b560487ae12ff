"""Which endpoints may be chosen for a call, and may still be sent one that was placed earlier."""

import attrs

from .evacuations import Evacuations


@attrs.define
class Eligibility:
    """Combines all that can keep an endpoint from being chosen.

    `fleet` is the list of endpoints, `notices` what they say in their answers, `evacuations` the
    data centres that operators evacuate.  Every attempt goes through it: first ones, retries,
    resumes, helpers of a long prompt and probes.
    """

    fleet: object
    notices: object
    evacuations: Evacuations = attrs.field(factory=Evacuations)

    def accepts(self, endpoint, now):
        """Return whether a call may be sent to an endpoint."""
        usable = self.fleet.is_usable(endpoint.lifetime)
        return usable and self.wants_calls(endpoint, now)

    def wants_calls(self, endpoint, now):
        """Return whether neither a listed endpoint itself nor an operator refuses calls to it."""
        if self.evacuations.covers(endpoint):
            return False
        return self.notices.accepts(endpoint.lifetime, now)

    def select(self, endpoints, avoid, now):
        """Return the usable `endpoints` that may be chosen, without the names in `avoid`."""
        notices = self.notices
        refused = notices.leaving or notices.paused_until or self.evacuations.since
        if not avoid and not refused:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.name not in avoid and self.wants_calls(endpoint, now)
        ]
