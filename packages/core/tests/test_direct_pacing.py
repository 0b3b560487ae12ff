"""Turns of expensive work."""

from persimmonstall.direct.pacing import WORK_SHARE, Turn, TurnQueue


def play(queue, until, step=0.001):
    """Return (time, turn) of the turns that come, as often as the queue is asked."""
    came, now = [], 0.0
    while now < until:
        turn = queue.next(now)
        if turn is not None:
            came.append((now, turn))
        now += step
    return came


def test_turns_come_in_order_and_take_their_share_of_the_time():
    queue, turns = TurnQueue(), [Turn(0.06, None) for _ in range(10)]
    for turn in turns:
        queue.add(turn)
    came = play(queue, 2.0)
    assert [turn for _, turn in came] == turns
    assert came[-1][0] >= 9 * 0.06 / WORK_SHARE


def test_turns_that_are_withdrawn_delay_nobody():
    """A crowd that had left delayed others by as long as its work would have taken."""
    queue = TurnQueue()
    crowd = [Turn(0.01, None) for _ in range(10_000)]
    for turn in crowd:
        queue.add(turn)
    for turn in crowd:
        queue.withdraw(turn)
        queue.withdraw(turn)
    assert queue.expected_wait(0.0) == 0.0
    last = Turn(0.01, None)
    queue.add(last)
    assert queue.next(0.0) is last


def test_expected_wait_is_that_of_the_turns_before():
    queue = TurnQueue()
    for _ in range(3):
        queue.add(Turn(0.06, None))
    expected = queue.expected_wait(0.0)
    mine = Turn(0.06, None)
    queue.add(mine)
    ((at, _),) = [each for each in play(queue, 1.0) if each[1] is mine]
    assert abs(at - expected) < 0.01
