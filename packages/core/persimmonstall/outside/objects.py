"""The platform's object store."""

import abc


class ObjectStore(abc.ABC):
    """Whole objects by name; the same outages and lost answers as the table service."""

    @abc.abstractmethod
    async def put(self, name, data, timeout):
        """Store `data` (bytes) under `name`; return True or a `Failure`."""

    @abc.abstractmethod
    async def get(self, name, timeout):
        """Return the bytes, None when absent, or a `Failure`."""

    @abc.abstractmethod
    async def list(self, prefix, timeout):
        """Return the names with `prefix`, sorted, or a `Failure`."""

    @abc.abstractmethod
    async def delete(self, name, timeout):
        """Delete `name`; deleting an absent object succeeds.  Return True or a `Failure`."""
