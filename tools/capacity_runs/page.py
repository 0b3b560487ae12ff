"""Builds docs/CAPACITY.md from its template and the stored measurements."""

import string

from tabulate import tabulate

from .fit import Slope
from .size import FleetSize

SECONDS_A_DAY = 86_400.0
MICRO = 1e-6
KILOBYTE = 1024.0


class Figures:
    """Figures extrapolated from the measured slopes to the fleet size expected in two years."""

    def __init__(self, data):
        fields = [dict(one, points=tuple(map(tuple, one["points"]))) for one in data["slopes"]]
        self.slopes = {one["name"]: Slope(**one) for one in fields}
        self.sizes = data["message_bytes"]
        self.imports = data["import_memory"]
        self.seconds = data["seconds"]
        self.size = FleetSize()

    def value_at(self, name, count):
        """Return the value of the fitted line `name` at `count`."""
        return self.slopes[name].value_at(count)

    def list_traffic(self):
        """Return the traffic of one daemon that polls the instance list, in KB/s."""
        return self.size.daemons * self.sizes["list entry (JSON)"] / KILOBYTE / self.size.list_poll

    def budget_request_traffic(self):
        """Return the traffic of an entry in KB/s each way if every request asks for a budget."""
        both = self.sizes["BudgetAsk"] + self.sizes["BudgetLease"]
        return self.size.entry_requests * both / KILOBYTE

    def entry_state(self):
        """Return (name, KB) rows of the control state of an entry."""
        size = self.size
        organisations = size.organisations
        return [
            ("catalogue", self.value_at("catalogue memory", organisations)),
            ("limits, all organisations active", self.value_at("limits memory", organisations)),
            ("burn counts, all organisations", self.value_at("burn memory", organisations)),
            ("view of the instances", self.value_at("view memory", size.endpoint_daemons)),
            ("links", self.slopes["entry: memory"].slope * KILOBYTE * size.subset),
            ("configuration log, 512 versions", self.value_at("configuration log", 512)),
        ]

    def endpoint_state(self):
        """Return (name, KB) rows of the control state of an endpoint daemon."""
        size = self.size
        links = self.slopes["endpoint daemon: memory"].slope * KILOBYTE * size.coverage
        return [
            ("catalogue", self.value_at("catalogue memory", size.organisations)),
            ("view of the instances", self.value_at("view memory", size.endpoint_daemons)),
            ("links", links),
            ("configuration log, 512 versions", self.value_at("configuration log", 512)),
        ]

    def slopes_of_role(self, role):
        """Return the slopes of a request's processor time by output and by prompt length."""
        name = f"{role}: time of a request by"
        return self.slopes[f"{name} output"], self.slopes[f"{name} prompt"]

    def list_share(self):
        """Return the processor share of processing the instance list, in % of a core."""
        read = self.value_at("list read time", self.size.endpoint_daemons)
        return 100.0 * read * MICRO / self.size.list_poll


def table(rows, headers):
    """Return a Markdown table."""
    return tabulate(rows, headers=headers, tablefmt="github", disable_numparse=True)


def budget_result(value, budget):
    """Return the text that says whether a figure is within its budget."""
    return "holds" if value <= budget else f"does not hold ({value / budget:.1f} times)"


def slopes_table(figures):
    """Return the table of the fitted lines with their points."""
    rows = [
        (
            one.name,
            one.run,
            f"{one.slope:.4g} {one.unit} per {one.by}",
            f"{one.base:.4g} {one.unit}",
            f"{one.residual:.2g}",
            ", ".join(f"{count:.4g}: {value:.4g}" for count, value in one.points),
        )
        for one in figures.slopes.values()
    ]
    return table(rows, ("figure", "run", "slope", "at none", "residual", "points"))


