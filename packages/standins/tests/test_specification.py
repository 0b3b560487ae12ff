import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from minicheck import check_safety

from persimmonstall.claims.starting import MAX_TRIES, GiveUp, Progress
from persimmonstall_standins.specification.claims import ClaimSpecification, Rules
from persimmonstall_standins.specification.mutations import mutations

MAX_STATES = 100_000

TRACES = {
    "no read-back of the start": [
        "entry 0 sends",
        "a0 write committed",
        "a0 hands over",
        "a0-copy write conflict lost",
        "a0-copy hands over",
    ],
    "no read-back of the give-up": [
        "entry 0 sends",
        "a0 write committed",
        "a0 hands over",
        "entry 0 gives up",
        "entry 0 give-up conflict lost tells not_run",
    ],
    "no given-up row": [
        "entry 0 sends",
        "a0 write committed",
        "a0 hands over",
        "entry 0 gives up",
        "entry 0 give-up  tells not_run",
    ],
    "no generation": [
        "entry 0 sends",
        "entry 0 gives up",
        "entry 0 give-up committed tells not_run",
        "a0 write committed",
        "a0 hands over",
    ],
    "client sends again": ["late", "broke, then broke"],
    "client sends again, work to run once": ["broke, then broke"],
    "client sends again, refusal": ["port closed"] * 5 + ["broke, then port closed"],
    "no fence": [
        "holder 0 takes the lease",
        "holder 1 takes the lease",
        "holder 0 orders",
        "holder 1 orders",
        "order 2 arrives",
        "order 1 arrives",
    ],
}


@pytest.mark.parametrize("mutation", mutations(), ids=lambda mutation: mutation[0])
def test_each_mutation_is_refuted_by_its_trace(mutation):
    name, protocol, invariant = mutation
    found = check_safety(protocol, MAX_STATES)["properties"][invariant]
    assert found["holds"] is False
    assert [step["label"] for step in found["counterexample"][1:]] == TRACES[name]


def test_every_state_of_the_smallest_configuration_is_sound():
    rules = Rules(first_start=Progress(tries=MAX_TRIES), first_give_up=GiveUp(tries=MAX_TRIES))
    protocol = ClaimSpecification(("a0", "a0-copy"), rules).protocol()
    result = check_safety(protocol, MAX_STATES)
    assert result["exhaustive"]
    assert all(found["holds"] for found in result["properties"].values())


class RandomWalk(RuleBasedStateMachine):
    """Random walks through the full specification, which is too large for a full search."""

    def __init__(self):
        super().__init__()
        rules = Rules(first_start=Progress(), first_give_up=GiveUp())
        self.protocol = ClaimSpecification(rules=rules, down=True).protocol()
        self.state = self.protocol.initial

    @rule(choice=st.integers(0, 1_000_000))
    def step(self, choice):
        following = self.protocol.transitions(self.state)
        if following:
            self.state = following[choice % len(following)][1]

    @invariant()
    def everything_holds(self):
        fields = self.protocol.d(self.state)
        assert all(holds(fields) for holds in self.protocol.invariants.values())


TestWalk = RandomWalk.TestCase
TestWalk.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
