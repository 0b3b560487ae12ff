import asyncio
import datetime
import ipaddress
import pathlib

import grpc
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema
from persimmonstall_daemon.admin.operators import hash_key
from persimmonstall_daemon.admin.persimmonstall_admin_pb2_grpc import AdministrationStub
from persimmonstall_daemon.admin.server import AdminServer
from persimmonstall_daemon.admin.state import Administration
from persimmonstall_daemon.admin.view import EmptyView

from .catalogue_site import Site

OPERATOR = "operator-key"
WAIT_SECONDS = 10.0


def edit(call_id, expected=0):
    return schema.Edit(expected_version=expected, call_id=call_id)


class AdminSite:
    """An admin port on loopback and a stub that calls it."""

    def __init__(self, directory):
        self.directory = directory
        self.keys = directory / "operators"
        self.keys.write_text(hash_key(OPERATOR) + "  # anna\n", encoding="utf-8")
        self.site = Site()
        self.site.settings.daemon.admin = "127.0.0.1:0"
        self.site.settings.security.operator_keys = str(self.keys)
        self.key = OPERATOR

    async def open(self):
        follower = self.site.follow("a")
        await asyncio.wait_for(follower.ready.wait(), WAIT_SECONDS)
        store = self.site.store("a")
        context = self.site.context("admin")
        state = Administration(self.site.settings, context, follower, store, EmptyView())
        self.server = AdminServer(state)
        await self.server.start()
        self.channel = self.connect()
        self.stub = AdministrationStub(self.channel)

    def connect(self):
        certificate = self.site.settings.security.certificate
        address = f"127.0.0.1:{self.server.port}"
        if not certificate:
            return grpc.aio.insecure_channel(address)
        authority = pathlib.Path(certificate).read_bytes()
        return grpc.aio.secure_channel(address, grpc.ssl_channel_credentials(authority))

    async def call(self, name, request):
        """Return the response, or the pair of status code and reason."""
        metadata = (("authorization", f"Bearer {self.key}"),)
        try:
            method = getattr(self.stub, name)
            return await method(request, metadata=metadata, timeout=WAIT_SECONDS)
        except grpc.aio.AioRpcError as error:
            trailing = dict(error.trailing_metadata() or ())
            return error.code(), trailing.get("persimmonstall-reason")

    async def close(self):
        await self.channel.close()
        await self.server.stop()
        await self.site.stop()


@pytest.fixture
def run_scenario(tmp_path):
    """Return a function that runs a scenario against an open admin port."""

    def run(scenario, prepare=None):
        async def main():
            opened = AdminSite(tmp_path)
            if prepare:
                prepare(opened)
            await opened.open()
            try:
                async with asyncio.timeout(WAIT_SECONDS):
                    return await scenario(opened)
            finally:
                await opened.close()

        return asyncio.run(main())

    return run


def organisation(name="nilerecord", **limits):
    return schema.Organisation(name=name, priority=5, **limits)


async def create(port, name="nilerecord"):
    request = schema.SetOrganisationRequest(
        organisation=organisation(name), edit=edit(f"create-{name}")
    )
    return await port.call("CreateOrganisation", request)


def test_an_organisation_gets_keys_of_which_only_hashes_are_stored(run_scenario):
    async def scenario(port):
        created = await create(port)
        made = await port.call(
            "CreateKey",
            schema.KeyRequest(organisation="nilerecord", edit=edit("key", created.version)),
        )
        catalogue = port.site.followers["a"].current
        assert catalogue.organisation_of(hash_key(made.key)).name == "nilerecord"
        rows = b"".join(row.value for row in port.site.table.rows.values())
        assert made.key.encode() not in rows
        request = schema.KeyRequest(organisation="nilerecord", edit=edit("key", created.version))
        again = await port.call("CreateKey", request)
        assert (again.repeated, again.key, again.version) == (True, "", made.version)
        rotated = await port.call(
            "RotateKey",
            schema.KeyRequest(organisation="nilerecord", edit=edit("rotate", made.version)),
        )
        entry = await port.call("GetOrganisation", schema.GetRequest(name="nilerecord"))
        assert list(entry.key_ids) == [rotated.key_id] != [made.key_id]

    run_scenario(scenario)


