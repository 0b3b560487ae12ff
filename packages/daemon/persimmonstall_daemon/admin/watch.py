"""The stream of catalogue changes as this daemon applies them."""

import attrs
import msgspec

from . import persimmonstall_admin_pb2 as schema


async def watch(state, request):
    """Yield a `WatchEvent` for each change after version `since`, until cancelled."""
    queue = state.follower.subscribe()
    try:
        version = request.since or state.follower.version
        while True:
            for event in events_after(state.follower, version):
                yield event
            version = max(version, state.follower.version)
            await queue.get()
            clear_queue(queue)
    finally:
        state.follower.unsubscribe(queue)


def clear_queue(queue):
    """Empty the queue; the changes are read from `follower.recent_changes` instead."""
    while not queue.empty():
        queue.get_nowait()


def events_after(follower, version):
    """Return the events after `version`, led by a gap event if some are no longer kept."""
    changes = [change for change in follower.recent_changes if change.version > version]
    events = [to_event(change) for change in changes]
    if len(changes) < follower.version - version:
        events.insert(0, schema.WatchEvent(version=follower.version, gap=True))
    return events


def to_event(change):
    """Return the `WatchEvent` of a `Change`."""
    return schema.WatchEvent(
        version=change.version,
        kind=change.kind,
        name=change.name,
        record="" if change.value is None else to_json(change.value),
        call_id=change.call_id,
        at=change.at,
    )


def to_json(record):
    """Return a record as JSON without its key hashes.

    >>> from persimmonstall.catalogue import Adapter
    >>> to_json(Adapter("a", "m"))
    '{"name":"a","model":"m","version":"1"}'
    """
    fields = dict(record) if isinstance(record, dict) else attrs.asdict(record)
    fields.pop("key_hashes", None)
    return msgspec.json.encode(fields).decode()
