"""Step times learned by the endpoint daemon's queue."""

import pytest

from persimmonstall.messages.requests import Submit
from persimmonstall.placement.due_time_queue import DueTimeQueue
from persimmonstall.settings import Settings


def submit(name, tokens=100, length_class="short"):
    return Submit(
        name,
        1,
        "e1",
        "o",
        b"",
        remaining=120.0,
        model="m",
        prompt_tokens=tokens,
        max_tokens=16,
        predicted_tokens=16,
        length_class=length_class,
    )


@pytest.mark.parametrize("length_class", ["short", "medium", "long", "giant"])
def test_idle_engine_starts_an_attempt_however_slow_its_steps_were(length_class):
    queue = DueTimeQueue(Settings())
    now = 0.0
    for number in range(200):
        queue.offer(submit(f"r{number}"), 0, now)
        started = queue.next(now)
        assert started is not None
        for _ in range(3):
            now += 0.9
            queue.record_step(now)
        queue.first_token(started.key, now)
        queue.ended(started.key)
    queue.offer(submit("last", 3000, length_class), 0, now)
    assert queue.next(now) is not None


def test_idle_time_is_not_learned_as_a_step_time():
    queue = DueTimeQueue(Settings())
    before = queue.steps.base
    for number in range(50):
        now = number * 0.5
        queue.offer(submit(f"r{number}"), 0, now)
        started = queue.next(now)
        queue.record_step(now + before)
        queue.ended(started.key)
        queue.record_step(now + 2 * before)
    assert queue.steps.base == pytest.approx(before)
