"""Weights versions that the work of an engine runs on."""

from persimmonstall.orders import Artifact, LoadedState
from persimmonstall.orders.plan import VERSION_MARK, version_for


class WeightVersions:
    """Loaded and desired weights versions of one engine.

    Shared by its backend and its `OrderReconciler`.  `desired` is None while no placement names
    the endpoint; everything loaded is then served.  `retired` holds the artifacts that are
    being unloaded.
    """

    def __init__(self):
        self.desired = None
        self.loaded = LoadedState()
        self.retired = set()

    def update(self, loaded, desired):
        """Update from a load report and the catalogue's desired state."""
        self.loaded = loaded
        self.desired = desired
        present = loaded.models | loaded.adapters
        wanted = desired.models | desired.adapters if desired else frozenset()
        self.retired &= present - wanted

    def model(self, name):
        """Return the version for new work on model `name`, "" for the engine's choice."""
        return self.choose(name, "models")

    def adapter(self, name):
        """Return the version for new work on adapter `name`, "" for the engine's choice."""
        return self.choose(name, "adapters")

    def choose(self, name, field):
        """Return the version for new work; `field` is "models" or "adapters"."""
        if self.desired is None:
            return ""
        loaded = getattr(self.loaded, field) - self.retired
        return version_for(name, getattr(self.desired, field), loaded)

    def serves(self, submit, reported):
        """Return whether the versions of a resumed `Submit` are loaded and not being unloaded.

        `reported` is the engine's load report.
        """
        wanted = [(Artifact(submit.model, submit.version), reported.models)]
        if submit.adapter_version:
            artifact = Artifact(submit.adapter, submit.adapter_version)
            wanted.append((artifact, reported.adapters))
        return all(
            str(artifact) in names and artifact not in self.retired for artifact, names in wanted
        )

    def placeable(self, names, field):
        """Return the reported names that entries may place work on.

        >>> from persimmonstall.orders import DesiredState
        >>> versions = WeightVersions()
        >>> versions.update(LoadedState(), DesiredState(frozenset({Artifact("m", "2")})))
        >>> versions.placeable(("m", "m@1", "n"), "models")
        ('m', 'm@1')
        """
        if self.desired is None:
            return names
        wanted = {artifact.name for artifact in getattr(self.desired, field)}
        return tuple(name for name in names if name.partition(VERSION_MARK)[0] in wanted)
