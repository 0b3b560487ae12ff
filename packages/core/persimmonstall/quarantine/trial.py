"""Where a suspect runs: one endpoint that all daemons agree on without asking each other."""

from ..membership.rendezvous import owner

PROPAGATION_SECONDS = 10.0
"""Time for which the trial does not move on after its endpoint was lost.

Until then the news of what happened there has reached every daemon.
"""


def trial_endpoint(verdict, last_seen, now):
    """Return the endpoint on which the content may run, or None without any.

    `last_seen` maps the endpoints that serve the content to when they were last usable.  The
    endpoints that crashed with it are left out while there are others.
    """
    recent = {name for name, seen in last_seen.items() if now - seen < PROPAGATION_SECONDS}
    others = recent - {crash.endpoint for crash in verdict.crashes}
    return owner(verdict.fingerprint, sorted(others or recent))
