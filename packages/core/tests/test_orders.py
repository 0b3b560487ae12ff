import pytest

from persimmonstall.orders import (
    AcquireLease,
    Artifact,
    DesiredState,
    LoadedState,
    WaitForLease,
    next_step,
    plan_acquisition,
)
from persimmonstall.orders.lease import LeaseRow, decode, encode, release
from persimmonstall.orders.plan import OrderStep, version_for
from persimmonstall.outside.engine import OrderAction
from persimmonstall.outside.table import Row

OLD, NEW = Artifact("m", "1"), Artifact("m", "2")


def apply(loaded, step):
    """Return the state of an engine after it has executed an order."""
    artifact = Artifact(step.name, step.version)
    models = {
        OrderAction.LOAD_MODEL: loaded.models | {artifact},
        OrderAction.UNLOAD_MODEL: loaded.models - {artifact},
    }
    adapters = {
        OrderAction.LOAD_ADAPTER: loaded.adapters | {artifact},
        OrderAction.UNLOAD_ADAPTER: loaded.adapters - {artifact},
    }
    role = step.name if step.action is OrderAction.SET_ROLE else loaded.role
    return LoadedState(
        models.get(step.action, loaded.models), adapters.get(step.action, loaded.adapters), role
    )


def test_orders_lead_to_the_desired_state():
    desired = DesiredState(
        frozenset({NEW, Artifact("n", "1")}), frozenset({Artifact("a", "3")}), "decode"
    )
    loaded = LoadedState(frozenset({OLD}), frozenset({Artifact("b", "1")}))
    steps = []
    while step := next_step(desired, loaded, set()):
        steps.append(step.action)
        loaded = apply(loaded, step)
    assert (loaded.models, loaded.adapters, loaded.role) == (
        desired.models,
        desired.adapters,
        "decode",
    )
    assert steps.index(OrderAction.LOAD_ADAPTER) > steps.index(OrderAction.LOAD_MODEL)
    assert steps[-1] is OrderAction.UNLOAD_MODEL


def test_a_version_in_use_is_not_unloaded():
    loaded = LoadedState(frozenset({OLD, NEW}))
    desired = DesiredState(frozenset({NEW}))
    assert next_step(desired, loaded, {OLD}) is None
    assert next_step(desired, loaded, set()) == OrderStep(OrderAction.UNLOAD_MODEL, "m", "1")
    assert version_for("m", desired.models, loaded.models) == "2"


@pytest.mark.parametrize(
    "holder, unchanged, fence",
    [("me", 0.0, 7), ("", 0.0, 8), ("other", 10.0, 8), ("other", 9.9, None)],
)
def test_a_lease_is_acquired_if_it_is_own_released_or_expired(holder, unchanged, fence):
    row = Row("t", "e", 5, encode(LeaseRow(holder, 7)))
    decision = plan_acquisition(row, "e", "me", unchanged, 10.0)
    if fence is None:
        assert isinstance(decision, WaitForLease)
    else:
        assert (
            isinstance(decision, AcquireLease)
            and decision.fence == fence
            and decision.write.expected == 5
        )


def test_only_the_holder_releases_and_the_fence_stays():
    row = Row("t", "e", 5, encode(LeaseRow("me", 7)))
    assert release(row, "e", "other") is None
    assert decode(release(row, "e", "me").value) == LeaseRow("", 7)
