"""Model-check the specifications by exhaustive search.

Also checks that every mutated specification violates its invariant, which shows that the
invariants can fail.
"""

import sys

from minicheck import check_safety

from persimmonstall_standins.specification.mutations import checks, mutations

MAX_STATES = 400_000


def check(name, protocol):
    """Check the invariants in every reachable state; return whether all of them hold."""
    result = check_safety(protocol, MAX_STATES)
    properties = result["properties"]
    failed_invariants = [key for key, found in properties.items() if found["holds"] is not True]
    print(f"{result['reachable_states']:>8} states  {name}: {result_text(failed_invariants)}")
    for key in failed_invariants:
        print_trace(key, properties[key])
    return not failed_invariants


def result_text(failed_invariants):
    """Return the result text for a list of violated or undecided invariants."""
    return f"NOT PROVED: {', '.join(failed_invariants)}" if failed_invariants else "holds"


def print_trace(invariant, found):
    """Print the steps of the counterexample to an invariant, if there is one."""
    for step in found["counterexample"] or ():
        print(f"    {invariant}: {step['label']}")


def refute(name, protocol, invariant):
    """Return whether a mutated specification violates `invariant`, as it should."""
    result = check_safety(protocol, MAX_STATES)
    found = result["properties"][invariant]
    refuted = found["holds"] is False
    steps = len(found["counterexample"]) - 1 if refuted else 0
    words = f"refuted in {steps} steps" if refuted else "NOT REFUTED"
    print(f"{result['reachable_states']:>8} states  mutation, {name}: {words} ({invariant})")
    return refuted


def main():
    """Run every check; return the exit code."""
    proved = [check(name, protocol) for name, protocol in checks()]
    refuted = [refute(*mutation) for mutation in mutations()]
    return 0 if all(proved + refuted) else 1


if __name__ == "__main__":
    sys.exit(main())
