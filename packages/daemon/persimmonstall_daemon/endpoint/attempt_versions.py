"""Chooses the weights versions that attempts run on and reports them to the entries."""

from persimmonstall.messages import requests


class AttemptVersions:
    """The weights versions of the attempts of `backend`; called from its task only."""

    def __init__(self, backend):
        self.backend = backend

    def choose(self, attempt):
        """Choose the weights versions of an attempt that has none, and report them."""
        submit = attempt.submit
        if attempt.version:
            return
        attempt.version = self.backend.versions.model(submit.model)
        if submit.adapter:
            attempt.adapter_version = self.backend.versions.adapter(submit.adapter)
        self.report(attempt)

    def report(self, attempt):
        """Report the weights versions of an attempt to its entry, if they are chosen here."""
        if attempt.version and attempt.session is not None:
            versions = (attempt.version, attempt.adapter_version)
            attempt.session.send(requests.Started(*attempt.key, *versions))

    def lacks_version(self, submit):
        """Return whether an attempt resumes an answer whose weights version is not available."""
        if not submit.version:
            return False
        return not self.backend.versions.serves(submit, self.backend.last_report)
