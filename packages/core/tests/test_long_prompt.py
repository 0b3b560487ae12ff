"""Division of long prompts and the reservation of their parts."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonstall.failures import Reason
from persimmonstall.memory import long_prompt, segments
from persimmonstall.memory.segments import EngineMemory
from persimmonstall.messages.control import Release, Reserve, Reserved

TOTAL = 400_000


def engine_memories(count, free=TOTAL):
    return [EngineMemory(f"e{number}", free, TOTAL) for number in range(count)]


@given(st.integers(300_000, 1_000_000), st.lists(st.integers(0, TOTAL), min_size=3, max_size=9))
@settings(max_examples=200, derandomize=True)
def test_assignments_cover_the_prompt_and_fit(length, free):
    assignments = segments.divide(
        length, 2000, [EngineMemory(f"e{n}", size, TOTAL) for n, size in enumerate(free)]
    )
    if not assignments:
        assert assignments.reason in (Reason.BUSY, Reason.PROMPT_TOO_LONG)
        return
    assert [assignment.start for assignment in assignments] == [
        0,
        *(assignment.end for assignment in assignments[:-1]),
    ]
    assert assignments[-1].end == length - 1
    assert all(
        assignment.tokens <= free[int(assignment.endpoint[1:])] for assignment in assignments
    )


def test_too_long_prompt_is_distinguished_from_busy_engines():
    assert segments.divide(1_000_000, 2000, engine_memories(2)).reason is Reason.PROMPT_TOO_LONG
    assert segments.divide(1_000_000, 2000, engine_memories(4, free=100_000)).reason is Reason.BUSY


def endpoint_of(reservation, prompts):
    return next(p for p in prompts if reservation.startswith(p.request_id + "."))


class Engines:
    """Engines that grant a reservation at once while they have enough free memory."""

    def __init__(self, names):
        self.free = dict.fromkeys(names, TOTAL)
        self.granted = {}

    def answer(self, message):
        if isinstance(message, Release):
            endpoint, tokens = self.granted.pop(message.reservation, (message.endpoint, 0))
            self.free[endpoint] += tokens
            return None
        if message.tokens > self.free[message.endpoint]:
            return Reserved(message.reservation, message.endpoint, "busy", 1.0)
        self.free[message.endpoint] -= message.tokens
        self.granted[message.reservation] = (message.endpoint, message.tokens)
        return Reserved(message.reservation, message.endpoint)


def contend(seed):
    """Interleave the reservations of two prompts on three engines at random.

    Return (prompts that reserved all parts, refused prompts, engines).
    """
    random = Random(seed)
    engines = Engines([f"e{number}" for number in range(3)])
    assignments = segments.divide(1_000_000, 2000, engine_memories(3))
    prompts = [long_prompt.LongPrompt(name, assignments) for name in ("a", "b")]
    queue = [(prompt, message) for prompt in prompts for message in prompt.advance(0.0)]
    complete, refused = [], []
    while queue:
        prompt, message = queue.pop(random.randrange(len(queue)))
        if isinstance(message, long_prompt.Prefill):
            complete.append(prompt.request_id)
        elif isinstance(message, long_prompt.Refused):
            refused.append(prompt.request_id)
        else:
            answer = engines.answer(message)
            follow_ups = prompt.on_reserved(answer, 0.0) if answer else []
            queue.extend((prompt, item) for item in follow_ups)
    return set(complete), refused, engines


@given(st.integers(0, 10**6))
@settings(max_examples=100, derandomize=True)
def test_of_two_prompts_one_gets_all_and_the_other_nothing(seed):
    complete, refused, engines = contend(seed)
    assert len(complete) == len(refused) == 1
    assert {name.split(".")[0] for name in engines.granted} == complete


def test_without_a_fixed_order_both_may_be_refused(monkeypatch):
    def any_order(self, state):
        found = [part for part in self.parts if part.state is state]
        return found if self.request_id == "a" else found[::-1]

    monkeypatch.setattr(long_prompt.LongPrompt, "in_state", any_order)
    assert any(len(contend(seed)[1]) == 2 for seed in range(200))


@pytest.fixture
def held():
    """Return a prompt whose three parts are all held."""
    prompt = long_prompt.LongPrompt("r", segments.divide(1_000_000, 2000, engine_memories(3)))
    queue = prompt.advance(0.0)
    while queue:
        message = queue.pop()
        if isinstance(message, Reserve):
            queue += prompt.on_reserved(Reserved(message.reservation, message.endpoint), 0.0)
        elif isinstance(message, long_prompt.Prefill):
            queue += prompt.on_prefilled(message.part.reservation, message.part.reservation, 0.0)
    return prompt


def test_only_the_lost_part_is_prefilled_again(held):
    lost = held.parts[1]
    kept = held.held_tokens() - (lost.assignment.end - lost.assignment.start)
    held.on_reserved(Reserved(lost.reservation, lost.endpoint, "not_found"), 1.0)
    assert held.lost_endpoints() == {lost.endpoint}
    release, reserve = held.reassign_lost([EngineMemory("e9", TOTAL, TOTAL)], 1.0)
    assert (release.reservation, reserve.endpoint) == (lost.reservation, "e9")
    (again,) = held.on_reserved(Reserved(reserve.reservation, "e9"), 1.0)
    assert again.part.assignment.start == lost.assignment.start
    assert held.held_tokens() == kept
    (generate,) = held.on_prefilled(reserve.reservation, "job", 2.0)
    assert [ref.start for ref in generate.refs] == [0, *(ref.end for ref in generate.refs[:-1])]


def test_late_grant_of_a_given_up_reservation_is_released(held):
    old = held.parts[0]
    assert len(held.release()) == 3
    (release,) = held.on_reserved(Reserved(old.reservation, old.endpoint), 1.0)
    assert release == Release(old.reservation, old.endpoint)
