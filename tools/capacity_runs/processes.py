"""Measures real daemons: control traffic, processor share, memory and data-plane cost."""

import asyncio
import pathlib
import subprocess
import sys
import tempfile
import time

import orjson
import psutil

from persimmonstall_cli.load.plan import LoadOptions
from persimmonstall_cli.load.run import run_load
from persimmonstall_standins.growing_deployment import GrowingDeployment
from persimmonstall_standins.processes import MODEL

from .fit import fit

PEERS = (4, 8, 16, 32)
OUTPUT_TOKENS = (25, 100, 200, 400)
PROMPT_TOKENS = (1_000, 20_000, 60_000, 120_000)
SETTLE_SECONDS = 4.0
IDLE_SECONDS = 8.0
LOAD_SECONDS = 6.0
KILOBYTE = 1024.0
MEGABYTE = KILOBYTE * KILOBYTE
PEERS_PROGRAM = pathlib.Path(__file__).with_name("peers.py")
RATES = (2.0, 6.0, 12.0, 20.0)
DAEMONS = ("d1", "d2")
ENGINE_SPEED = 20


class Peers:
    """Child process that runs peers.py."""

    def __init__(self, **flags):
        command = [sys.executable, str(PEERS_PROGRAM)]
        command += [f"--{name}={value}" for name, value in flags.items()]
        self.process = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )

    def report(self):
        """Return the peers' byte counts so far; log lines between the reports are skipped."""
        self.process.stdin.write("\n")
        self.process.stdin.flush()
        while True:
            line = self.process.stdout.readline()
            if not line:
                raise RuntimeError("the process of the peers has ended")
            if line.startswith('{"at"'):
                return orjson.loads(line)

    def close(self):
        """Kill the process and close its pipes."""
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


def processor_seconds(process):
    """Return the processor time that a process has used."""
    times = psutil.Process(process.pid).cpu_times()
    return times.user + times.system


def resident_mb(process):
    """Return the resident memory of a process in megabytes."""
    return psutil.Process(process.pid).memory_info().rss / MEGABYTE


def wait_for_links(deployment, peers, count):
    """Wait until `count` links are open, then for SETTLE_SECONDS."""
    deployment.wait_until(lambda: peers.report()["links"] >= count, f"{count} links")
    time.sleep(SETTLE_SECONDS)


def measure_idle(process, peers):
    """Return the KB/s each way, processor share (%) and memory (MB) of an idle daemon.

    What the peers sent is what the daemon received, and the other way round.
    """
    before, used = peers.report(), processor_seconds(process)
    time.sleep(IDLE_SECONDS)
    after, spent = peers.report(), processor_seconds(process) - used
    seconds = after["at"] - before["at"]
    return {
        "received": (after["sent"] - before["sent"]) / seconds / KILOBYTE,
        "sent": (after["received"] - before["received"]) / seconds / KILOBYTE,
        "share": 100.0 * spent / seconds,
        "memory": resident_mb(process),
    }


def make_deployment(directory, speed=1.0):
    """Return a configured deployment with the platform and one entry."""
    deployment = GrowingDeployment(directory, speed)
    deployment.add_platform()
    deployment.add_entry("entry1")
    deployment.configure()
    return deployment


def measure_entry(count, directory):
    """Measure an idle entry linked to `count` endpoint daemons."""
    with make_deployment(directory) as deployment:
        peers = Peers(kind="endpoints", count=count, list=deployment.platform_urls["instances"])
        return measure_linked(deployment, "entry1", peers, count)


def measure_endpoint(count, directory):
    """Measure an idle endpoint daemon linked to `count` entries."""
    with make_deployment(directory) as deployment:
        deployment.add_engine_daemon("target")
        peers = Peers(kind="entries", count=count, target=deployment.daemon_addresses["target"])
        return measure_linked(deployment, "target", peers, count)


def measure_linked(deployment, daemon, peers, count):
    """Measure an idle daemon once all of its `peers` are linked; close the peers."""
    try:
        wait_for_links(deployment, peers, count)
        return measure_idle(deployment.processes[daemon], peers)
    finally:
        peers.close()


