"""Model of claim, start, give-up and resend with a table that delays or loses its replies.

Two entries send the same key.  The message of the first one is delivered to two daemons beside
one endpoint, and the first entry may renew its ticket and retry.  Every step calls the decision
functions of the production code.  A crash is a process that takes no further step, a pause one
that takes its next step late.  Tests replace `Rules` to check that mutations are refuted.
"""

import functools

import attrs
from minicheck import Protocol

from persimmonstall.claims import outcomes, records, starting, writes
from persimmonstall.claims.planning import Replay, plan_keyed_request
from persimmonstall.claims.starting import MAX_TRIES, GiveUp, GiveUpState, Phase, Progress
from persimmonstall.failures import Failure, Outcome, Reason, Refusal
from persimmonstall.messages.requests import ClaimTicket, Work
from persimmonstall.outside.table import Committed, Conflict, Row

ROW = "row"
HASH = "hash"
WALL_TIME = 0.0
DOWN = Failure(Reason.TABLE_DOWN, "commit", "table")
UNKNOWN = Failure(Reason.AMBIGUOUS, "commit", "table")
REFUSAL = Refusal(Reason.PEER_LOST, "dispatch", outcome=Outcome.UNKNOWN)
FIELDS = ("row", "late", "attempts", "entries", "ran")
ONE_RETRY_START = Progress(tries=MAX_TRIES - 1)
ONE_RETRY_GIVE_UP = GiveUp(tries=MAX_TRIES - 1)
SENT_BY = {"a0": 0, "a0-copy": 0, "a1": 0, "b0": 1}
"""Index of the entry that sent each attempt."""


@attrs.frozen
class Rules:
    """The decision functions under test; the defaults are those of the production code.

    Starts and give-ups have a single retry left, which bounds the number of states.
    """

    advance_start: object = staticmethod(starting.advance_start)
    advance_give_up: object = staticmethod(starting.advance_give_up)
    applies: object = staticmethod(lambda row, write: starting.version_of(row) == write.expected)
    pending: object = staticmethod(lambda version, write: write.expected >= version)
    first_start: Progress = ONE_RETRY_START
    first_give_up: GiveUp = ONE_RETRY_GIVE_UP


@attrs.frozen
class Attempt:
    """Delivery to one daemon; `stage`: unsent, start, won, running, abandoning, ended."""

    stage: str = "unsent"
    ticket: ClaimTicket | None = None
    progress: Progress = attrs.field(factory=Progress)


@attrs.frozen
class Entry:
    """One entry; `stage`: idle, waiting, giving_up, told.  `reply` is what the caller got."""

    stage: str = "idle"
    ticket: ClaimTicket | None = None
    give_up: GiveUp = attrs.field(factory=GiveUp)
    renewed: bool = False
    reply: str = ""


def replaced(values, index, value):
    """Return the tuple `values` with one item replaced."""
    return (*values[:index], value, *values[index + 1 :])


def written(row, write):
    """Return `row` after `write` is applied."""
    return Row(write.table, write.key, starting.version_of(row) + 1, write.value)


