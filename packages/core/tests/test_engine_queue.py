"""Order, chunk sizes, memory and deadlines of the endpoint daemon's queue."""

import pytest

from persimmonstall.failures import Reason
from persimmonstall.messages.requests import Submit
from persimmonstall.placement.due_time_queue import DueTimeQueue
from persimmonstall.placement.fifo_queue import FifoQueue
from persimmonstall.settings import Settings


def submit(name, tokens, length_class, remaining=100.0, predicted=100):
    return Submit(
        name,
        1,
        "e1",
        "o",
        b"",
        remaining,
        model="m",
        prompt_tokens=tokens,
        max_tokens=4096,
        predicted_tokens=predicted,
        priority=5,
        length_class=length_class,
    )


@pytest.fixture
def queue():
    made = DueTimeQueue(Settings())
    made.memory_total = 400_000
    return made


def serve(queue, seconds, arrivals):
    """Simulate an engine that serves one attempt at a time; return the waits by name.

    `arrivals` are pairs of an arrival time and an attempt.
    """
    started = {}
    free_at = 0.0
    pending = sorted(arrivals, key=lambda item: item[0])
    now = 0.0
    while now < seconds:
        while pending and pending[0][0] <= now:
            _, submission = pending.pop(0)
            assert queue.offer(submission, 0, now)
        if now >= free_at:
            attempt = queue.next(now)
            if attempt:
                started[attempt.submit.request_id] = now - attempt.arrived
                free_at = now + attempt.tokens * 4e-5
                queue.first_token(attempt.key, free_at)
                queue.ended(attempt.key)
        now += 0.01
    return started


def flood():
    """Return short prompts that load the engine to 107 percent, and one long prompt."""
    arrivals = [(0.075 * k, submit(f"s{k}", 2_000, "short")) for k in range(800)]
    arrivals.append((1.0, submit("contract", 100_000, "long", 55.0)))
    return arrivals


def test_flood_of_short_prompts_does_not_push_a_long_one_past_its_deadline(queue):
    started = serve(queue, 60.0, flood())
    # 1.13 is the mean weight of a token of this prompt (see `weighted_tokens`).
    assert started["contract"] + 100_000 * 1.13 * 4e-5 < 55.0


def test_flood_starves_the_long_prompt_with_shortest_job_first(queue):
    queue.estimate = shortest_job_first(queue.estimate)
    started = serve(queue, 60.0, flood())
    assert "contract" not in started


def shortest_job_first(estimate):
    """Return `estimate` changed to shortest job first: due times are the service times."""

    def changed(*arguments):
        attempt = estimate(*arguments)
        attempt.due = attempt.service
        return attempt

    return changed


def test_long_prompts_do_not_hold_up_short_ones(queue):
    for number in range(5):
        assert queue.offer(submit(f"l{number}", 100_000, "long"), 0, 0.0)
    assert queue.next(0.0).long
    assert queue.next(0.0) is None, "one long prefill at a time"
    assert queue.offer(submit("s", 1_000, "short"), 0, 0.1)
    assert queue.next(0.1).submit.request_id == "s"


def test_long_prompts_hold_up_short_ones_in_a_fifo_queue():
    queue = FifoQueue(Settings())
    for number in range(5):
        queue.offer(submit(f"l{number}", 100_000, "long"), 0, 0.0)
    queue.offer(submit("s", 1_000, "short"), 0, 0.1)
    order = [queue.next(0.1).submit.request_id for _ in range(6)]
    assert order[-1] == "s"


def test_chunks_of_all_classes_fit_a_step(queue):
    kinds = (("l", 100_000, "long"), ("m", 20_000, "medium"), ("s", 2_000, "short"))
    for name, tokens, length_class in kinds:
        assert queue.offer(submit(name, tokens, length_class), 0, 0.0)
    chunks = [queue.next(0.0).chunk for _ in kinds]
    assert all(chunks)
    for _ in range(300):
        queue.steps.observe(0.150, 1_000)
    assert queue.offer(submit("s2", 2_000, "short"), 0, 0.0)
    queue.first_token(("s", 1), 0.1)
    assert queue.next(0.1).chunk < min(chunks), "slower steps get smaller chunks"


def test_attempt_that_cannot_meet_its_deadline_is_refused_and_does_not_run(queue):
    for number in range(5):
        assert queue.offer(submit(f"l{number}", 200_000, "long", 500.0), 0, 0.0)
    refused = queue.offer(submit("late", 200_000, "long", remaining=30.0), 0, 0.0)
    assert refused.reason is Reason.BUSY
    assert ("late", 1) not in queue.waiting


def test_infeasible_attempts_are_removed_before_their_deadline(queue):
    queue.memory_total = 1_000
    assert queue.offer(submit("a", 600, "short"), 0, 0.0)
    assert queue.offer(submit("b", 600, "short", remaining=8.0), 0, 0.0)
    assert queue.next(0.0).submit.request_id in "ab"
    assert queue.next(0.0) is None, "no memory for both"
    removed = queue.remove_infeasible(7.5)
    assert [attempt.submit.request_id for attempt in removed] == [*not_started(queue, "ab")]
    assert not queue.waiting


def not_started(queue, names):
    """Return the names that were not started."""
    return [name for name in names if (name, 1) not in queue.started]


def test_memory_is_released_in_any_order_of_ends(queue):
    for number in range(20):
        queue.offer(submit(f"s{number}", 2_000, "short"), 0, 0.0)
    while attempt := queue.next(1.0):
        queue.first_token(attempt.key, 1.0)
    for key in [*queue.started, *queue.waiting]:
        queue.ended(key)
        queue.ended(key)
    assert (queue.committed_memory, queue.short_memory, queue.backlog(2.0)) == (0, 0, (0, 0))
