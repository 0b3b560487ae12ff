"""The table of metrics: what each measures and how its name is written.

No name contains an organisation, a request or an instance, so the number of series is bounded.
A metric whose `tags` is set is written as `name.tag` for each tag; tags come from a fixed set.
"""

import enum

import attrs


class Kind(enum.StrEnum):
    """Type of a metric, as statsd defines it."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@attrs.frozen
class Metric:
    """One metric; `tags` says what its tag stands for, empty if the metric has none."""

    name: str
    kind: Kind
    meaning: str
    tags: str = ""


METRICS = (
    Metric("requests", Kind.COUNTER, "Requests received from callers.", "length class"),
    Metric("answers", Kind.COUNTER, "Whole answers given to callers.", "length class"),
    Metric("refusals", Kind.COUNTER, "Requests refused or failed.", "reason"),
    Metric("refusals_by_step", Kind.COUNTER, "Requests refused or failed.", "step"),
    Metric("first_token", Kind.TIMER, "Time to first token.", "length class"),
    Metric("between_tokens", Kind.TIMER, "Mean time between tokens of one answer."),
    Metric("tokens_relayed", Kind.COUNTER, "Output tokens relayed to callers."),
    Metric("tokens_wasted", Kind.COUNTER, "Output tokens that were computed again or dropped."),
    Metric("attempts", Kind.COUNTER, "Attempts sent to endpoints."),
    Metric("attempts_failed", Kind.COUNTER, "Attempts that ended without an answer.", "reason"),
    Metric("attempts_restarted", Kind.COUNTER, "Attempts run again on the same engine."),
    Metric("attempts_abandoned", Kind.COUNTER, "Attempts whose entry did not come back."),
    Metric("engine_steps_lost", Kind.COUNTER, "Connections for engine steps lost or silent."),
    Metric("engines_died", Kind.COUNTER, "Engines found dead."),
    Metric("orders", Kind.COUNTER, "Orders sent to engines.", "action"),
    Metric("orders_repeated", Kind.COUNTER, "Orders sent again since no effect was seen."),
    Metric("claims_given_up", Kind.COUNTER, "Claims that were given up.", "how it ended"),
    Metric("bugs", Kind.COUNTER, "Unexpected errors; always a bug."),
    Metric("retries", Kind.COUNTER, "Attempts after the first.", "reason"),
    Metric("frames_dropped", Kind.COUNTER, "Frames of another or an older attempt.", "reason"),
    Metric("in_flight", Kind.GAUGE, "Requests in flight."),
    Metric("links", Kind.GAUGE, "Open links to other daemons."),
    Metric("link_lost", Kind.COUNTER, "Links lost.", "reason"),
    Metric("control_sent", Kind.COUNTER, "Bytes of control messages sent."),
    Metric("control_received", Kind.COUNTER, "Bytes of control messages received."),
    Metric("peers", Kind.GAUGE, "Live instances in the view.", "role"),
    Metric("leaving_learned", Kind.COUNTER, "Endpoints learnt to be leaving.", "source"),
    Metric("catalogue_version", Kind.GAUGE, "Version of the configuration in force."),
    Metric("budget_asks", Kind.COUNTER, "Budget leases asked of keepers."),
    Metric("budget_leases", Kind.COUNTER, "Budget leases granted as a keeper."),
    Metric("budget_fallbacks", Kind.COUNTER, "Budgets fallen back to the fixed share."),
    Metric("budget_organisations", Kind.GAUGE, "Organisations with budget state here."),
    Metric("engine_memory", Kind.GAUGE, "KV memory in use, tokens."),
    Metric("unowned_freed", Kind.COUNTER, "Engine memory freed for lack of an owner.", "kind"),
    Metric("jobs_lost", Kind.COUNTER, "Jobs that an engine lost or could not import."),
    Metric("streams_parked", Kind.COUNTER, "Streams moved out of engine memory for a while."),
    Metric("reservations_lapsed", Kind.COUNTER, "Reservations that were not renewed in time."),
    Metric("quarantined", Kind.COUNTER, "Content fingerprints put into quarantine."),
    Metric("table_calls", Kind.COUNTER, "Calls of the table service.", "outcome"),
    Metric("table_time", Kind.TIMER, "Time of a call of the table service."),
    Metric("direct_calls", Kind.COUNTER, "Calls received on the direct way."),
    Metric("direct_refusals", Kind.COUNTER, "Calls refused on the direct way.", "reason"),
    Metric("direct_answer", Kind.TIMER, "Time from a call's arrival to its final answer."),
    Metric("direct_first_event", Kind.TIMER, "Time from a call's arrival to its first event."),
    Metric("direct_failed_attempts", Kind.COUNTER, "Attempts without a whole answer.", "ending"),
    Metric("direct_broken_off", Kind.COUNTER, "Answers broken off after they had begun."),
    Metric("direct_orders", Kind.COUNTER, "Orders to engines about reserved memory.", "action"),
    Metric("direct_beacons", Kind.COUNTER, "Datagrams between entries.", "direction"),
    Metric("direct_beacon_bytes", Kind.COUNTER, "Bytes of these datagrams.", "direction"),
    Metric("direct_snapshot_bytes", Kind.COUNTER, "Bytes of snapshots.", "direction"),
    Metric("direct_permits", Kind.COUNTER, "Permits asked for limited endpoints.", "answer"),
    Metric("direct_remote_attempts", Kind.COUNTER, "Attempts sent to another data centre."),
    Metric(
        "direct_reports_refuted",
        Kind.COUNTER,
        "Failures that only another data centre's callers see.",
    ),
    Metric("direct_admissions", Kind.COUNTER, "Calls by whether they found room.", "decision"),
    Metric("direct_admission_wait", Kind.TIMER, "Time for which calls waited for room."),
    Metric("direct_callers_left", Kind.COUNTER, "Callers that left before their answer."),
    Metric("memory_own_bytes", Kind.GAUGE, "Memory that the process takes by itself."),
    Metric("memory_capacity_bytes", Kind.GAUGE, "Memory that callers may take."),
    Metric("memory_held_bytes", Kind.GAUGE, "Memory that is reserved for callers."),
    Metric("memory_waiting", Kind.GAUGE, "Reservations of memory that wait for room."),
    Metric("memory_revoked", Kind.COUNTER, "Connections that had to give way.", "phase"),
    Metric("memory_answers_dropped", Kind.COUNTER, "Answers in progress given up for room."),
    Metric("memory_connections_refused", Kind.COUNTER, "Connections closed for lack of room."),
    Metric("caller_connections", Kind.GAUGE, "Open connections at all doors of an entry."),
    Metric("loop_lag", Kind.TIMER, "Lateness of a periodic timer of the event loop."),
    Metric("direct_waiting", Kind.GAUGE, "Calls that wait for room."),
    Metric("direct_peers", Kind.GAUGE, "Entries heard lately."),
    Metric("direct_cold_permits", Kind.COUNTER, "Permits asked for cold endpoints.", "answer"),
    Metric("direct_cold_endpoints", Kind.GAUGE, "Endpoints that are cold, as far as known."),
    Metric(
        "direct_held_endpoints", Kind.GAUGE, "Endpoints listed again by an old copy, not used."
    ),
    Metric("direct_evacuated", Kind.GAUGE, "Data centres that are evacuated, as far as known."),
    Metric("direct_configuration", Kind.GAUGE, "Version of the configuration in force."),
    Metric("directory_age", Kind.GAUGE, "Seconds since the directory answered anybody."),
    Metric("directory_reader", Kind.GAUGE, "Whether this entry reads the directory: 1 or 0."),
    Metric("directory_calls", Kind.COUNTER, "Calls of the platform's directory.", "outcome"),
    Metric("log_lines_dropped", Kind.GAUGE, "Log lines dropped to keep the volume bounded."),
    Metric("invariant_violations", Kind.COUNTER, "Violated invariants; always a bug.", "name"),
)

METRICS_BY_NAME = {metric.name: metric for metric in METRICS}
"""Metrics by name; recording one that is not listed raises KeyError."""


def check_metric(name, kind, tag):
    """Raise KeyError if the table does not list this metric with this kind and use of a tag."""
    metric = METRICS_BY_NAME[name]
    if metric.kind is not kind or bool(tag) != bool(metric.tags):
        raise KeyError(f"{name} is a {metric.kind} with tag {metric.tags or 'none'}")


def page():
    """Return the reference page of the metrics in Markdown."""
    lines = [
        "# Metrics",
        "",
        "Written to statsd under the prefix `persimmonstall.ROLE.`.  Times are in milliseconds.",
        "Where a tag is given, the name is followed by a dot and the tag's value.  No name holds",
        "an organisation; figures by organisation are in the burn report.",
        "",
        "| name | kind | tag | meaning |",
        "|---|---|---|---|",
    ]
    for metric in METRICS:
        lines.append(f"| `{metric.name}` | {metric.kind} | {metric.tags} | {metric.meaning} |")
    return "\n".join(lines) + "\n"
