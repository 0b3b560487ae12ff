"""`load` and `burn` against real daemons."""

import time

import orjson
import pytest

from persimmonstall_cli.main import main
from persimmonstall_standins.process_site import OPERATOR_KEY, ProcessSite, status_of, wait_until

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with ProcessSite(tmp_path_factory.mktemp("site")) as made:
        made.start_platform(list_lag=0.2)
        made.add_engine_daemon("d1", speed=10)
        entry = made.add_entry("e1")
        made.configure(entry)
        wait_until(lambda: status_of(entry.url + "/readyz") == 200)
        time.sleep(3)
        yield made


def test_a_load_is_reported_and_burns(site, capsys, tmp_path):
    entry = site.daemons["e1"]
    page = tmp_path / "burn.html"
    arguments = [f"--url={entry.url}", f"--api_key={site.key}", "--model=m", "--rate=10"]
    arguments += ["--seconds=3", "--mix=1k-3k", "--asked=50", "--deadline=60", "--json"]
    assert main(["load", *arguments]) == 0
    figures = orjson.loads(capsys.readouterr().out)
    sent = figures["classes"][0]["sent"]
    assert sent > 10
    assert figures["classes"][0]["whole"] == sent

    key_file = tmp_path / "key"
    key_file.write_text(OPERATOR_KEY)
    server = entry.settings["daemon"]["admin"]
    arguments = [f"--server={server}", f"--key_file={key_file}", f"--html={page}", "--json"]
    assert main(["burn", *arguments]) == 0
    rows = orjson.loads(capsys.readouterr().out)
    in_time = next(row for row in rows if row["objective"] == "in_time")
    assert in_time["windows"][-1]["total"] == pytest.approx(sent, abs=0.5)
    assert in_time["windows"][-1]["bad"] == 0
    assert "<svg" in page.read_text(encoding="utf-8")
