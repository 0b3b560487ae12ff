"""Reads the catalogue from the table and the object store."""

import msgspec

from persimmonstall.catalogue.layout import (
    CONFIG,
    LOG,
    RECORDS,
    SNAPSHOT_KEY,
    SNAPSHOT_PREFIX,
    VERSION_KEY,
    decode_stored,
    decode_version,
    log_key,
    snapshot_name,
)
from persimmonstall.catalogue.snapshot import Catalogue, decode_change
from persimmonstall.failures import Failure, Reason

PAGE_ROWS = 500


class CatalogueReader:
    """Reads versions, changes and whole catalogues; any result may be stale."""

    def __init__(self, settings, table, objects):
        self.settings = settings
        self.table = table
        self.objects = objects

    @property
    def timeout(self):
        """Timeout of one call, in seconds."""
        return self.settings.platform.timeout

    async def version(self):
        """Return the version in the table's version row, or a `Failure`."""
        row = await self.table.read(CONFIG, VERSION_KEY, self.timeout)
        return row if isinstance(row, Failure) else decode_version(row)

    async def changes(self, version):
        """Return logged changes after `version`, oldest first, or a `Failure`.

        There may be more of them if the result has `PAGE_ROWS` changes.
        """
        after = log_key(version)
        rows = await self.table.scan(LOG, "", after, PAGE_ROWS, self.timeout)
        if isinstance(rows, Failure):
            return rows
        try:
            return [decode_change(row.value) for row in rows]
        except (msgspec.MsgspecError, ValueError) as error:
            return Failure(Reason.INTERNAL, "catalogue_log", "table", str(error))

    async def snapshot(self):
        """Return the stored `Catalogue` of the table's snapshot row, None, or a `Failure`."""
        version = await self.snapshot_version()
        if isinstance(version, Failure):
            return version
        if not version:
            return None
        return await self.load_snapshot(snapshot_name(version))

    async def snapshot_version(self):
        """Return the version in the table's snapshot row, 0 for none, or a `Failure`."""
        row = await self.table.read(CONFIG, SNAPSHOT_KEY, self.timeout)
        return row if isinstance(row, Failure) else decode_version(row)

    async def load_snapshot(self, name):
        """Return the `Catalogue` stored as object `name`, None, or a `Failure`."""
        data = await self.objects.get(name, self.timeout)
        if data is None or isinstance(data, Failure):
            return data
        try:
            return Catalogue.load(data)
        except (msgspec.MsgspecError, KeyError, ValueError) as error:
            return Failure(Reason.STORE_DOWN, "catalogue_snapshot", name, str(error))

    async def records(self):
        """Return the whole `Catalogue` from the rows of the table, or a `Failure`.

        Rows may change while they are scanned, so the changes logged since the start of the
        scan are applied on top, up to the version at the end of the scan.
        """
        start_version = await self.version()
        if isinstance(start_version, Failure):
            return start_version
        catalogue = Catalogue()
        failure = await self.scan_into(catalogue)
        if failure is not None:
            return failure
        catalogue.version = start_version
        end_version = await self.version()
        if isinstance(end_version, Failure):
            return end_version
        return await self.catch_up(catalogue, end_version)

    async def scan_into(self, catalogue):
        """Load all rows of records into `catalogue`; return None or a `Failure`."""
        after = ""
        while True:
            rows = await self.table.scan(RECORDS, "", after, PAGE_ROWS, self.timeout)
            if isinstance(rows, Failure):
                return rows
            try:
                put_all(catalogue, rows)
            except (msgspec.MsgspecError, KeyError) as error:
                return Failure(Reason.INTERNAL, "catalogue_scan", "table", str(error))
            if len(rows) < PAGE_ROWS:
                return None
            after = rows[-1].key

    async def catch_up(self, catalogue, version):
        """Apply logged changes up to `version`; return the catalogue or a `Failure`."""
        while catalogue.version < version:
            changes = await self.changes(catalogue.version)
            if isinstance(changes, Failure):
                return changes
            if not all(map(catalogue.apply, changes)) or not changes:
                return Failure(Reason.TABLE_DOWN, "catalogue_scan", detail="stale or missing rows")
        return catalogue

    async def load_newest_snapshot(self):
        """Return the newest `Catalogue` in the object store, None, or a `Failure`.

        Unlike `snapshot`, this does not need the table.
        """
        names = await self.objects.list(SNAPSHOT_PREFIX, self.timeout)
        if isinstance(names, Failure):
            return names
        return await self.load_snapshot(names[-1]) if names else None


def put_all(catalogue, rows):
    """Put the records of `rows` into `catalogue`; raise MsgspecError or KeyError."""
    for row in rows:
        kind, name, stored = decode_stored(row)
        catalogue.put(kind, name, stored.value)
        catalogue.touched[kind, name] = stored.touched
