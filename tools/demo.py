"""Runs a local deployment: with a mixed load, or left running in the background.

Usage: demo.py demo | up | down
"""

import json
import pathlib
import signal
import subprocess
import sys

from persimmonstall_standins.processes import MODEL, Deployment, Layout, kill_process

ROOT = pathlib.Path(__file__).resolve().parent.parent
DIRECTORY = ROOT / "var" / "demo"
STATE = DIRECTORY / "running.json"
MARKER = "persimmonstall"
SPEED = 6.0
"""Factor by which the stand-in engines run faster than real time."""
LOAD_FLAGS = ("--rate=45", "--seconds=20", "--seed=7", "--deadline=22", "--alone")


def raise_interrupt(_number, _frame):
    """Raise KeyboardInterrupt for a signal, so that `finally` blocks end the processes."""
    raise KeyboardInterrupt


def start_deployment():
    """Start a deployment and return it once it serves requests."""
    print("starting: platform, 6 engines, 1 plain service, 3 endpoint daemons, 2 entries")
    deployment = Deployment(DIRECTORY, Layout(speed=SPEED))
    try:
        deployment.bring_up()
    except BaseException:
        deployment.stop()
        raise
    print("an operator created an organisation, a model and a service; both entries serve")
    return deployment


def demo():
    """Run the demo of the daemons, then that of the platform; return the first non-zero code."""
    signal.signal(signal.SIGTERM, raise_interrupt)
    return demo_own_daemons() or demo_platform()


def demo_platform():
    """Run a mixed load through entries that use a stand-in of the users' platform."""
    print("demo on a platform with its own store, load balancer and model servers:")
    command = [sys.executable, "-m", "persimmonstall_platform_standins.demo"]
    return subprocess.run(command, check=False).returncode


def demo_own_daemons():
    """Run the mixed load against a new deployment, then stop it; return the exit code."""
    deployment = start_deployment()
    try:
        return run_load(deployment)
    except KeyboardInterrupt:
        print("interrupted")
        return 130
    finally:
        deployment.stop()
        print("all processes stopped")


def run_load(deployment):
    """Send the mixed load through both entries and print its report."""
    print(f"the engines run {SPEED:g} times faster than modelled; times below are wall-clock time")
    command = [
        sys.executable,
        "-m",
        "persimmonstall_cli.main",
        "load",
        *LOAD_FLAGS,
        "--url=" + ",".join(deployment.http.values()),
        f"--api_key={deployment.caller_key}",
        f"--model={MODEL}",
        f"--plot={DIRECTORY / 'load.svg'}",
    ]
    return subprocess.run(command, check=False).returncode


def up():
    """Start a deployment and leave it running; return the exit code."""
    if STATE.exists():
        print("a deployment may already be running; `make down` stops it")
        return 1
    deployment = start_deployment()
    STATE.write_text(json.dumps(deployment.describe(), indent=2), encoding="utf-8")
    for name, url in deployment.http.items():
        print(f"{name}: callers {url}/v1  operators {deployment.admin[name]}")
    print(f"caller's key:   {deployment.caller_key}")
    print(f"operator's key: {deployment.describe()['operator_key']}")
    print("`make down` stops the deployment")
    return 0


def down():
    """Stop the deployment that `up` started; return the exit code."""
    if not STATE.exists():
        print("no deployment is running")
        return 0
    running = json.loads(STATE.read_text(encoding="utf-8"))
    ended = sum(kill_process(pid, MARKER) for pid in running["pids"].values())
    STATE.unlink()
    print(f"{ended} processes stopped")
    return 0


COMMANDS = {"demo": demo, "up": up, "down": down}


def main(arguments):
    """Run the command named by the argument; return its exit code."""
    if len(arguments) != 1 or arguments[0] not in COMMANDS:
        print(__doc__)
        return 2
    return COMMANDS[arguments[0]]()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
