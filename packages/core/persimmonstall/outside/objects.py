"""The platform's object store."""

import abc


class ObjectStore(abc.ABC):
    """A store of objects by name, with the same outages and lost responses as `Table`."""

    @abc.abstractmethod
    async def put(self, name, data, timeout):
        """Store `data` (bytes) as `name`; return True or a `Failure`."""

    @abc.abstractmethod
    async def get(self, name, timeout):
        """Return the object's bytes, None if it does not exist, or a `Failure`."""

    @abc.abstractmethod
    async def list(self, prefix, timeout):
        """Return the sorted names that start with `prefix`, or a `Failure`."""

    @abc.abstractmethod
    async def delete(self, name, timeout):
        """Delete `name`; return True, also if it does not exist, or a `Failure`."""
