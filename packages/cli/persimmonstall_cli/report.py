"""Output of the commands: a text table, or JSON with --json."""

import attrs
import orjson
from tabulate import tabulate


@attrs.frozen
class Report:
    """Output of one command: rows of values under `columns`.

    `data` is the JSON form, by default a list with one object per row. `note` is printed
    below the text table.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple, ...]
    note: str = ""
    data: object = None


def name_value_report(pairs, note=""):
    """Return a report with one row per name and value.

    >>> print(format_text(name_value_report({"version": 3})))
    version  3
    """
    rows = tuple((str(name), value) for name, value in pairs.items())
    return Report((), rows, note, dict(pairs))


def format_cell(value):
    """Return the text of a value in a table cell.

    >>> format_cell(("a", "b")), format_cell(True), format_cell(2.0)
    ('a, b', 'yes', '2')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (tuple, list)):
        return ", ".join(map(str, value))
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)


def format_text(report):
    """Return the report as a text table."""
    rows = [[format_cell(value) for value in row] for row in report.rows]
    table = tabulate(
        rows, headers=report.columns, tablefmt="plain", disable_numparse=True, stralign="left"
    )
    return "\n".join(part for part in (table, report.note) if part)


def format_json(report):
    """Return the report as JSON.

    >>> print(format_json(Report(("name", "version"), (("m", 3),))))
    [{"name":"m","version":3}]
    """
    data = report.data
    if data is None:
        data = [dict(zip(report.columns, row, strict=True)) for row in report.rows]
    return orjson.dumps(data, default=list).decode()


def render(report, json):
    """Return the report as JSON if `json` is set, else as a text table."""
    return format_json(report) if json else format_text(report)
