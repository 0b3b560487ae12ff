"""The table of metric names: what each measures and how it is written.

No name holds an organisation, a request or an instance, so that their number is bounded.  A
name whose `tags` is set is written as `name.tag` for each tag met; tags come from a fixed set.
"""

import enum

import attrs


class Kind(enum.StrEnum):
    """How statsd treats a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@attrs.frozen
class Entry:
    """One row of the table; `tags` says what a tag after the name stands for."""

    name: str
    kind: Kind
    meaning: str
    tags: str = ""


ENTRIES = (
    Entry("requests", Kind.COUNTER, "Requests received from callers.", "length class"),
    Entry("answers", Kind.COUNTER, "Whole answers given to callers.", "length class"),
    Entry("refusals", Kind.COUNTER, "Requests refused or failed.", "reason"),
    Entry("refusals_by_step", Kind.COUNTER, "Requests refused or failed.", "step"),
    Entry("first_token", Kind.TIMER, "Time to first token.", "length class"),
    Entry("between_tokens", Kind.TIMER, "Mean time between tokens of one answer."),
    Entry("tokens_relayed", Kind.COUNTER, "Output tokens relayed to callers."),
    Entry("tokens_wasted", Kind.COUNTER, "Output tokens that were computed again or dropped."),
    Entry("attempts", Kind.COUNTER, "Attempts sent to endpoints."),
    Entry("attempts_failed", Kind.COUNTER, "Attempts that ended without an answer.", "reason"),
    Entry("attempts_restarted", Kind.COUNTER, "Attempts run again on the same engine."),
    Entry("attempts_abandoned", Kind.COUNTER, "Attempts whose entry did not come back."),
    Entry("engine_steps_lost", Kind.COUNTER, "Connections for engine steps lost or silent."),
    Entry("engines_died", Kind.COUNTER, "Engines found dead."),
    Entry("orders", Kind.COUNTER, "Orders sent to engines.", "action"),
    Entry("orders_repeated", Kind.COUNTER, "Orders sent again since no effect was seen."),
    Entry("claims_given_up", Kind.COUNTER, "Claims that were given up.", "how it ended"),
    Entry("bugs", Kind.COUNTER, "Unexpected errors; always a bug."),
    Entry("retries", Kind.COUNTER, "Attempts after the first.", "reason"),
    Entry("frames_dropped", Kind.COUNTER, "Frames of another or an older attempt.", "reason"),
    Entry("in_flight", Kind.GAUGE, "Requests in flight."),
    Entry("links", Kind.GAUGE, "Open links to other daemons."),
    Entry("link_lost", Kind.COUNTER, "Links lost.", "reason"),
    Entry("control_sent", Kind.COUNTER, "Bytes of control messages sent."),
    Entry("control_received", Kind.COUNTER, "Bytes of control messages received."),
    Entry("peers", Kind.GAUGE, "Live instances in the view.", "role"),
    Entry("leaving_learned", Kind.COUNTER, "Endpoints learnt to be leaving.", "source"),
    Entry("catalogue_version", Kind.GAUGE, "Version of the configuration in force."),
    Entry("budget_asks", Kind.COUNTER, "Budget leases asked of keepers."),
    Entry("budget_leases", Kind.COUNTER, "Budget leases granted as a keeper."),
    Entry("budget_fallbacks", Kind.COUNTER, "Budgets fallen back to the fixed share."),
    Entry("budget_organisations", Kind.GAUGE, "Organisations with budget state here."),
    Entry("engine_memory", Kind.GAUGE, "KV memory in use, tokens."),
    Entry("unowned_freed", Kind.COUNTER, "Engine memory freed for lack of an owner.", "kind"),
    Entry("jobs_lost", Kind.COUNTER, "Jobs that an engine lost or could not import."),
    Entry("streams_parked", Kind.COUNTER, "Streams moved out of engine memory for a while."),
    Entry("reservations_lapsed", Kind.COUNTER, "Reservations that were not renewed in time."),
    Entry("quarantined", Kind.COUNTER, "Content fingerprints put into quarantine."),
    Entry("table_calls", Kind.COUNTER, "Calls of the table service.", "outcome"),
    Entry("table_time", Kind.TIMER, "Time of a call of the table service."),
    Entry("direct_calls", Kind.COUNTER, "Calls received on the direct way."),
    Entry("direct_refusals", Kind.COUNTER, "Calls refused on the direct way.", "reason"),
    Entry("direct_answer", Kind.TIMER, "Time from a call's arrival to its final answer."),
    Entry("direct_first_event", Kind.TIMER, "Time from a call's arrival to its first event."),
    Entry("direct_failed_attempts", Kind.COUNTER, "Attempts without a whole answer.", "ending"),
    Entry("direct_broken_off", Kind.COUNTER, "Answers broken off after they had begun."),
    Entry("direct_orders", Kind.COUNTER, "Orders to engines about reserved memory.", "action"),
    Entry("direct_beacons", Kind.COUNTER, "Datagrams between entries.", "direction"),
    Entry("direct_peers", Kind.GAUGE, "Entries heard lately."),
    Entry("directory_calls", Kind.COUNTER, "Calls of the platform's directory.", "outcome"),
    Entry("log_lines_dropped", Kind.GAUGE, "Log lines dropped to keep the volume bounded."),
    Entry("invariant_violations", Kind.COUNTER, "Violated invariants; always a bug.", "name"),
)

TABLE = {entry.name: entry for entry in ENTRIES}
"""Entries by name; `Metrics` refuses a name that is not here."""


def check_use(name, kind, tag):
    """Raise KeyError for a use of a name that the table does not list."""
    entry = TABLE[name]
    if entry.kind is not kind or bool(tag) != bool(entry.tags):
        raise KeyError(f"{name} is a {entry.kind} with tag {entry.tags or 'none'}")


def page():
    """Return the reference page of the table in Markdown."""
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
    for entry in ENTRIES:
        lines.append(f"| `{entry.name}` | {entry.kind} | {entry.tags} | {entry.meaning} |")
    return "\n".join(lines) + "\n"
