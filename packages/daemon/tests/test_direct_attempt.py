import asyncio
from types import SimpleNamespace

import pytest

from persimmonstall.direct.cold import ColdEndpoints
from persimmonstall.direct.failure_scores import FailureScores
from persimmonstall.direct.messages import Repeat, ResponseKind, Route
from persimmonstall.direct.retrying import AttemptHistory
from persimmonstall_daemon.direct.attempt import Attempt

LOOP_STEPS = 8
"""More steps of the event loop than pass between the head of an answer and its relay."""


class OpenAnswer:
    """An endpoint's answer whose connection is open until `close`."""

    def __init__(self):
        self.open = True
        self.head = SimpleNamespace(kind=ResponseKind.SUCCESS)

    def close(self):
        """Close the connection."""
        self.open = False


class Recorder:
    """Records the heads of answers."""

    def __init__(self):
        self.heads = []

    def record_answer(self, _endpoint, head, _sent_at=0.0):
        """Record a head."""
        self.heads.append(head)


def make_attempt(client, now):
    route = Route("r", "h", "/", (), Repeat.ALLOWED, streaming=True, objective=0.3, attempts=2)
    state = SimpleNamespace(
        failure_scores=FailureScores(),
        accepts=lambda endpoint, now: True,
        cold=ColdEndpoints(),
    )
    endpoint = SimpleNamespace(name="e", address="", service="s", lifetime=("e", 1))
    return Attempt(
        SimpleNamespace(
            client=client,
            now=now,
            state=state,
            limits=Recorder(),
            notices=Recorder(),
            cold=Recorder(),
        ),
        SimpleNamespace(route=route, deadline=now() + 10.0),
        SimpleNamespace(
            request=SimpleNamespace(endpoint=endpoint, helpers=()),
            endpoints=(endpoint,),
            permitted=frozenset(),
            permitted_until=0.0,
            predicted_first_event=0.0,
        ),
        AttemptHistory(),
        sink=None,
    )


@pytest.mark.parametrize("steps", range(LOOP_STEPS))
def test_answer_that_comes_while_its_caller_leaves_is_closed_and_its_notice_kept(steps):
    async def scenario():
        loop = asyncio.get_running_loop()
        head, answers = loop.create_future(), []

        async def send(_routed, _request, _on_sent):
            await head
            answers.append(OpenAnswer())
            return answers[-1]

        attempt = make_attempt(SimpleNamespace(send=send), loop.time)
        attempt.relay_body = lambda: asyncio.sleep(10)
        running = asyncio.create_task(attempt.run())
        await asyncio.sleep(0.01)
        head.set_result(None)
        for _ in range(steps):
            await asyncio.sleep(0)
        running.cancel()
        await asyncio.wait((running,))
        assert running.cancelled()
        assert not any(answer.open for answer in answers)
        heads = [answer.head for answer in answers]
        assert attempt.entry.notices.heads == attempt.entry.limits.heads == heads
        assert attempt.entry.cold.heads == heads

    asyncio.run(scenario())
