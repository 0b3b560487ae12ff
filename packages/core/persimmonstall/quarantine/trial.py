"""Choice of the endpoint on which a suspect runs; all daemons agree without communication."""

from ..membership.rendezvous import owner

PROPAGATION_SECONDS = 10.0
"""Time for which a lost endpoint remains the suspect's trial endpoint.

Within this time the record of a crash there reaches every daemon, so that the suspect does not
run on another endpoint before its crash is known.
"""


def trial_endpoint(verdict, last_usable, now):
    """Return the endpoint on which the content may run, or None if there is none.

    `last_usable` maps the endpoints that serve the content to the time they were last usable.
    The endpoints that crashed with it are avoided while there are others.
    """
    recent = {name for name, seen in last_usable.items() if now - seen < PROPAGATION_SECONDS}
    others = recent - {crash.endpoint for crash in verdict.crashes}
    return owner(verdict.fingerprint, sorted(others or recent))