def budgets_table(figures):
    """Return the table that compares the budgets with the extrapolated figures."""
    size = figures.size
    rows = []
    roles = (
        ("entry", size.subset, figures.entry_state()),
        ("endpoint daemon", size.coverage, figures.endpoint_state()),
    )
    for role, links, state in roles:
        share = figures.value_at(f"{role}: share", links) + figures.list_share()
        links_traffic = sum(
            figures.value_at(f"{role}: {way}", links) for way in ("sent", "received")
        )
        traffic = links_traffic + figures.list_traffic()
        control_mb = sum(value for _, value in state) / KILOBYTE
        total_mb = control_mb + figures.imports["all of the daemon"]
        rows += [
            (
                role,
                "processor",
                f"{size.cpu_budget_percent} %",
                f"{share:.2f} %",
                budget_result(share, size.cpu_budget_percent),
            ),
            (
                role,
                "memory, control state",
                f"{size.memory_budget_mb:.0f} MB",
                f"{control_mb:.1f} MB",
                budget_result(control_mb, size.memory_budget_mb),
            ),
            (
                role,
                "memory, with the imports",
                f"{size.memory_budget_mb:.0f} MB",
                f"{total_mb:.1f} MB",
                budget_result(total_mb, size.memory_budget_mb),
            ),
            (
                role,
                f"traffic of {links} links",
                f"{size.traffic_budget_kb} KB/s",
                f"{links_traffic:.2f} KB/s",
                budget_result(links_traffic, size.traffic_budget_kb),
            ),
            (
                role,
                "traffic, with the instance list",
                f"{size.traffic_budget_kb} KB/s",
                f"{traffic:.2f} KB/s",
                budget_result(traffic, size.traffic_budget_kb),
            ),
        ]
    return table(rows, ("role", "budget", "allowed", "worked out", "verdict"))


def state_table(figures):
    """Return the table of the control state of both roles."""
    rows = [("entry", name, f"{value:.0f} KB") for name, value in figures.entry_state()]
    rows += [
        ("endpoint daemon", name, f"{value:.0f} KB") for name, value in figures.endpoint_state()
    ]
    return table(rows, ("role", "state", "at the size"))


def data_plane_table(figures):
    """Return the table of the processor time of requests and tokens."""
    size = figures.size
    rows = []
    roles = (
        ("entry", size.entries),
        ("endpoint daemon", size.endpoint_daemons),
    )
    for role, count in roles:
        output, prompt = figures.slopes_of_role(role)
        request_ms = output.base + output.slope * size.output_tokens
        request_ms += prompt.slope * (size.prompt_tokens - 1_000.0) / 1_000.0
        cores = size.requests / count * request_ms / 1_000.0
        rows.append(
            (
                role,
                f"{output.base:.2f} ms",
                f"{output.slope * 1_000:.1f} us",
                f"{prompt.slope:.3f} ms",
                f"{request_ms:.1f} ms",
                f"{100 * cores:.0f} % of a core",
            )
        )
    headers = ("role", "request", "output token", "1,000 prompt tokens", "mean request")
    return table(rows, (*headers, f"each daemon at {size.requests:.0f}/s"))


def table_rows(figures):
    """Return (reader or writer, reads/s, writes/s) rows of the platform's table at peak load."""
    size = figures.size
    calls = size.requests * size.non_idempotent
    starts = (size.replacements + size.failures) / SECONDS_A_DAY
    changes = size.changes / SECONDS_A_DAY
    return [
        ("version polls of every daemon", size.daemons / size.version_poll, 0.0),
        ("verdict scans of every daemon", size.daemons / size.verdict_poll, 0.0),
        ("claims: look-up at the entry", calls, 0.0),
        ("claims: started, and outcome", 0.0, 2 * calls),
        ("claims: deletion after the retention", 0.0, calls),
        ("configuration: changes", 3 * changes, changes),
        ("configuration: log reads after a change", size.daemons * changes, 0.0),
        ("starting daemons", 3 * starts, 0.0),
        ("organisations' limits", 0.0, 0.0),
    ]


