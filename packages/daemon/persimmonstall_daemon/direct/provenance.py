"""Where the configuration in force came from, for the log lines that depend on it."""

import math

from persimmonstall.direct.updates import ConfigurationUpdate

MS_PER_SECOND = 1000.0


class Provenance:
    """The source of an entry's configuration, and since when it has been in force."""

    def __init__(self, entry):
        self.entry = entry
        self.source = ""
        self.since = -math.inf

    def record(self, update, source):
        """Record that an update changed the state; `source` is the directory or a peer."""
        if not isinstance(update, ConfigurationUpdate):
            return
        self.source = source
        self.since = self.entry.now()
        self.entry.metrics.gauge("direct_configuration", update.configuration.version)

    def fields(self):
        """Return the fields of a log line about a decision by the configuration."""
        state, now = self.entry.state, self.entry.now()
        known = state.configuration is not None
        return {
            "configuration": state.configuration.version if known else 0,
            "configuration_source": self.source,
            "configuration_age_ms": round((now - self.since) * MS_PER_SECOND) if known else None,
            "directory_age_ms": round((now - state.directory_seen_at) * MS_PER_SECOND),
        }
