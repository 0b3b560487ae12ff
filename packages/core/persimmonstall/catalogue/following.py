"""Synchronisation state of one daemon's catalogue.

A daemon never goes back to a lower version.  After a start it is not ready until it has applied
the newest version that it knows of from the table or a peer.
"""

import enum

import attrs


class Step(enum.StrEnum):
    """Next step of the synchronisation."""

    NOTHING = "nothing"
    READ_LOG = "read_log"
    READ_RECORDS = "read_records"
    ASK_PEERS = "ask_peers"


@attrs.define
class Following:
    """Versions and conditions that determine the next step.

    `have` is the version applied here, `newest` the highest version known from the table or a
    peer.  `table_up` and `log_gap` describe the last attempt: whether the table responded and
    whether changes were missing from the log.  `confirmed` means that the table or a peer has
    reported a version since the start.
    """

    have: int = 0
    newest: int = 0
    table_up: bool = True
    log_gap: bool = False
    confirmed: bool = False

    def heard(self, version):
        """Record a version reported by the table or a peer; return whether it is newer.

        >>> progress = Following(have=3)
        >>> progress.heard(2), progress.heard(4), progress.behind()
        (False, True, True)
        """
        self.confirmed = True
        self.newest = max(self.newest, version)
        return version > self.have

    def reached(self, version):
        """Record that `version` is applied here; return False if it is older than the last."""
        if version < self.have:
            return False
        self.have = version
        self.newest = max(self.newest, version)
        self.log_gap = False
        return True

    def behind(self):
        """Return whether a newer version than the applied one is known."""
        return self.have < self.newest

    def ready(self):
        """Return whether the applied version may be used to serve requests.

        >>> Following().ready(), Following(confirmed=True).ready()
        (False, True)
        """
        return self.confirmed and not self.behind()

    def next_step(self):
        """Return the next `Step`.

        >>> Following(have=3, newest=4, table_up=False).next_step()
        <Step.ASK_PEERS: 'ask_peers'>
        """
        if not self.behind():
            return Step.NOTHING
        if not self.table_up:
            return Step.ASK_PEERS
        return Step.READ_RECORDS if self.log_gap else Step.READ_LOG
