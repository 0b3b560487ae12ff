"""Runs `load` and `burn` against real daemon processes."""

import orjson
import pytest

from persimmonstall_cli.main import main
from persimmonstall_standins.growing_deployment import GrowingDeployment
from persimmonstall_standins.processes import OPERATOR_KEY

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    with GrowingDeployment(tmp_path_factory.mktemp("site"), speed=10) as new_deployment:
        new_deployment.add_platform()
        new_deployment.add_engine_daemon("d1")
        new_deployment.add_entry("entry1")
        new_deployment.configure()
        new_deployment.wait_until(lambda: new_deployment.serving("entry1"), "answers")
        yield new_deployment


def test_a_load_is_reported_and_burns(deployment, capsys, tmp_path):
    page = tmp_path / "burn.html"
    arguments = [
        f"--url={deployment.http['entry1']}",
        f"--api_key={deployment.caller_key}",
        "--model=m",
    ]
    arguments += ["--rate=10", "--seconds=3", "--mix=1k-3k", "--asked=50", "--deadline=60"]
    assert main(["load", *arguments, "--json"]) == 0
    figures = orjson.loads(capsys.readouterr().out)
    sent = figures["classes"][0]["sent"]
    assert sent > 10
    assert figures["classes"][0]["whole"] == sent

    key_file = tmp_path / "key"
    key_file.write_text(OPERATOR_KEY)
    arguments = [
        f"--server={deployment.admin['entry1']}",
        f"--key_file={key_file}",
        f"--html={page}",
    ]
    assert main(["burn", *arguments, "--json"]) == 0
    rows = orjson.loads(capsys.readouterr().out)
    in_time = next(row for row in rows if row["objective"] == "in_time")
    assert in_time["windows"][-1]["total"] >= sent
    assert in_time["windows"][-1]["bad"] == 0
    assert "<svg" in page.read_text(encoding="utf-8")
