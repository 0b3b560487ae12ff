"""Time and memory that reading an answer may take."""

import asyncio
from types import SimpleNamespace

import pytest

from persimmonstall.direct.messages import Route
from persimmonstall_daemon.direct.answer_memory import AnswerMemory
from persimmonstall_daemon.direct.connecting import CATCH_UP_SECONDS, SUSPENSION_SECONDS
from persimmonstall_daemon.direct.silence_watch import SilenceWatch


class Reader:
    """An attempt that reads an answer."""

    def __init__(self):
        self.dropped = False

    def drop(self):
        """Give up the answer."""
        self.dropped = True


@pytest.fixture
def memory():
    direct = SimpleNamespace(answers_bytes=100)
    unlimited = SimpleNamespace(
        hold_answer=lambda sink, size, more: True, release_answer=lambda sink, size: None
    )
    settings = SimpleNamespace(direct=direct)
    return AnswerMemory(SimpleNamespace(settings=settings, memory=unlimited))


@pytest.fixture
def watch():
    """The watch of an attempt that was sent at 10 s, on a clock `times`."""
    times = [10.0]
    scores = SimpleNamespace(record_sign_of_life=lambda name: None)
    entry = SimpleNamespace(
        now=lambda: times[0], state=SimpleNamespace(failure_scores=scores), times=times
    )
    attempt = SimpleNamespace(
        entry=entry,
        endpoint=SimpleNamespace(name="e"),
        routed=SimpleNamespace(route=Route("r", "h", "/", ()), deadline=60.0),
        placed=SimpleNamespace(predicted_first_event=0.0),
        batches_relayed=0,
    )
    return SilenceWatch(attempt)


def read_seconds(watch, *times):
    """Return the timeouts of reads that bring bytes at these times, of 2 s together."""
    seconds = []

    async def read(timeout):
        seconds.append(timeout)
        return b"x"

    async def scenario():
        for now in times:
            watch.entry.times[0] = now
            await watch.receive(read, 2.0)

    asyncio.run(scenario())
    return seconds


def test_deadline_is_shared_by_all_reads_until_it_restarts(watch):
    assert read_seconds(watch, 10.5, 11.5, 12.0) == [1.5, 0.5, 0.0]
    watch.restart()
    assert read_seconds(watch, 12.0) == [2.0]


def test_what_arrived_during_a_suspension_is_still_read_but_no_more(watch):
    assert read_seconds(watch, 10.0, 12.0 + 2 * SUSPENSION_SECONDS) == [2.0, CATCH_UP_SECONDS]


def test_largest_answer_in_progress_is_dropped_and_the_others_go_on(memory):
    readers = {name: Reader() for name in ("small", "large", "next")}
    memory.hold("small", 10, readers["small"])
    memory.hold("large", 80, readers["large"])
    memory.hold("next", 30, readers["next"])
    assert [name for name, reader in readers.items() if reader.dropped] == ["large"]
    assert memory.total == 40


def test_answer_that_is_passed_on_is_held_but_not_dropped(memory):
    complete, reader = Reader(), Reader()
    memory.hold("complete", 90, complete)
    memory.reading_ended("complete")
    memory.hold("reading", 20, reader)
    assert (complete.dropped, reader.dropped, memory.total) == (False, True, 90)
    memory.release("complete")
    memory.release("complete")
    assert (memory.total, memory.sizes, memory.readers) == (0, {}, {})
