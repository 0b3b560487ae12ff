"""Which versions an engine's work runs on."""

from persimmonstall.orders import Artifact, LoadedState
from persimmonstall.orders.plan import VERSION_MARK, version_for


class Versions:
    """What one engine has and shall have, as its backend and its order keeper share it.

    `desired` is None while no placement names the endpoint: everything loaded is served.
    `retired` holds what is being unloaded.
    """

    def __init__(self):
        self.desired = None
        self.loaded = LoadedState()
        self.retired = set()

    def see(self, loaded, desired):
        """Take in a load report and what the catalogue wants."""
        self.loaded = loaded
        self.desired = desired
        present = loaded.models | loaded.adapters
        wanted = desired.models | desired.adapters if desired else frozenset()
        self.retired &= present - wanted

    def model(self, name):
        """Return the version that new work on model `name` runs on, "" to leave it open."""
        return self.choose(name, "models")

    def adapter(self, name):
        """Return the version that new work on adapter `name` runs on, "" to leave it open."""
        return self.choose(name, "adapters")

    def choose(self, name, field):
        """Return the version of new work among the models or adapters."""
        if self.desired is None:
            return ""
        loaded = getattr(self.loaded, field) - self.retired
        return version_for(name, getattr(self.desired, field), loaded)

    def serves(self, submit, reported):
        """Return whether the versions that a resumed `Submit` names are here to stay.

        `reported` is the engine's load report.
        """
        wanted = [(Artifact(submit.model, submit.version), reported.models)]
        if submit.adapter_version:
            artifact = Artifact(submit.adapter, submit.adapter_version)
            wanted.append((artifact, reported.adapters))
        return all(
            str(artifact) in names and artifact not in self.retired for artifact, names in wanted
        )

    def shown(self, names, field):
        """Return the reported names that entries may place work on.

        >>> from persimmonstall.orders import DesiredState
        >>> versions = Versions()
        >>> versions.see(LoadedState(), DesiredState(frozenset({Artifact("m", "2")})))
        >>> versions.shown(("m", "m@1", "n"), "models")
        ('m', 'm@1')
        """
        if self.desired is None:
            return names
        wanted = {artifact.name for artifact in getattr(self.desired, field)}
        return tuple(name for name in names if name.partition(VERSION_MARK)[0] in wanted)
