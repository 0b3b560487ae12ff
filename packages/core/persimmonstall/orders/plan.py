"""The next order that moves an engine towards its desired state.

A new version is loaded beside the old one and gets all new work; the old one is unloaded once
nothing runs on it, so that a rollout interrupts no stream.
"""

import attrs

from ..outside.engine import OrderAction
from .desired import Artifact

VERSION_MARK = "@"


@attrs.frozen
class LoadedState:
    """Models, adapters and role that an engine reports."""

    models: frozenset[Artifact] = frozenset()
    adapters: frozenset[Artifact] = frozenset()
    role: str = "mixed"


@attrs.frozen
class OrderStep:
    """One order, without its fencing number."""

    action: OrderAction
    name: str
    version: str = ""

    @property
    def loads(self):
        """Whether the engine has to fetch weights for the order."""
        return self.action in (OrderAction.LOAD_MODEL, OrderAction.LOAD_ADAPTER)


def loaded_of(load):
    """Return the `LoadedState` from an engine's load report.

    >>> from ..outside.engine import EngineLoad
    >>> report = EngineLoad(0, 0, 0, 0, 0, 0.0, models=("m", "m@1"))
    >>> [str(one) for one in loaded_of(report).models]
    ['m@1']
    """
    return LoadedState(parse_artifacts(load.models), parse_artifacts(load.adapters), load.role)


def parse_artifacts(names):
    """Return the artifacts among the reported names; names without a version are ignored."""
    pairs = (name.rpartition(VERSION_MARK) for name in names if VERSION_MARK in name)
    return frozenset(Artifact(name, version) for name, _, version in pairs)


def next_step(desired, loaded, in_use):
    """Return the next `OrderStep`, or None if there is nothing to do now.

    `in_use` are the artifacts that unfinished work runs on, which are not unloaded.  Models are
    loaded before adapters, and everything is loaded before anything is unloaded.

    >>> from .desired import DesiredState
    >>> old, new = Artifact("m", "1"), Artifact("m", "2")
    >>> next_step(DesiredState(frozenset({new})), LoadedState(frozenset({old})), {old}).action
    <OrderAction.LOAD_MODEL: 'load_model'>
    >>> next_step(
    ...     DesiredState(frozenset({new})), LoadedState(frozenset({old, new})), {old}
    ... ) is None
    True
    """
    for step in missing(desired, loaded):
        return step
    for action, artifact in surplus(desired, loaded):
        if artifact not in in_use:
            return OrderStep(action, artifact.name, artifact.version)
    return None


def missing(desired, loaded):
    """Yield the orders that load what is missing and set the role."""
    for artifact in ordered(desired.models - loaded.models):
        yield OrderStep(OrderAction.LOAD_MODEL, artifact.name, artifact.version)
    for artifact in ordered(desired.adapters - loaded.adapters):
        yield OrderStep(OrderAction.LOAD_ADAPTER, artifact.name, artifact.version)
    if desired.role != loaded.role:
        yield OrderStep(OrderAction.SET_ROLE, desired.role)


def surplus(desired, loaded):
    """Yield an (order action, artifact) pair for each artifact to unload."""
    for artifact in ordered(loaded.adapters - desired.adapters):
        yield OrderAction.UNLOAD_ADAPTER, artifact
    for artifact in ordered(loaded.models - desired.models):
        yield OrderAction.UNLOAD_MODEL, artifact


def ordered(artifacts):
    """Return artifacts in a fixed order."""
    return sorted(artifacts, key=str)


def version_for(name, desired, loaded):
    """Return the version of `name` that new work runs on, "" if none is loaded.

    >>> old, new = Artifact("m", "1"), Artifact("m", "2")
    >>> version_for("m", {new}, {old}), version_for("m", {new}, {old, new})
    ('1', '2')
    """
    loaded_versions = [one for one in ordered(loaded) if one.name == name]
    desired_versions = [one for one in loaded_versions if one in desired]
    chosen = desired_versions or loaded_versions
    return chosen[-1].version if chosen else ""
