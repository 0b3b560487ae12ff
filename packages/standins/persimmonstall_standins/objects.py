"""In-memory stand-in for the platform's object store."""

from persimmonstall.outside.objects import ObjectStore

from .faults import FaultyStore


class MemoryObjects(FaultyStore, ObjectStore):
    """An object store in memory; `objects` maps names to bytes."""

    def __init__(self, faults=None, **options):
        super().__init__(faults, name="objects", **options)
        self.objects = {}

    async def put(self, name, data, timeout):
        """Store `data` under `name`; return True or a `Failure`."""
        return await self.run_write("put", lambda: self.put_now(name, data), timeout)

    async def get(self, name, timeout):
        """Return the bytes, None when absent, or a `Failure`."""
        return await self.run_read("get", lambda: self.objects.get(name), timeout)

    async def list(self, prefix, timeout):
        """Return the names with `prefix`, sorted, or a `Failure`."""
        return await self.run_read("list", lambda: self.list_now(prefix), timeout)

    async def delete(self, name, timeout):
        """Delete `name`; return True or a `Failure`."""
        return await self.run_write("delete", lambda: self.delete_now(name), timeout)

    def put_now(self, name, data):
        """Store an object."""
        self.objects[name] = bytes(data)
        return True

    def list_now(self, prefix):
        """Return the sorted names with `prefix`."""
        return tuple(sorted(name for name in self.objects if name.startswith(prefix)))

    def delete_now(self, name):
        """Delete an object if it is there."""
        self.objects.pop(name, None)
        return True
