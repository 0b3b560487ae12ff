"""`burn`: the burn-rate report of service-level objectives, summed over entries."""

import pathlib

import attrs
from absl import flags

from persimmonstall.burn import BurnRow, WindowCount, merge
from persimmonstall.failures import Failure
from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema

from ..burn.table import burn_report
from ..client import Client, connection_options, iterate_entries
from ..command import Command, usage_failure
from ..editing import PAGE_SIZE


def define_flags(values):
    """Define the flags of `burn`."""
    options = {"flag_values": values}
    flags.DEFINE_list(
        "entry", [], "Operators' ports of more entries to sum with --server.", **options
    )
    flags.DEFINE_string("organisation", "", "Only this organisation.", **options)
    flags.DEFINE_string("html", None, "File for a self-contained page with plots.", **options)


def burn(invocation):
    """Report burn rates by organisation, length class and objective."""
    options = connection_options(invocation.flags)
    if isinstance(options, Failure):
        return options
    servers = dict.fromkeys([options.server, *invocation.flags.entry])
    rows = []
    for server in servers:
        found = fetch_rows(attrs.evolve(options, server=server))
        if isinstance(found, Failure):
            return found
        rows.extend(found)
    wanted = invocation.flags.organisation
    merged = [row for row in merge(rows) if not wanted or row.organisation == wanted]
    if invocation.flags.html:
        problem = write_page(merged, invocation.flags.html)
        if problem:
            return problem
    return burn_report(merged, f"{len(servers)} entries; events in a window decay exponentially")


def fetch_rows(options):
    """Return the `BurnRow`s of one entry, or a `Failure`."""
    rows = []
    with Client(options) as client:
        for entry in iterate_entries(client, "ListBurn", schema.ListRequest(page_size=PAGE_SIZE)):
            if isinstance(entry, Failure):
                return entry
            rows.append(burn_row(entry))
    return rows


def burn_row(entry):
    """Return the `BurnRow` for a `BurnEntry` message."""
    windows = tuple(WindowCount(one.seconds, one.total, one.bad) for one in entry.windows)
    return BurnRow(entry.organisation, entry.length_class, entry.objective, entry.target, windows)


def write_page(rows, path):
    """Write the HTML page; return a `Failure` if the file cannot be written.

    The plotting library is imported here, so that other commands start quickly.
    """
    from ..burn.page import burn_page

    try:
        pathlib.Path(path).write_text(burn_page(rows, "Service-level burn"), encoding="utf-8")
    except OSError as error:
        return usage_failure(str(error))
    return None


COMMANDS = (
    Command("burn", "Report burn rates of service-level objectives.", burn, (), define_flags),
)
