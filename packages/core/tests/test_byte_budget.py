"""The budget of bytes under random loads, and who has to give way."""

import random

import pytest

from persimmonstall.direct.byte_budget import (
    GROUP_SHARE,
    LARGE_BYTES,
    LARGE_SHARE,
    MIN_VICTIM_BYTES,
    MOVE_BYTES,
    SMALL_SHARE,
    STALL_SECONDS,
    ByteBudget,
    Holder,
    Phase,
)

CAPACITY = 100_000_000
BODY = 4_000_000
LARGE_LIMIT = CAPACITY * LARGE_SHARE


@pytest.fixture
def budget():
    return ByteBudget(CAPACITY)


def add(budget, group="a", phase=Phase.READING, moved_at=0.0, size=0):
    """Return a new holder of `size` bytes."""
    holder = Holder(group, moved_at, phase)
    budget.add(holder)
    budget.change(holder, size)
    return holder


def fill(budget, group, phase, moved_at=0.0):
    """Return holders of bodies that fill all that large requests may fill."""
    holders = []
    while budget.total + BODY <= LARGE_LIMIT:
        holders.append(add(budget, group, phase, moved_at, BODY))
    return holders


def check(budget):
    """Check the sums of a budget."""
    assert budget.total == sum(holder.held for holder in budget.holders)
    assert budget.releasing == sum(holder.held for holder in budget.holders if holder.ending)
    assert budget.wanted == sum(wish.size for wish in budget.wishes)
    for group, held in budget.groups.items():
        assert held == sum(holder.held for holder in budget.holders if holder.group == group)
    assert {holder.group for holder in budget.holders} <= set(budget.groups)


def random_step(budget, rng, now):
    """Do something at random; return the victims that were chosen."""
    holders = list(budget.holders)
    if not holders or rng.random() < 0.3:
        add(budget, rng.choice("abc"), rng.choice(list(Phase)), now)
        return []
    holder = rng.choice(holders)
    size = rng.choice((500, 70_000, BODY))
    step = rng.randrange(8)
    if step == 0:
        before, limit = budget.total, budget.limit(holder, size)
        assert not budget.take(holder, size) or before + size <= limit
    elif step == 1:
        budget.wish(holder, size)
    elif step == 2:
        budget.remove(holder)
        budget.remove(holder)
    elif step == 3:
        holder.move(size, now)
    elif step == 4:
        holder.enter(rng.choice(list(Phase)), now)
    elif step == 5:
        before = budget.total - budget.releasing
        victims = budget.find_victims(holder, size, now)
        freed = sum(victim.held for victim in victims)
        assert not victims or before - freed + size <= budget.limit(holder, size)
        assert holder not in victims
        return victims
    elif step == 6:
        budget.spare(holder)
        budget.regroup(holder, rng.choice("abc"))
    else:
        budget.change(holder, -holder.held)
        assert all(wish.holder in budget.holders for wish in budget.grant())
    return []


@pytest.mark.parametrize("seed", range(30))
def test_sums_and_limits_hold_under_random_loads(seed):
    rng = random.Random(seed)
    budget = ByteBudget(CAPACITY)
    now = 0.0
    for _ in range(600):
        now += rng.random()
        for victim in random_step(budget, rng, now):
            assert victim.phase is not Phase.RUNNING
            assert victim.ending
        check(budget)


def test_large_requests_leave_room_for_small_ones_and_these_for_answers(budget):
    fill(budget, "a", Phase.RUNNING)
    small = add(budget)
    assert not budget.take(small, BODY)
    while budget.take(small, LARGE_BYTES - 1):
        pass
    assert budget.total <= CAPACITY * SMALL_SHARE
    running = add(budget, phase=Phase.RUNNING)
    assert budget.take(running, LARGE_BYTES - 1)


def test_what_runs_never_gives_way(budget):
    fill(budget, "a", Phase.RUNNING)
    newcomer = add(budget, "b", moved_at=99.0)
    assert budget.find_victims(newcomer, BODY, 100.0) == []


def test_a_request_that_moves_does_not_give_way_to_its_own_group(budget):
    holders = fill(budget, "a", Phase.READING, moved_at=100.0)
    newcomer = add(budget, "a", moved_at=100.0)
    assert budget.find_victims(newcomer, BODY, 100.0 + STALL_SECONDS / 2) == []
    assert budget.find_victims(newcomer, BODY, 100.0 + STALL_SECONDS)[0] in holders


def test_bytes_that_dribble_in_are_no_movement():
    holder = Holder("a", 0.0, Phase.READING)
    holder.move(MOVE_BYTES - 1, 5.0)
    assert holder.stalled(5.0)
    holder.move(1, 5.0)
    assert not holder.stalled(5.0)


def test_those_give_way_first_that_hold_most_for_longest(budget):
    running = fill(budget, "a", Phase.RUNNING)
    budget.remove(running[0])
    idle = add(budget, "a", size=MIN_VICTIM_BYTES - 1)
    little = add(budget, "a", size=LARGE_BYTES)
    much = add(budget, "a", size=BODY)
    lately = add(budget, "a", moved_at=99.0, size=BODY)
    newcomer = add(budget, "a", moved_at=100.0)
    victims = budget.find_victims(newcomer, BODY, 100.0)
    assert victims == [much, little, lately]
    assert not idle.ending


def test_nobody_gives_way_if_it_would_not_help(budget):
    fill(budget, "a", Phase.RUNNING)
    add(budget, "a", size=LARGE_BYTES)
    newcomer = add(budget, "a", moved_at=100.0)
    assert budget.find_victims(newcomer, BODY, 100.0) == []


def test_twenty_callers_get_their_share_beside_two_hundred_that_keep_moving(budget):
    bad = [add(budget, "bad", moved_at=100.0) for _ in range(200)]
    good = [add(budget, "good", moved_at=100.0) for _ in range(20)]
    held = [holder for holder in bad if budget.take(holder, BODY)]
    assert sum(holder.held for holder in held) <= LARGE_LIMIT * GROUP_SHARE
    served = 0
    for holder in good:
        if budget.take(holder, BODY):
            served += BODY
            continue
        for victim in budget.find_victims(holder, BODY, 100.1):
            assert victim.group == "bad"
            budget.remove(victim)
        served += BODY * budget.take(holder, BODY)
    assert served >= LARGE_LIMIT / 2 - BODY


def test_room_goes_to_the_group_that_holds_least_and_to_small_wishes_first(budget):
    held = fill(budget, "a", Phase.RUNNING)
    large = budget.wish(add(budget, "a"), BODY)
    other = budget.wish(add(budget, "b"), BODY)
    small = budget.wish(add(budget, "a"), LARGE_BYTES - 1)
    budget.remove(held[0])
    assert budget.grant() == [other, small]
    assert budget.wishes == [large]


def test_less_capacity_lets_those_give_way_that_are_not_running(budget):
    fill(budget, "a", Phase.RUNNING)
    reading = add(budget, "a", moved_at=100.0, size=BODY)
    limit = budget.total - 1
    assert budget.reduce(limit, 100.0) == [reading]
    assert budget.reduce(limit, 100.0) == []


def test_a_connection_that_waits_closes_for_a_new_one(budget):
    used = add(budget, phase=Phase.RUNNING)
    assert budget.find_idle(100.0) is None
    lately = add(budget, phase=Phase.WAITING, moved_at=100.0)
    assert budget.find_idle(100.0) is None
    idle = add(budget, phase=Phase.WAITING, moved_at=98.0)
    add(budget, phase=Phase.WAITING, moved_at=99.0)
    assert budget.find_idle(100.5) is idle
    assert used.held == lately.held == 0
