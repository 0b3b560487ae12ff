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

    `revision` is the place of the write in the order of all writes to the directory, 0 if that is
    not known; `sequence` is the endpoint's own count of its writes, which need not change the
    row otherwise.
    """

    revision: int = 0
    sequence: int = 0

    def is_later_than(self, other):
        """Return whether the row was written after the write with the stamp `other`."""
        return self.revision > other.revision or self.sequence > other.sequence


@attrs.frozen
class EndpointChange:
    """Newest state of an endpoint, None if its record was removed or is unusable."""

    name: str
    endpoint: Endpoint | None = None
    stamp: RowStamp = RowStamp()


@attrs.frozen
class EndpointUpdate:
    """Changes of endpoints up to `revision`; `whole` marks a complete list.

    `restored` says that the list has just come back from an old copy and may be outdated;
    `copy_revision` is the revision as of which it did so last, 0 if that is `revision`.
    """

    LOG_NAME = "EndpointNews"
    """Name of the update in log lines."""

    changes: tuple[EndpointChange, ...]
    revision: int
    whole: bool = False
    restored: bool = False
    copy_revision: int = 0

    def stamp_of(self, change):
        """Return the stamp of a change; a row without one was written as of this update."""
        return change.stamp if change.stamp.revision else RowStamp(self.revision)


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
