"""Generate the committed gRPC code from proto/; with --check, verify that it is current."""

import filecmp
import pathlib
import sys
import tempfile

from grpc_tools import protoc

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "proto"
TARGET = ROOT / "packages" / "daemon"
SCHEMA = "persimmonstall_daemon/admin/persimmonstall_admin.proto"
OUTPUTS = ("persimmonstall_admin_pb2.py", "persimmonstall_admin_pb2_grpc.py")


def generate(target):
    """Write the generated modules below `target`; return protoc's exit code."""
    arguments = [
        "protoc",
        f"--proto_path={SOURCE}",
        f"--python_out={target}",
        f"--grpc_python_out={target}",
        str(SOURCE / SCHEMA),
    ]
    return protoc.main(arguments)


def stale_modules():
    """Return the names of the committed modules that are not up to date with the schema."""
    with tempfile.TemporaryDirectory() as scratch:
        if generate(scratch):
            return list(OUTPUTS)
        generated = pathlib.Path(scratch) / "persimmonstall_daemon" / "admin"
        current = TARGET / "persimmonstall_daemon" / "admin"
        return [
            name
            for name in OUTPUTS
            if not (current / name).exists()
            or not filecmp.cmp(generated / name, current / name, shallow=False)
        ]


def main(arguments):
    """Run the command line; return the exit code."""
    if "--check" not in arguments:
        return generate(TARGET)
    differing = stale_modules()
    for name in differing:
        print(f"{name} does not match the schema; run `make proto`")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
