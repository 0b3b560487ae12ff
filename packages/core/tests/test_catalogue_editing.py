"""Model-based tests of the catalogue's commit protocol.

Operators' calls interleave in any order, responses are lost and transactions that timed out are
applied late.
"""

from collections import Counter

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from persimmonstall.catalogue import Accepted, Edit, Model
from persimmonstall.catalogue.editing import (
    ReadSet,
    Rejected,
    Retry,
    Transaction,
    interpret_result,
    plan_edit,
)
from persimmonstall.catalogue.layout import (
    CALLS,
    CONFIG,
    LOG,
    RECORDS,
    VERSION_KEY,
    decode_stored,
    decode_version,
    record_key,
)
from persimmonstall.catalogue.snapshot import decode_change
from persimmonstall.failures import Failure, Reason
from persimmonstall_standins.table import MemoryTable

RUNS = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
LOST = Failure(Reason.AMBIGUOUS, "commit")


class Editing(RuleBasedStateMachine):
    """Concurrent calls on one table; `late` holds the writes of calls that timed out."""

    def __init__(self):
        super().__init__()
        self.table = MemoryTable()
        self.edits = {}
        self.planned = {}
        self.accepted = {}
        self.rejected = set()
        self.late = []

    def row(self, table, key):
        return self.table.rows.get((table, key))

    def read_rows(self, edit):
        record = self.row(RECORDS, record_key(edit.kind, edit.name))
        version = self.row(CONFIG, VERSION_KEY)
        return ReadSet(version, record, self.row(CALLS, edit.call_id))

    def settle(self, call, read_set, result):
        """Record the plan or the result of a call; a transaction stays in flight."""
        self.planned.pop(call, None)
        if isinstance(result, Transaction):
            self.planned[call] = (read_set, result)
        if isinstance(result, Accepted):
            assert self.accepted.setdefault(call, result.version) == result.version
        if isinstance(result, Rejected):
            self.rejected.add(call)

    def plan(self, edit, read_set):
        return plan_edit(edit, read_set, 0.0)

    @rule(name=st.sampled_from("ab"), stale=st.booleans())
    def call(self, name, stale):
        row = self.row(RECORDS, record_key("model", name))
        touched = decode_stored(row)[2].touched if row else 0
        call = f"c{len(self.edits)}"
        edit = Edit("model", name, Model(name, version=call), touched - (stale and 1), call)
        self.edits[call] = edit
        read_set = self.read_rows(edit)
        self.settle(call, read_set, self.plan(edit, read_set))

    @precondition(lambda self: self.planned)
    @rule(data=st.data(), fate=st.sampled_from(("answered", "lost", "late")))
    def commit(self, data, fate):
        call = data.draw(st.sampled_from(sorted(self.planned)))
        read_set, transaction = self.planned[call]
        result = LOST
        if fate == "late":
            self.late.append(transaction.writes)
        else:
            answer = self.table.commit_now(transaction.writes)
            result = answer if fate == "answered" else LOST
        outcome = interpret_result(self.edits[call], read_set, transaction, result)
        if isinstance(outcome, Retry):
            again = self.plan(self.edits[call], outcome.read_set)
            self.settle(call, outcome.read_set, again)
        elif result is not LOST:
            self.settle(call, read_set, outcome)

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def apply_late(self, data):
        self.table.commit_now(self.late.pop(data.draw(st.integers(0, len(self.late) - 1))))

    @precondition(lambda self: self.edits)
    @rule(data=st.data())
    def repeat(self, data):
        call = data.draw(st.sampled_from(sorted(self.edits)))
        read_set = self.read_rows(self.edits[call])
        self.settle(call, read_set, self.plan(self.edits[call], read_set))

    @invariant()
    def accepted_changes_are_made_once_and_in_order(self):
        changes = [decode_change(row.value) for row in self.table.scan_now(LOG, "", "", 1000)]
        assert [change.version for change in changes] == list(range(1, len(changes) + 1))
        assert decode_version(self.row(CONFIG, VERSION_KEY)) == len(changes)
        applied = Counter(change.call_id for change in changes)
        assert all(count == 1 for count in applied.values())
        for call, version in self.accepted.items():
            assert changes[version - 1].call_id == call
        assert self.rejected.isdisjoint(applied), "the change of a rejected call was made"


class WithoutCallRow(Editing):
    """The transaction does not write the call's row."""

    def plan(self, edit, read_set):
        planned = super().plan(edit, read_set)
        if not isinstance(planned, Transaction):
            return planned
        return attrs.evolve(
            planned, writes=tuple(one for one in planned.writes if one.table != CALLS)
        )


class WithoutVersionRow(Editing):
    """The transaction is not conditional on the version row and does not advance it."""

    def plan(self, edit, read_set):
        planned = super().plan(edit, read_set)
        if not isinstance(planned, Transaction):
            return planned
        return attrs.evolve(
            planned, writes=tuple(one for one in planned.writes if one.table != CONFIG)
        )


def test_accepted_changes_are_made_once_and_in_order():
    run_state_machine_as_test(Editing, settings=RUNS)


@pytest.mark.parametrize("broken", [WithoutCallRow, WithoutVersionRow])
def test_omitting_a_row_from_the_transaction_is_detected(broken):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(broken, settings=RUNS)
