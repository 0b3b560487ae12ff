"""Desired state of an endpoint, from the catalogue."""

import attrs


@attrs.frozen
class Artifact:
    """A version of a model's or an adapter's weights."""

    name: str
    version: str

    def __str__(self):
        return f"{self.name}@{self.version}"


@attrs.frozen
class DesiredState:
    """Models, adapters and role that an engine should have."""

    models: frozenset[Artifact] = frozenset()
    adapters: frozenset[Artifact] = frozenset()
    role: str = "mixed"
    fence_checked: bool = True


def desired_of(catalogue, endpoint):
    """Return the `DesiredState` of an endpoint, None if it has no placement.

    A placement's models and adapters that were deleted from the catalogue are left out.

    >>> from ..catalogue import Catalogue, Change, Model, Placement
    >>> catalogue = Catalogue()
    >>> _ = catalogue.apply(Change(1, "model", "m", Model("m", version="2")))
    >>> _ = catalogue.apply(Change(2, "placement", "e", Placement("e", models=("m", "x"))))
    >>> [str(one) for one in desired_of(catalogue, "e").models]
    ['m@2']
    """
    placement = catalogue.get("placement", endpoint)
    if placement is None:
        return None
    return DesiredState(
        artifacts(catalogue.records["model"], placement.models),
        artifacts(catalogue.records["adapter"], placement.adapters),
        placement.role,
        placement.fence_checked,
    )


def artifacts(records, names):
    """Return the current versions of the named records, without those that do not exist."""
    known = [records[name] for name in names if name in records]
    return frozenset(Artifact(one.name, one.version) for one in known)
