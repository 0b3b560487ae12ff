"""Operators' calls whose answers are lost: what is sent again, and what the exit code says."""

import itertools

import pytest

from persimmonstall.failures import Failure, Reason
from persimmonstall_cli import exits
from persimmonstall_cli.client import Client, ConnectionOptions
from persimmonstall_cli.editing import MAX_ATTEMPTS, send_change
from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema
from persimmonstall_standins.ports import LOOPBACK, free_ports
from persimmonstall_standins.raw_grpc import LostCall, RawGrpcServer

TIMEOUT_SECONDS = 2.0
CHANGE = schema.DeleteRequest(name="m", edit=schema.Edit(call_id="c"))
CHANGE_NAME = "DeleteModel"


def open_client(address):
    return Client(ConnectionOptions(address, "k", None, TIMEOUT_SECONDS))


@pytest.mark.parametrize("lost_call", LostCall)
def test_call_whose_answer_is_lost_is_not_sent_again_by_the_library(lost_call):
    with RawGrpcServer(lost_call) as server, open_client(server.address) as client:
        assert isinstance(client.call("GetVersion", schema.GetVersionRequest()), Failure)
        assert server.calls == 1


def test_change_whose_answers_are_lost_has_an_unknown_outcome():
    with RawGrpcServer(LostCall.CLOSE) as server, open_client(server.address) as client:
        failure = send_change(client, CHANGE_NAME, CHANGE)
        assert server.calls == MAX_ATTEMPTS
    assert exits.exit_code_for(failure.reason) == exits.UNKNOWN
    assert "--call_id=c" in failure.detail


def test_change_that_could_not_be_sent_was_not_made():
    (port,) = free_ports(1)
    with open_client(f"{LOOPBACK}:{port}") as client:
        failure = send_change(client, CHANGE_NAME, CHANGE)
    assert exits.exit_code_for(failure.reason) == exits.UNAVAILABLE


@pytest.mark.parametrize(
    ("reasons", "code"),
    [
        ((Reason.AMBIGUOUS, Reason.PEER_LOST, Reason.PEER_LOST), exits.UNKNOWN),
        ((Reason.AMBIGUOUS, Reason.TABLE_DOWN), exits.UNKNOWN),
        ((Reason.AMBIGUOUS, Reason.FORBIDDEN), exits.UNKNOWN),
        ((Reason.AMBIGUOUS, Reason.CONFLICT), exits.CONFLICT),
        ((Reason.PEER_LOST, Reason.TABLE_DOWN), exits.UNAVAILABLE),
    ],
)
def test_change_is_unknown_if_an_earlier_attempt_may_have_made_it(reasons, code):
    class FailingClient:
        failures = itertools.chain(Failure(reason, "change") for reason in reasons)

        def change(self, _name, _request):
            return next(self.failures)

        call = change

    failure = send_change(FailingClient(), CHANGE_NAME, CHANGE)
    assert exits.exit_code_for(failure.reason) == code
