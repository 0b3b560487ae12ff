import pytest

from persimmonstall.messages.requests import Submit
from persimmonstall.placement.queue import DueOrder
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
def test_an_idle_engine_takes_the_next_attempt_however_slow_its_steps_were(length_class):
    queue = DueOrder(Settings())
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


def test_pauses_of_an_idle_engine_are_not_taken_for_steps():
    queue = DueOrder(Settings())
    before = queue.steps.base
    for number in range(50):
        now = number * 0.5
        queue.offer(submit(f"r{number}"), 0, now)
        started = queue.next(now)
        queue.record_step(now + before)
        queue.ended(started.key)
        queue.record_step(now + 2 * before)
    assert queue.steps.base == pytest.approx(before)
