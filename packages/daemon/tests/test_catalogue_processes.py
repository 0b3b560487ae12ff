"""Catalogue changes with real processes: races, lost responses, outages, kills and pauses."""

from concurrent.futures import ThreadPoolExecutor

import grpc
import pytest

from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema
from persimmonstall_standins.processes import Deployment, Layout

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    deployment = Deployment(
        tmp_path_factory.mktemp("site"),
        Layout(entries=2, daemons=1, engines=1, services=0, speed=20.0),
    )
    try:
        deployment.start_all()
        deployment.configure()
        wait_for_version(deployment, version_at(deployment, "entry1"))
        deployment.wait_until(lambda: version_at(deployment, "entry2") is not None, "entry2")
        yield deployment
    finally:
        deployment.stop()


def set_model(site, version, expected, call_id, entry="entry1"):
    """Return the response to a change of model x, or the status and reason of its failure."""
    request = schema.SetModelRequest(
        model=schema.Model(name="x", version=version, context_tokens=1000, max_output_tokens=1000),
        edit=schema.Edit(expected_version=expected, call_id=call_id),
    )
    try:
        return site.call("SetModel", request, entry)
    except grpc.RpcError as error:
        return error.code(), dict(error.trailing_metadata())["persimmonstall-reason"]


def record_version(site, entry="entry1"):
    """Return the version that last changed model x, 0 if there is none."""
    try:
        return site.call("GetModel", schema.GetRequest(name="x"), entry).version
    except grpc.RpcError:
        return 0


def version_at(site, entry):
    """Return the version active in one entry, or None while it does not answer."""
    try:
        return site.call("GetVersion", schema.GetVersionRequest(), entry).version
    except grpc.RpcError:
        return None


def versions(site):
    """Return the version active in each daemon, -1 if it is unreachable."""
    entries = site.call("ListDaemons", schema.ListRequest()).entries
    return {one.instance: one.version if one.heard_ago >= 0 else -1 for one in entries}


def wait_for_version(site, version, daemons=("entry1", "entry2", "d1")):
    site.wait_until(
        lambda: versions(site) == dict.fromkeys(daemons, version), f"version {version} everywhere"
    )


def test_of_two_concurrent_changes_at_two_entries_one_wins(site):
    expected = record_version(site)
    with ThreadPoolExecutor(2) as pool:
        calls = [
            pool.submit(set_model, site, name, expected, f"race-{name}", name)
            for name in ("entry1", "entry2")
        ]
        answers = [call.result() for call in calls]
    won = [answer for answer in answers if isinstance(answer, schema.ChangeResponse)]
    lost = [answer for answer in answers if isinstance(answer, tuple)]
    assert lost == [(grpc.StatusCode.FAILED_PRECONDITION, "version_conflict")]
    wait_for_version(site, won[0].version)


def test_a_change_whose_commit_answer_was_lost_is_made_once(site):
    expected = record_version(site)
    before = version_at(site, "entry1")
    site.faults("table", lose_answers=True)
    lost = set_model(site, "lost", expected, "lost-answer")
    assert lost == (grpc.StatusCode.ABORTED, "outcome_unknown")
    site.faults("table", lose_answers=False)
    again = set_model(site, "lost", expected, "lost-answer", "entry2")
    assert (again.version, again.repeated) == (before + 1, True)
    wait_for_version(site, before + 1)


def test_an_entry_restarted_while_the_table_is_down_loads_the_active_catalogue(site):
    made = set_model(site, "restart", record_version(site), "restart")
    wait_for_version(site, made.version)
    site.faults("table", down=True)
    site.kill("entry2")
    site.processes.pop("entry2")
    site.restart("entry2")
    site.wait_until(lambda: version_at(site, "entry2") == made.version, "entry2 up to date")
    refused = set_model(site, "down", made.version, "down")
    assert refused == (grpc.StatusCode.UNAVAILABLE, "table_unavailable")
    site.faults("table", down=False)
    wait_for_version(site, made.version)


def test_a_paused_daemon_catches_up_when_it_resumes(site):
    site.pause("d1")
    made = set_model(site, "paused", record_version(site), "paused")
    site.resume("d1")
    wait_for_version(site, made.version)


def test_a_new_version_and_role_reach_the_engine_over_its_adapter(site):
    expected = site.call("GetModel", schema.GetRequest(name="m")).version
    model = schema.Model(name="m", version="2", context_tokens=1000, max_output_tokens=1000)
    edit = schema.Edit(expected_version=expected, call_id="roll-out")
    site.call("SetModel", schema.SetModelRequest(model=model, edit=edit))
    placement = schema.Placement(name="e1", models=["m"], role="decode", fence_checked=True)
    edit = schema.Edit(expected_version=0, call_id="place")
    site.call("SetPlacement", schema.SetPlacementRequest(placement=placement, edit=edit))

    def loaded():
        [endpoint] = site.call("ListEndpoints", schema.ListRequest()).entries
        return list(endpoint.models)

    site.wait_until(lambda: loaded() == ["m", "m@2"], "version 2 alone on the engine")
