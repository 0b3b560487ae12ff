"""A part that crashes servers is never refused while few prompts with shared parts were answered."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import STABLE_S, Server, configuration, route, run  # noqa: E402

KEY = "k-clerks"
BAD_PART = "bad0bad0"
SHARED_PART = "0a11:40"
FIRST_CRASHES = 5
MAX_LATER = 3
"""From `STABLE_S` after so many crashes, so many more requests may reach servers."""

LENGTH_S = 30.0
BAD_PAUSE_S = 1.0
ALONE_PAUSE_S = 0.4
SHARING_PAUSE_S = 12.0


class Play:
    """The requests of one caller."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.number = 0
        self.calls = set()
        self.begun = {"alone": 0, "sharing": 0, "bad": 0}

    async def send(self, kind):
        """Send one request; its last part is its own."""
        self.number += 1
        shared = {"alone": "", "sharing": f"{SHARED_PART},", "bad": f"{SHARED_PART},{BAD_PART}:50,"}
        answer = await self.deployment.call(
            "/summary/a",
            KEY,
            X_Model="m",
            X_Token_Count="1460,80",
            X_Prompt_Prefix=f"{shared[kind]}{0xC000 + self.number:x}:250",
        )
        self.begun[kind] += answer.begun

    def start(self, kind):
        """Send one request in the background."""
        task = asyncio.create_task(self.send(kind))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def repeat(self, kind, pause, until):
        """Send requests of a kind at intervals."""
        while self.deployment.record.now() < until:
            self.start(kind)
            await asyncio.sleep(pause)


async def scenario(deployment, trouble):
    """Return whether the rule was broken."""
    record = deployment.record
    crashing = {BAD_PART} if trouble else ()
    servers = [
        Server(deployment.store, record, f"g{n}", "llm", crashing=crashing) for n in range(10)
    ]
    config = configuration(7, [route("summary", "streaming", "llm")], {"clerks": [KEY]})
    await deployment.start(servers, 3, config)
    play = Play(deployment)
    for _ in range(4):
        play.start("sharing")
        play.start("alone")
        await asyncio.sleep(0.5)
    until = record.now() + LENGTH_S
    await asyncio.gather(
        play.repeat("bad", BAD_PAUSE_S, until),
        play.repeat("alone", ALONE_PAUSE_S, until),
        play.repeat("sharing", SHARING_PAUSE_S, until),
    )
    while play.calls:
        await asyncio.sleep(0.1)
    crashes = sorted(at for server in servers for at in server.crashes)
    arrivals = sorted(
        at for server in servers for at, _, parts, _ in server.arrivals if BAD_PART in parts
    )
    later = []
    if len(crashes) >= FIRST_CRASHES:
        later = [at for at in arrivals if at > crashes[FIRST_CRASHES - 1] + STABLE_S]
    elif trouble and not crashes:
        raise RuntimeError("no server crashed")
    summary = (
        f"crashes: {len(crashes)}; requests with the part that reached servers later than "
        f"{STABLE_S:g} s after the fifth: {len(later)}, {MAX_LATER} may; begun: {play.begun}"
    )
    record.write("summary", text=summary)
    print(summary)
    return len(later) > MAX_LATER


if __name__ == "__main__":
    sys.exit(run(CASE, scenario))
