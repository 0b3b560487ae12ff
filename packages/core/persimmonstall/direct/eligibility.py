"""Which endpoints may be chosen for a call, and may still be sent one that was placed earlier."""

import attrs


@attrs.define
class Eligibility:
    """Combines all that can keep an endpoint from being chosen.

    `fleet` is the list of endpoints, `notices` what they say in their answers.  Every attempt goes
    through it: first ones, retries, resumes, helpers of a long prompt and probes.
    """

    fleet: object
    notices: object

    def accepts(self, endpoint, now):
        """Return whether a call may be sent to an endpoint."""
        usable = self.fleet.is_usable(endpoint.lifetime)
        return usable and self.notices.accepts(endpoint.lifetime, now)

    def select(self, endpoints, avoid, now):
        """Return the usable `endpoints` that may be chosen, without the names in `avoid`."""
        notices = self.notices
        if not avoid and not notices.leaving and not notices.paused_until:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.name not in avoid and notices.accepts(endpoint.lifetime, now)
        ]
