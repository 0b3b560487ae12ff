"""Updates of configuration and endpoints, from the directory or from another entry."""

import attrs

from .messages import Configuration, Endpoint


@attrs.frozen
class ConfigurationUpdate:
    """A configuration; `revision` is its place in the order of all writes to the directory."""

    LOG_NAME = "ConfigurationNews"
    """Name of the update in log lines."""

    configuration: Configuration
    revision: int = 0


@attrs.frozen
class RowStamp:
    """When an endpoint's row was last written.

    `era` counts how often the directory came back from an old copy, `version` is the place of the
    write in the order of all writes of that era; `sequence` is the endpoint's own count of its
    writes, which need not change the row otherwise.
    """

    era: int = 0
    version: int = 0
    sequence: int = 0

    def is_later_than(self, other):
        """Return whether the row was written after the write with the stamp `other`.

        Nobody knows that of writes of different eras.
        """
        later = self.version > other.version or self.sequence > other.sequence
        return self.era == other.era and later


@attrs.frozen
class EndpointChange:
    """Newest state of an endpoint, None if its record was removed or is unusable."""

    name: str
    endpoint: Endpoint | None = None
    stamp: RowStamp | None = None


@attrs.frozen
class EndpointUpdate:
    """Changes of endpoints up to `revision`; `whole` marks a complete list.

    `restored` says that the list has just come back from an old copy and may be outdated.
    `first_read` is the stamp as of which it was first read in its era: rows of that era that were
    written later are no part of the copy.
    """

    LOG_NAME = "EndpointNews"
    """Name of the update in log lines."""

    changes: tuple[EndpointChange, ...]
    revision: int
    whole: bool = False
    restored: bool = False
    first_read: RowStamp = RowStamp()

    def stamp_of(self, change):
        """Return the stamp of a change; a row without one was written as of this update."""
        return change.stamp or RowStamp(self.first_read.era, self.revision)


@attrs.frozen
class EvacuationChange:
    """Whether operators evacuate a data centre."""

    data_centre: str
    evacuated: bool


@attrs.frozen
class EvacuationUpdate:
    """Changes of evacuations up to `revision`; `whole` says that there are no other evacuations.

    `restored` says that the directory has just come back from an old copy.
    """

    changes: tuple[EvacuationChange, ...]
    revision: int
    whole: bool = False
    restored: bool = False


@attrs.frozen
class ReachabilityUpdate:
    """Whether the directory answers this entry; `detail` describes the failure if not.

    `table` names what was read: a table can fail while others are answered.
    """

    reachable: bool
    detail: str = ""
    table: str = ""


@attrs.frozen
class RestoredUpdate:
    """The directory has come back from an old copy: what was written lately is lost."""
