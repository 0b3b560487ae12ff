"""Synchronisation state of one daemon's catalogue.

A daemon never goes back to a lower version.  After a start it is not ready until it has applied
the newest version that it knows of from the table or a peer.
"""

import enum

import attrs


class SyncStep(enum.StrEnum):
    """Next step of the synchronisation."""

    NOTHING = "nothing"
    READ_LOG = "read_log"
    READ_RECORDS = "read_records"
    ASK_PEERS = "ask_peers"


@attrs.define
class SyncState:
    """Versions and conditions that determine the next step.

    `applied` is the version applied here, `newest_known` the highest version reported by the table
    or a peer.  `table_up` and `log_gap` describe the last attempt: whether the table responded and
    whether changes were missing from the log.  `confirmed` means that the table or a peer has
    reported a version since the start.
    """

    applied: int = 0
    newest_known: int = 0
    table_up: bool = True
    log_gap: bool = False
    confirmed: bool = False

    def note_version(self, version):
        """Record a version reported by the table or a peer; return whether it is newer.

        >>> state = SyncState(applied=3)
        >>> state.note_version(2), state.note_version(4), state.is_behind()
        (False, True, True)
        """
        self.confirmed = True
        self.newest_known = max(self.newest_known, version)
        return version > self.applied

    def note_applied(self, version):
        """Record that `version` is applied here; return False if it is older than the last."""
        if version < self.applied:
            return False
        self.applied = version
        self.newest_known = max(self.newest_known, version)
        self.log_gap = False
        return True

    def is_behind(self):
        """Return whether a newer version than the applied one is known."""
        return self.applied < self.newest_known

    def is_ready(self):
        """Return whether the applied version may be used to serve requests.

        >>> SyncState().is_ready(), SyncState(confirmed=True).is_ready()
        (False, True)
        """
        return self.confirmed and not self.is_behind()

    def next_step(self):
        """Return the next `SyncStep`.

        >>> SyncState(applied=3, newest_known=4, table_up=False).next_step()
        <SyncStep.ASK_PEERS: 'ask_peers'>
        """
        if not self.is_behind():
            return SyncStep.NOTHING
        if not self.table_up:
            return SyncStep.ASK_PEERS
        return SyncStep.READ_RECORDS if self.log_gap else SyncStep.READ_LOG
