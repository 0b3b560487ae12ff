"""Measure the costs behind docs/CAPACITY.md and rebuild the page.

The measurements are stored in docs/capacity.json; --page only rebuilds the page from it.
"""

import pathlib
import time

import attrs
import orjson
from absl import app, flags
from capacity_runs import decisions, page, processes

FLAGS = flags.FLAGS
flags.DEFINE_bool("page", False, "Only rebuild the page from the stored measurements.")
ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / "docs" / "capacity.json"
TEMPLATE = ROOT / "docs" / "templates" / "CAPACITY.md"
PAGE = ROOT / "docs" / "CAPACITY.md"


def measure():
    """Run all measurements and store them in docs/capacity.json."""
    start = time.monotonic()
    slopes, sizes = decisions.measure()
    more, imports = processes.measure()
    data = {
        "slopes": [attrs.asdict(one) for one in [*slopes, *more]],
        "message_bytes": sizes,
        "import_memory": imports,
        "seconds": time.monotonic() - start,
    }
    DATA.write_bytes(orjson.dumps(data, option=orjson.OPT_INDENT_2))


def main(_arguments):
    """Measure, unless --page is set, and write the page."""
    if not FLAGS.page:
        measure()
    data = orjson.loads(DATA.read_bytes())
    PAGE.write_text(page.build(TEMPLATE.read_text(encoding="utf-8"), data), encoding="utf-8")
    print(f"wrote {PAGE.relative_to(ROOT)}")


if __name__ == "__main__":
    app.run(main)