def table_budget(figures):
    """Return the table of the reads and writes of the table service."""
    size = figures.size
    rows = table_rows(figures)
    reads, writes = (sum(row[index] for row in rows) for index in (1, 2))
    shown = [(name, f"{one:.2f}", f"{two:.3f}") for name, one, two in rows]
    shown.append(("sum", f"{reads:.0f}", f"{writes:.0f}"))
    shown.append(("sum at twice the rate", f"{2 * reads:.0f}", f"{2 * writes:.0f}"))
    shown.append(
        (
            "allowed",
            f"about {size.table_read_budget:.0f}",
            f"several hundred, here {size.table_write_budget:.0f}",
        )
    )
    return table(shown, ("reader or writer", "reads/s", "writes/s"))


def events_table(figures):
    """Return the table of the messages caused by failures and changes."""
    size = figures.size
    coverage = size.coverage
    bytes_per_link = figures.sizes["Pong, 2 endpoints"] + figures.sizes["Ping"]
    daemons_per_rack = 16
    daemons_per_data_centre = size.endpoint_daemons // size.data_centres
    rows = [
        ("one endpoint daemon fails", coverage, coverage * bytes_per_link),
        ("one entry fails", size.subset, size.subset * bytes_per_link),
        (
            f"a rack of {daemons_per_rack} daemons goes",
            daemons_per_rack * coverage,
            daemons_per_rack * coverage * bytes_per_link,
        ),
        (
            f"a data centre of {daemons_per_data_centre} daemons goes",
            daemons_per_data_centre * coverage,
            daemons_per_data_centre * coverage * bytes_per_link,
        ),
        (
            "a configuration change",
            size.daemons,
            size.daemons * figures.sizes["configuration change"],
        ),
    ]
    shown = [(name, f"{count}", f"{total / KILOBYTE:.1f} KB") for name, count, total in rows]
    return table(shown, ("event", "links or reads", "bytes in the whole fleet"))


def messages_table(figures):
    """Return the table of the control message sizes."""
    rows = [(name, f"{size:.0f}") for name, size in figures.sizes.items()]
    return table(rows, ("message", "bytes"))


def imports_table(figures):
    """Return the table of the resident memory after imports."""
    rows = [(name, f"{size:.1f} MB") for name, size in figures.imports.items()]
    return table(rows, ("imported", "resident"))


def build(template, data):
    """Return the page: the template filled in with tables and figures."""
    figures = Figures(data)
    size = figures.size
    values = {
        "slopes": slopes_table(figures),
        "budgets": budgets_table(figures),
        "state": state_table(figures),
        "data_plane": data_plane_table(figures),
        "table_budget": table_budget(figures),
        "events": events_table(figures),
        "messages": messages_table(figures),
        "imports": imports_table(figures),
        "seconds": f"{figures.seconds:.0f}",
        "entries": size.entries,
        "endpoint_daemons": size.endpoint_daemons,
        "servers_each": f"{size.servers_per_daemon:.2f}",
        "subset": size.subset,
        "coverage": size.coverage,
        "entry_requests": f"{size.entry_requests:.1f}",
        "entry_tokens": f"{size.entry_tokens:.0f}",
        "output_tokens": f"{size.output_tokens:.0f}",
        "prompt_tokens": f"{size.prompt_tokens:.0f}",
        "non_idempotent": f"{100 * size.non_idempotent:.0f}",
        "list_traffic": f"{figures.list_traffic():.1f}",
        "ask_traffic": f"{figures.budget_request_traffic():.1f}",
        "subset_ms": f"{figures.value_at('subset time', size.endpoint_daemons) / 1_000:.1f}",
        "admission_us": f"{figures.value_at('admission time', size.organisations):.0f}",
        "lending_us": f"{figures.value_at('lending time', size.organisations):.0f}",
        "snapshot_kb": f"{figures.value_at('catalogue snapshot', size.organisations):.0f}",
        "changes_minute": f"{size.changes / 1440:.1f}",
        "in_flight": f"{size.entry_requests * size.seconds_in_flight:.0f}",
        "link_ms": f"{10.0 * figures.slopes['entry: share'].slope:.1f}",
        "in_flight_mb": f"{figures.slopes['entry: memory in flight'].slope:.3f}",
    }
    return string.Template(template).substitute(values)
