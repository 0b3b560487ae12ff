"""The burn report as a table and as JSON."""

from ..report import Report

HOUR = 3600.0


def format_window(seconds):
    """Return the length of a window as text.

    >>> format_window(300.0), format_window(21600.0)
    ('5 min', '6 h')
    """
    return f"{seconds / HOUR:g} h" if seconds >= HOUR else f"{seconds / 60:g} min"


def burn_report(rows, note=""):
    """Return the `Report` of merged `BurnRow`s."""
    lengths = [format_window(window.seconds) for window in rows[0].windows] if rows else []
    columns = ("organisation", "class", "objective", "target", "requests")
    columns += (*(f"burn {length}" for length in lengths), "state")
    return Report(columns, tuple(map(table_row, rows)), note, [json_row(row) for row in rows])


def table_row(row):
    """Return one row of the table; the requests are counted in the last, longest window."""
    rates = tuple(f"{rate:.2f}" for rate in row.rates)
    requests = f"{row.windows[-1].total:.0f}"
    head = (row.organisation, row.length_class, row.objective, f"{row.target:g}", requests)
    return (*head, *rates, str(row.state))


def json_row(row):
    """Return one row as a JSON object."""
    return {
        "organisation": row.organisation,
        "length_class": row.length_class,
        "objective": row.objective,
        "target": row.target,
        "state": str(row.state),
        "windows": [
            {"seconds": w.seconds, "total": w.total, "bad": w.bad, "burn": rate}
            for w, rate in zip(row.windows, row.rates, strict=True)
        ],
    }
