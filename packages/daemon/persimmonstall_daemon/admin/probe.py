"""Probes daemons without an open link for their active catalogue version."""

import asyncio

from persimmonstall.messages.control import Hello

from .view import DaemonStatus

MAX_CONCURRENT_PROBES = 16


async def probe(network, settings, instances):
    """Return the `DaemonStatus` of each `Instance`, with `MAX_CONCURRENT_PROBES` at a time."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

    async def bounded(instance):
        async with semaphore:
            return await probe_one(network, settings, instance)

    return await asyncio.gather(*map(bounded, instances))


async def probe_one(network, settings, instance):
    """Return the status in one daemon's Hello; `heard_ago` is -1 if it is unreachable."""
    hello = await first_message(network, instance.address, settings.links.dial_timeout)
    version, heard_ago = (hello.config_version, 0.0) if isinstance(hello, Hello) else (0, -1.0)
    return DaemonStatus(instance.name, instance.role, instance.data_centre, version, heard_ago)


async def first_message(network, address, timeout):
    """Return the first message of the daemon at `address`, None on timeout, or a `Failure`."""
    link = await network.dial(address, timeout)
    if not link:
        return link
    try:
        async with asyncio.timeout(timeout):
            return await link.receive()
    except TimeoutError:
        return None
    finally:
        await link.close()