class ClaimSpecification:
    """Transition system of the attempts in `names`."""

    def __init__(self, names=("a0", "a0-copy", "a1", "b0"), rules=None, down=False):
        self.names = names
        self.rules = rules or Rules()
        self.down = down
        """Whether calls may also fail without effect; the process then stops, as in a crash."""
        self.advance_start = functools.lru_cache(None)(self.rules.advance_start)
        self.advance_give_up = functools.lru_cache(None)(self.rules.advance_give_up)

    def protocol(self):
        """Return the `Protocol` that `minicheck.check_safety` takes."""
        attempts = tuple(Attempt() for _ in self.names)
        initial = (None, frozenset(), attempts, (Entry(), Entry()), ())
        invariants = {
            "at_most_once": lambda state: len(state["ran"]) <= 1,
            "not_run_is_true": self.not_run_is_true,
            "replay_has_run": self.replay_has_run,
        }
        return Protocol("claims", False, FIELDS, initial, self.transitions, invariants)

    def not_run_is_true(self, state):
        """Whether no attempt has run whose entry replied "not run"."""
        not_run = {i for i, entry in enumerate(state["entries"]) if entry.reply == "not_run"}
        return not any(SENT_BY[name] in not_run for name in state["ran"])

    def replay_has_run(self, state):
        """Whether a stored answer is replied only after an attempt has run."""
        return bool(state["ran"]) or all(entry.reply != "answer" for entry in state["entries"])

    def transitions(self, state):
        """Return every (label, next state)."""
        found = list(self.late_writes(state))
        for index, name in enumerate(self.names):
            found.extend(self.attempt_steps(state, index, name))
        for index in range(len(state[3])):
            found.extend(self.entry_steps(state, index))
        return [(label, self.pruned(after)) for label, after in found]

    def pruned(self, state):
        """Return the state without delayed writes that can no longer be applied."""
        row, late, *rest = state
        version = starting.version_of(row)
        possible = frozenset(write for write in late if self.rules.pending(version, write))
        return (row, possible, *rest)

    def late_writes(self, state):
        """Yield the steps in which a delayed write is applied or fails its version check."""
        row, late, *rest = state
        for write in late:
            after = written(row, write) if self.rules.applies(row, write) else row
            yield f"late write {write.expected}", (after, late - {write}, *rest)

    def commits(self, state, write):
        """Yield (label, row, late, answer) for each possible outcome of a commit."""
        row, late = state[:2]
        if self.rules.applies(row, write):
            after = written(row, write)
            yield "committed", after, late, Committed((after.version,))
            yield "answer lost", after, late, UNKNOWN
            yield "delayed", row, late | {write}, UNKNOWN
        else:
            yield "conflict", row, late, Conflict((row,))
            yield "conflict lost", row, late, UNKNOWN
        if self.down:
            yield "down", row, late, DOWN

    def reads(self, state):
        """Yield (label, answer) for each possible outcome of a read."""
        yield "read", state[0]
        if self.down:
            yield "read fails", DOWN

    def with_attempt(self, state, index, attempt, row=None, late=None, ran=None):
        """Return the state with one attempt and the given fields replaced."""
        return (
            state[0] if row is None else row,
            state[1] if late is None else late,
            replaced(state[2], index, attempt),
            state[3],
            state[4] if ran is None else ran,
        )

    def attempt_steps(self, state, index, name):
        """Yield the steps of the daemon that has the attempt `name`."""
        attempt = state[2][index]
        if attempt.stage == "start":
            yield from self.start_steps(state, index, name, attempt)
        elif attempt.stage == "won":
            yield from self.won_steps(state, index, name, attempt)
        elif attempt.stage == "running":
            yield from self.closing_steps(state, index, name, attempt, self.finish_write)
        elif attempt.stage == "abandoning":
            yield from self.closing_steps(state, index, name, attempt, self.abandon_write)

    def start_steps(self, state, index, name, attempt):
        """Yield the steps of a start, which competes for the row."""
        phase = attempt.progress.phase
        if phase in (Phase.READ, Phase.FENCE_READ):
            for label, answer in self.reads(state):
                after = self.advanced(attempt, answer, name)
                yield f"{name} {phase} {label}", self.with_attempt(state, index, after)
            return
        write = writes.start_write(attempt.ticket, name, "endpoint", WALL_TIME)
        if phase is Phase.FENCE:
            write = writes.give_up_write(attempt.ticket, WALL_TIME)
        for label, row, late, answer in self.commits(state, write):
            after = self.advanced(attempt, answer, name)
            next_state = self.with_attempt(state, index, after, row, late)
            yield f"{name} {phase} {label}", next_state

    def advanced(self, attempt, answer, name):
        """Return the attempt after one reply of the table."""
        progress = self.advance_start(attempt.progress, answer, attempt.ticket, name)
        stage = "start"
        if progress.done:
            stage = "won" if progress.phase is Phase.WON else "ended"
        version = progress.version if stage == "won" else 0
        kept = Progress(progress.phase, progress.tries, progress.dirty, None, version)
        return Attempt("ended") if stage == "ended" else Attempt(stage, attempt.ticket, kept)

    def won_steps(self, state, index, name, attempt):
        """Yield the steps after a won start: run the attempt, or abandon it as too late."""
        running = attrs.evolve(attempt, stage="running")
        ran = (*state[4], name)
        yield f"{name} hands over", self.with_attempt(state, index, running, ran=ran)
        abandoning = attrs.evolve(attempt, stage="abandoning")
        yield f"{name} is too late", self.with_attempt(state, index, abandoning)

    def finish_write(self, attempt, name):
        """Return the write that stores the answer."""
        answer = records.Answer(200, "")
        version = attempt.progress.version
        return writes.finish_write(attempt.ticket, version, name, answer, WALL_TIME)

    def abandon_write(self, attempt, _name):
        """Return the write that reverts the start."""
        return writes.abandon_write(attempt.ticket, attempt.progress.version, WALL_TIME)

    def closing_steps(self, state, index, name, attempt, make_write):
        """Yield the steps that store the answer or revert the start; retry an unknown outcome."""
        write = make_write(attempt, name)
        for label, row, late, answer in self.commits(state, write):
            done = isinstance(answer, Committed | Conflict)
            after = Attempt("ended") if done else attempt
            next_state = self.with_attempt(state, index, after, row, late)
            yield f"{name} {attempt.stage} {label}", next_state

    def entry_steps(self, state, index):
        """Yield the steps of one entry."""
        entry = state[3][index]
        if entry.stage == "idle":
            yield from self.plan_steps(state, index)
        elif entry.stage == "waiting":
            giving = attrs.evolve(entry, stage="giving_up", give_up=self.rules.first_give_up)
            yield f"entry {index} gives up", self.with_entry(state, index, giving)
        elif entry.stage == "giving_up":
            yield from self.give_up_steps(state, index, entry)

    def with_entry(self, state, index, entry, row=None, late=None, attempts=None):
        """Return the state with the entry `index` replaced, and what else is not None."""
        return (
            state[0] if row is None else row,
            state[1] if late is None else late,
            state[2] if attempts is None else attempts,
            replaced(state[3], index, entry),
            state[4],
        )

    def plan_steps(self, state, index):
        """Yield the steps of a new request: send an attempt, or reply at once."""
        decision = plan_keyed_request(state[0], ROW, "key", HASH, WALL_TIME)
        if isinstance(decision, ClaimTicket):
            entry = Entry("waiting", decision)
            first = "a0" if index == 0 else "b0"
            attempts = self.sent(state, (first, f"{first}-copy"), decision)
            yield f"entry {index} sends", self.with_entry(state, index, entry, attempts=attempts)
            return
        reply = "answer" if isinstance(decision, Replay) else decision.outcome.value
        yield f"entry {index} tells", self.with_entry(state, index, Entry("told", reply=reply))

    def sent(self, state, names, ticket):
        """Return the attempts with `names` sent; each may start at any time."""
        attempts = state[2]
        for position, name in enumerate(self.names):
            if name in names:
                attempts = replaced(
                    attempts, position, Attempt("start", ticket, self.rules.first_start)
                )
        return attempts

    def give_up_steps(self, state, index, entry):
        """Yield the steps of a give-up: write it, or read the row after an unknown outcome."""
        if entry.give_up.done:
            yield from self.given_up(state, index, entry, entry.give_up, state[0], state[1])
        elif entry.give_up.state is GiveUpState.READ:
            for label, answer in self.reads(state):
                give_up = self.advance_give_up(entry.give_up, answer, entry.ticket)
                yield from self.given_up(state, index, entry, give_up, state[0], state[1], label)
        else:
            write = writes.give_up_write(entry.ticket, WALL_TIME)
            for label, row, late, answer in self.commits(state, write):
                give_up = self.advance_give_up(entry.give_up, answer, entry.ticket)
                yield from self.given_up(state, index, entry, give_up, row, late, label)

    def given_up(self, state, index, entry, give_up, row, late, label=""):
        """Yield the steps after a reply to a give-up: continue, reply to the caller, or retry."""
        label = f"entry {index} give-up {label}"
        if not give_up.done:
            after = attrs.evolve(entry, give_up=give_up)
            yield label, self.with_entry(state, index, after, row, late)
            return
        work = work_of(entry.ticket)
        decision = outcomes.after_give_up(work, REFUSAL, give_up)
        reply = "answer" if isinstance(decision, Replay) else decision.outcome.value
        after = Entry("told", reply=reply)
        yield f"{label} tells {reply}", self.with_entry(state, index, after, row, late)
        may_renew = index == 0 and not entry.renewed and "a1" in self.names
        if may_renew and give_up.state is GiveUpState.NOT_RUN:
            ticket = outcomes.next_ticket(entry.ticket, give_up, WALL_TIME)
            again = Entry("waiting", ticket, renewed=True)
            attempts = self.sent(state, ("a1",), ticket)
            next_state = self.with_entry(state, index, again, row, late, attempts)
            yield f"{label} renews", next_state


@functools.lru_cache(None)
def work_of(ticket):
    """Return non-idempotent work with a key and `ticket`."""
    return Work("r", "o", b"", 0.0, 0.0, idempotent=False, key="key", ticket=ticket)