def test_a_change_keeps_the_keys_and_a_stale_one_is_rejected(run_scenario):
    async def scenario(port):
        created = await create(port)
        key = schema.KeyRequest(organisation="nilerecord", edit=edit("key", created.version))
        made = await port.call("CreateKey", key)
        changed = schema.SetOrganisationRequest(
            organisation=organisation(concurrency=7), edit=edit("change", created.version)
        )
        failed = (grpc.StatusCode.FAILED_PRECONDITION, "version_conflict")
        assert await port.call("ChangeOrganisation", changed) == failed
        changed.edit.CopyFrom(edit("change", made.version))
        assert (await port.call("ChangeOrganisation", changed)).version == 3
        stored = port.site.followers["a"].current.get("organisation", "nilerecord")
        assert stored.concurrency == 7 and len(stored.key_hashes) == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    "call, request_, reason",
    [
        ("SetModel", schema.SetModelRequest(model=schema.Model(name="m")), "bad_request"),
        (
            "SetModel",
            schema.SetModelRequest(model=schema.Model(name="a b"), edit=edit("x")),
            "bad_request",
        ),
        (
            "SetAdapter",
            schema.SetAdapterRequest(adapter=schema.Adapter(name="a", model="x"), edit=edit("x")),
            "bad_request",
        ),
        ("GetModel", schema.GetRequest(name="m"), "not_found"),
        ("DeleteModel", schema.DeleteRequest(name="m", edit=edit("x")), "not_found"),
        (
            "SuspendOrganisation",
            schema.SuspendOrganisationRequest(name="o", edit=edit("x")),
            "not_found",
        ),
    ],
)
def test_wrong_input_is_refused_with_a_reason(run_scenario, call, request_, reason):
    async def scenario(port):
        assert (await port.call(call, request_))[1] == reason

    run_scenario(scenario)


def test_lists_are_paged(run_scenario):
    async def scenario(port):
        for name in "edcba":
            assert (await create(port, name)).version
        names, token = [], ""
        while True:
            request = schema.ListRequest(page_size=2, page_token=token)
            page = await port.call("ListOrganisations", request)
            names.append([entry.organisation.name for entry in page.entries])
            token = page.next_page_token
            if not token:
                break
        assert names == [["a", "b"], ["c", "d"], ["e"]]

    run_scenario(scenario)


def test_an_operator_needs_a_key_and_a_changed_key_file_applies_at_once(run_scenario):
    async def scenario(port):
        denied = (grpc.StatusCode.UNAUTHENTICATED, "unauthenticated")
        port.key = "new-key"
        assert await port.call("GetVersion", schema.GetVersionRequest()) == denied
        port.keys.write_text(hash_key("new-key"), encoding="utf-8")
        assert (await port.call("GetVersion", schema.GetVersionRequest())).instance == ""
        port.key = OPERATOR
        assert await port.call("GetVersion", schema.GetVersionRequest()) == denied

    run_scenario(scenario)


def test_a_watch_sees_changes_without_the_hashes_of_keys(run_scenario):
    async def scenario(port):
        metadata = (("authorization", f"Bearer {OPERATOR}"),)
        watching = port.stub.Watch(schema.WatchRequest(since=0), metadata=metadata)
        first = asyncio.ensure_future(watching.read())
        await asyncio.sleep(0.1)
        created = await create(port)
        event = await first
        assert (event.version, event.kind, event.name) == (created.version, *RECORD_ID)
        assert "key_hashes" not in event.record and "nilerecord" in event.record
        watching.cancel()

    run_scenario(scenario)


RECORD_ID = ("organisation", "nilerecord")


def test_current_settings_are_listed(run_scenario):
    async def scenario(port):
        answer = await port.call("GetConfiguration", schema.GetConfigurationRequest())
        poll = next(one for one in answer.options if one.option == "poll")
        assert (poll.section, poll.value, poll.unit, poll.is_default) == (
            "platform",
            "2.0",
            "s",
            True,
        )

    run_scenario(scenario)


def write_certificate(directory, serial):
    """Write a self-signed certificate for loopback and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "127.0.0.1")])
    start = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder(name, name, key.public_key(), serial)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=365 * 50))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    encoding = serialization.Encoding.PEM
    (directory / "cert.pem").write_bytes(certificate.public_bytes(encoding))
    (directory / "key.pem").write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


def test_a_replaced_certificate_serves_new_connections(run_scenario):
    def prepare(port):
        write_certificate(port.directory, 1)
        port.site.settings.security.certificate = str(port.directory / "cert.pem")
        port.site.settings.security.private_key = str(port.directory / "key.pem")

    async def scenario(port):
        assert (await port.call("GetVersion", schema.GetVersionRequest())).version == 0
        write_certificate(port.directory, 2)
        await port.channel.close()
        port.channel = port.connect()
        port.stub = AdministrationStub(port.channel)
        assert (await port.call("GetVersion", schema.GetVersionRequest())).version == 0

    run_scenario(scenario, prepare)
