"""Time and memory that reading an answer may take."""

import asyncio
from types import SimpleNamespace

import pytest

from persimmonstall_daemon.direct.answer_memory import AnswerMemory
from persimmonstall_daemon.direct.endpoint_client import CATCH_UP_SECONDS, SUSPENSION_SECONDS
from persimmonstall_daemon.direct.read_deadline import ReadDeadline


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
    return AnswerMemory(SimpleNamespace(settings=SimpleNamespace(direct=direct)))


def test_deadline_is_shared_by_all_reads_until_it_restarts():
    async def scenario():
        deadline = ReadDeadline(2.0)
        times = [10.0]
        deadline.clock = lambda: times[0]
        deadline.restart(2.0)
        left = []
        for now in (10.5, 11.5, 12.1):
            times[0] = now
            left.append(deadline.remaining())
        assert left == [1.5, 0.5, 0.0]
        deadline.restart(3.0)
        assert deadline.remaining() == 3.0

    asyncio.run(scenario())


def test_what_arrived_during_a_suspension_is_still_read_but_no_more():
    async def scenario():
        deadline = ReadDeadline(2.0)
        times = [10.0]
        deadline.clock = lambda: times[0]
        deadline.restart(2.0)
        times[0] = 12.0 + SUSPENSION_SECONDS
        assert deadline.remaining() == CATCH_UP_SECONDS
        times[0] += CATCH_UP_SECONDS
        assert deadline.remaining() == 0.0

    asyncio.run(scenario())


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
