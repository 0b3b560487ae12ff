"""The fleet size expected in two years, with assumptions where no figure was given."""

import math

import attrs


@attrs.frozen
class FleetSize:
    """Counts and rates at the expected size, and control budgets for each daemon.

    `cpu_budget_percent` is in % of a core, `traffic_budget_kb` in KB/s; the table budgets are
    calls per second of the whole fleet. Poll intervals and `heartbeat` are in seconds.
    `requests` and `tokens` are per second; `changes`, `failures` and `replacements` per day.
    """

    daemons: int = 410
    servers: int = 600
    requests: float = 1_100.0
    tokens: float = 410_000.0
    organisations: int = 6_300
    models: int = 9
    data_centres: int = 7
    regions: int = 3
    changes: int = 710
    failures: int = 11
    replacements: int = 150
    cpu_budget_percent: float = 1.6
    memory_budget_mb: float = 32.0
    traffic_budget_kb: float = 3.0
    entries: int = 40
    subset: int = 64
    list_poll: float = 2.0
    version_poll: float = 2.0
    verdict_poll: float = 10.0
    heartbeat: float = 1.0
    seconds_in_flight: float = 9.0
    prompt_tokens: float = 10_000.0
    non_idempotent: float = 0.1
    table_write_budget: float = 400.0
    table_read_budget: float = 2_000.0

    @property
    def endpoint_daemons(self):
        """Daemons that are not entries."""
        return self.daemons - self.entries

    @property
    def servers_per_daemon(self):
        """Mean number of model servers behind one endpoint daemon."""
        return self.servers / self.endpoint_daemons

    @property
    def coverage(self):
        """Mean number of entries with a link to one endpoint daemon, rounded up."""
        return math.ceil(self.subset * self.entries / self.endpoint_daemons)

    @property
    def entry_requests(self):
        """Requests a second at one entry."""
        return self.requests / self.entries

    @property
    def entry_tokens(self):
        """Output tokens a second at one entry."""
        return self.tokens / self.entries

    @property
    def output_tokens(self):
        """Mean output tokens of a request."""
        return self.tokens / self.requests