def idle_slopes(role, measure_one):
    """Return the slopes of the costs of an idle daemon by its number of links."""
    points = []
    for count in PEERS:
        with tempfile.TemporaryDirectory() as directory:
            points.append((count, measure_one(count, directory)))
    units = {"received": "KB/s", "sent": "KB/s", "share": "% of a core", "memory": "MB"}
    return [
        fit(f"{role}: {key}", "processes", unit, "link", [(n, one[key]) for n, one in points])
        for key, unit in units.items()
    ]


def data_plane():
    """Return the slopes of processor time by output and prompt length, and of memory."""
    with (
        tempfile.TemporaryDirectory() as directory,
        make_deployment(directory, ENGINE_SPEED) as deployment,
    ):
        for name in DAEMONS:
            deployment.add_engine_daemon(name)
        deployment.wait_until(lambda: deployment.serving("entry1"), "answers")
        time.sleep(SETTLE_SECONDS)
        outputs = [measure_load(deployment, 1_000, limit, 12.0) for limit in OUTPUT_TOKENS]
        prompts = [measure_load(deployment, tokens, 25, 2.0) for tokens in PROMPT_TOKENS]
        in_flight = [measure_in_flight(deployment, rate) for rate in RATES]
    slopes = []
    for index, role in ((1, "entry"), (2, "endpoint daemon")):
        by_output = [(point[0], point[index]) for point in outputs]
        by_prompt = [(point[3] / 1000.0, point[index]) for point in prompts]
        name = f"{role}: time of a request"
        slopes.append(fit(f"{name} by output", "data plane", "ms", "output token", by_output))
        by = "1,000 prompt tokens"
        slopes.append(fit(f"{name} by prompt", "data plane", "ms", by, by_prompt))
    slopes.append(
        fit("entry: memory in flight", "data plane", "MB", "request in flight", in_flight)
    )
    return slopes


def measure_load(deployment, prompt, max_tokens, rate):
    """Run a load; return (output tokens, entry ms, daemons' ms, prompt tokens) per request."""
    load = LoadOptions(
        rate=rate,
        seconds=LOAD_SECONDS,
        mix=f"{prompt}",
        max_tokens=max_tokens,
        model=MODEL,
        seed=prompt + max_tokens,
        deadline=300,
    )
    measured = [deployment.processes[name] for name in ("entry1", *DAEMONS)]
    before = [processor_seconds(one) for one in measured]
    results = asyncio.run(run_load(load, [deployment.http["entry1"]], deployment.caller_key, 4000))
    spent = [processor_seconds(one) - start for one, start in zip(measured, before, strict=True)]
    whole = [one for one in results if one.whole]
    if len(whole) < len(results) / 2:
        raise RuntimeError(f"only {len(whole)} of {len(results)} requests were answered")
    tokens = sum(one.tokens for one in whole) / len(whole)
    return tokens, 1e3 * spent[0] / len(whole), 1e3 * sum(spent[1:]) / len(whole), prompt


def measure_in_flight(deployment, rate):
    """Run a load of long outputs; return the mean requests in flight and the entry's MB."""
    load = LoadOptions(
        rate=rate,
        seconds=LOAD_SECONDS,
        mix="2k",
        max_tokens=400,
        model=MODEL,
        seed=7,
        deadline=300,
    )
    results = asyncio.run(run_load(load, [deployment.http["entry1"]], deployment.caller_key, 4000))
    busy = sum(one.ended for one in results if one.whole)
    return busy / LOAD_SECONDS, resident_mb(deployment.processes["entry1"])


def import_memory():
    """Return the resident memory (MB) after importing each part in a new process."""
    modules = {
        "interpreter": "sys",
        "asyncio, uvloop": "asyncio, uvloop",
        "aiohttp": "aiohttp",
        "grpc": "grpc",
        "structlog, orjson, msgspec": "structlog, orjson, msgspec",
        "all of the daemon": "persimmonstall_daemon.main",
    }
    program = "import {}, psutil; print(psutil.Process().memory_info().rss)"
    sizes = {}
    for name, module in modules.items():
        command = [sys.executable, "-c", program.format(module)]
        answer = subprocess.run(command, check=True, capture_output=True, text=True)
        sizes[name] = int(answer.stdout) / MEGABYTE
    return sizes


def measure():
    """Return the fitted slopes and the memory of the imports."""
    slopes = idle_slopes("entry", measure_entry)
    slopes += idle_slopes("endpoint daemon", measure_endpoint)
    slopes += data_plane()
    return slopes, import_memory()
