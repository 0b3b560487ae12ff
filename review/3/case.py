"""Sound prompts with two parts that a crashing prompt had as well are refused for minutes."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import STABLE_S, Server, configuration, route, run  # noqa: E402

KEY = "k-clerks"
BAD_PART = "bad0bad0"
OLD_PARTS = "0a11:40,0a22:400"
NEW_PARTS = "1b11:40,1b22:400"
MIN_SOUND = 20
"""Sound requests that the rule asks for, in each of the two spans."""

SOUND_PAUSE_S = 0.5
CRASHING_PAUSE_S = 1.5
LAST_S = 40.0


class Play:
    """The requests of one caller; `sound` are the (time, begun) pairs of its sound ones."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.number = 0
        self.sound = []
        self.calls = set()

    async def send(self, parts, bad):
        """Send one request; its last part is its own."""
        self.number += 1
        at = self.deployment.record.now()
        prefix = f"{parts}{f',{BAD_PART}:50' if bad else ''},{0xC000 + self.number:x}:250"
        answer = await self.deployment.call(
            "/summary/a", KEY, X_Model="m", X_Token_Count="1460,80", X_Prompt_Prefix=prefix
        )
        if not bad:
            self.sound.append((at, answer.begun))

    def start(self, parts, bad=False):
        """Send one request in the background."""
        task = asyncio.create_task(self.send(parts, bad))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)


async def scenario(deployment, trouble):
    """Return whether the rule was broken."""
    record = deployment.record
    crashing = {BAD_PART} if trouble else ()
    servers = [
        Server(deployment.store, record, f"g{n}", "llm", crashing=crashing) for n in range(6)
    ]
    config = configuration(7, [route("summary", "streaming", "llm")], {"clerks": [KEY]})
    await deployment.start(servers, 3, config)
    play = Play(deployment)
    # Without a disruption: the caller's sound requests.
    before = record.now()
    for _ in range(30):
        play.start(OLD_PARTS)
        await asyncio.sleep(0.2)
    await asyncio.sleep(1.0)
    # The caller changes its prompt; the first requests with it have the part that crashes servers.
    changed = record.now()
    play.start(NEW_PARTS, bad=True)
    await asyncio.sleep(CRASHING_PAUSE_S)
    play.start(NEW_PARTS, bad=True)
    await asyncio.sleep(CRASHING_PAUSE_S)
    next_bad = record.now()
    while record.now() < changed + LAST_S:
        if record.now() >= next_bad:
            play.start(NEW_PARTS, bad=True)
            next_bad += CRASHING_PAUSE_S
        play.start(NEW_PARTS)
        await asyncio.sleep(SOUND_PAUSE_S)
    while play.calls:
        await asyncio.sleep(0.1)
    crashes = sorted(at for server in servers for at in server.crashes)
    if trouble and not crashes:
        raise RuntimeError("no server crashed")
    known = (crashes[:5] or [changed])[-1] + 2 * STABLE_S
    calm = [begun for at, begun in play.sound if before <= at < changed]
    later = [begun for at, begun in play.sound if at >= known]
    if min(len(calm), len(later)) < MIN_SOUND:
        raise RuntimeError("too few sound requests")
    shares = sum(calm) / len(calm), sum(later) / len(later)
    summary = (
        f"crashes: {len(crashes)}; sound requests begun: {sum(calm)} of {len(calm)} before, "
        f"{sum(later)} of {len(later)} from {2 * STABLE_S:g} s after the crashes"
    )
    record.write("summary", text=summary)
    print(summary)
    return shares[1] < shares[0] / 2


if __name__ == "__main__":
    sys.exit(run(CASE, scenario))
