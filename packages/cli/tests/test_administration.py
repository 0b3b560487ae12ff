"""Runs the command line against a real operators' port on loopback."""

import asyncio
import io
import json
import threading

import pytest
import structlog

from persimmonstall.clock import Context
from persimmonstall.settings import Settings
from persimmonstall_cli import exits
from persimmonstall_cli.main import main
from persimmonstall_daemon.admin.operators import hash_key
from persimmonstall_daemon.admin.server import AdminServer
from persimmonstall_daemon.admin.state import Administration
from persimmonstall_daemon.admin.view import EmptyView, EndpointStatus, QuarantineStatus
from persimmonstall_daemon.catalogue import CatalogueFollower, CatalogueStore, NoPeers
from persimmonstall_daemon.observe import logs
from persimmonstall_standins.objects import MemoryObjects
from persimmonstall_standins.table import MemoryTable

WAIT_SECONDS = 10.0


class SmallView(EmptyView):
    def endpoints(self):
        return (EndpointStatus("e0", "i0", "dc1"),)

    def verdicts(self):
        return (QuarantineStatus("f00d", 2, 60.0),)


class AdminServerThread(threading.Thread):
    """Serves an operators' port on an event loop in its own thread."""

    def __init__(self, keys):
        super().__init__(daemon=True)
        self.settings = Settings()
        self.settings.daemon.instance = "n0"
        self.settings.daemon.admin = "127.0.0.1:0"
        self.settings.security.operator_keys = str(keys)
        self.started = threading.Event()
        self.table = MemoryTable()

    def run(self):
        asyncio.run(self.serve())

    async def serve(self):
        context = Context()
        objects = MemoryObjects()
        follower = CatalogueFollower(self.settings, self.table, objects, context, NoPeers())
        task = asyncio.create_task(follower.run())
        await follower.ready.wait()
        store = CatalogueStore(self.settings, self.table, context, follower)
        state = Administration(self.settings, context, follower, store, SmallView())
        server = AdminServer(state)
        await server.start()
        self.port = server.port
        self.loop = asyncio.get_running_loop()
        self.stop_requested = asyncio.Event()
        self.started.set()
        await self.stop_requested.wait()
        task.cancel()
        await server.stop()


@pytest.fixture
def daemon(tmp_path):
    keys = tmp_path / "operators"
    keys.write_text(hash_key("k"), encoding="utf-8")
    thread = AdminServerThread(keys)
    logs.configure(thread.settings, io.StringIO())
    thread.start()
    assert thread.started.wait(WAIT_SECONDS)
    yield thread
    thread.loop.call_soon_threadsafe(thread.stop_requested.set)
    thread.join(WAIT_SECONDS)
    structlog.reset_defaults()


@pytest.fixture
def run_command(daemon, tmp_path, capsys):
    """Return a function that runs a command line and returns its exit code and JSON output."""
    key_file = tmp_path / "key"
    key_file.write_text("k\n", encoding="utf-8")

    def run(*words):
        common = [f"--server=127.0.0.1:{daemon.port}", f"--key_file={key_file}", "--json"]
        code = main([*words, *common])
        printed = capsys.readouterr()
        return code, json.loads(printed.out or printed.err)

    return run


def test_an_organisation_is_created_changed_suspended_and_deleted(run_command):
    assert run_command("model", "set", "m", "--context_tokens=1000000")[0] == exits.SUCCESS
    made = run_command("organisation", "create", "nile", "--models=m", "--requests_per_second=5")
    assert made == (exits.SUCCESS, {"version": 2, "repeated": False})
    code, key = run_command("key", "create", "nile")
    assert code == exits.SUCCESS and key["key"].startswith("ps-")
    assert run_command("organisation", "change", "nile", "--concurrency=3")[0] == exits.SUCCESS
    assert run_command("organisation", "suspend", "nile")[0] == exits.SUCCESS
    _, shown = run_command("organisation", "show", "nile")
    assert (shown["state"], shown["concurrency"], shown["requests/s"]) == ("suspended", 3, 5)
    assert shown["keys"] == [key["key_id"]]
    assert run_command("organisation", "delete", "nile")[0] == exits.SUCCESS
    assert run_command("organisation", "list") == (exits.SUCCESS, [])


def test_a_stale_version_and_a_missing_record_have_exit_codes_of_their_own(run_command):
    run_command("model", "set", "m")
    code, error = run_command("model", "set", "m", "--model_version=2", "--expected_version=0")
    assert (code, error["error"]["reason"]) == (exits.CONFLICT, "version_conflict")
    assert run_command("model", "show", "x")[0] == exits.NOT_FOUND
    assert run_command("model", "set", "m", "--context_tokens=0")[0] == exits.USAGE


def test_a_repeated_call_id_is_applied_once(run_command):
    words = ("service", "set", "records", "--non_idempotent=file", "--call_id=c")
    assert run_command(*words)[1] == {"version": 1, "repeated": False}
    again = run_command(*words, "--expected_version=0")
    assert again[1] == {"version": 1, "repeated": True}


def test_endpoints_are_drained_and_quarantine_is_lifted(run_command):
    assert run_command("endpoint", "list")[1][0]["name"] == "e0"
    assert run_command("endpoint", "drain", "e0")[0] == exits.SUCCESS
    assert run_command("endpoint", "undrain", "e0")[0] == exits.SUCCESS
    assert run_command("endpoint", "drain", "e9")[0] == exits.NOT_FOUND
    assert run_command("quarantine", "list")[1][0]["crashes"] == 2
    assert run_command("quarantine", "lift", "f00d")[0] == exits.SUCCESS
    assert run_command("quarantine", "lift", "f00d")[1]["version"] == 4


def test_status_and_settings_are_shown(run_command):
    code, status = run_command("status")
    assert (code, status["instance"], status["endpoints"]) == (exits.SUCCESS, "n0", 1)
    _, options = run_command("config", "show")
    assert {"section": "daemon", "option": "instance"}.items() <= options[1].items()


def test_a_wrong_key_is_denied(run_command, tmp_path):
    (tmp_path / "key").write_text("x", encoding="utf-8")
    assert run_command("status")[0] == exits.DENIED


def test_another_machine_is_not_called_in_plaintext_unasked(monkeypatch, capsys):
    monkeypatch.setenv("PERSIMMONSTALL_KEY", "k")
    assert main(["status", "--server=192.0.2.1:9000"]) == exits.USAGE
    assert "--authority" in capsys.readouterr().err
