"""Which step brings a daemon to the newest version of the catalogue it knows of.

A daemon never takes a lower version than one it had or heard of, and after a start it is
not ready before it has the newest version that the table or a peer could tell it.
"""

import enum

import attrs


class SyncStep(enum.StrEnum):
    """What a follower does next."""

    NOTHING = "nothing"
    READ_LOG = "read_log"
    READ_RECORDS = "read_records"
    ASK_PEERS = "ask_peers"


@attrs.define
class SyncState:
    """Progress of one follower.

    `have` is the version in force here, `newest_known` the highest known of, from the table or a
    peer.  `table_up` and `log_gap` are what the last attempt met; `confirmed` says whether
    the table or a peer has named a version since the start.
    """

    have: int = 0
    newest_known: int = 0
    table_up: bool = True
    log_gap: bool = False
    confirmed: bool = False

    def note_version(self, version):
        """Note a version named by the table or a peer; return whether it is news.

        >>> progress = SyncState(have=3)
        >>> progress.note_version(2), progress.note_version(4), progress.is_behind()
        (False, True, True)
        """
        self.confirmed = True
        self.newest_known = max(self.newest_known, version)
        return version > self.have

    def note_applied(self, version):
        """Note that `version` is in force here; False if that would be a step back."""
        if version < self.have:
            return False
        self.have = version
        self.newest_known = max(self.newest_known, version)
        self.log_gap = False
        return True

    def is_behind(self):
        """Return whether a newer version than the one in force is known."""
        return self.have < self.newest_known

    def is_ready(self):
        """Return whether what is in force may be served from.

        >>> SyncState().is_ready(), SyncState(confirmed=True).is_ready()
        (False, True)
        """
        return self.confirmed and not self.is_behind()

    def next_step(self):
        """Return the `SyncStep` that makes progress.

        >>> SyncState(have=3, newest_known=4, table_up=False).next_step()
        <SyncStep.ASK_PEERS: 'ask_peers'>
        """
        if not self.is_behind():
            return SyncStep.NOTHING
        if not self.table_up:
            return SyncStep.ASK_PEERS
        return SyncStep.READ_RECORDS if self.log_gap else SyncStep.READ_LOG
