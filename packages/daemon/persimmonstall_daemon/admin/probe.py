"""Asks daemons without an open link for the catalogue version in force there."""

import asyncio

from persimmonstall.messages.control import Hello

from .view import DaemonStatus

PROBES_AT_ONCE = 16


async def probe(network, settings, instances):
    """Return a `DaemonStatus` for each `Instance`, dialling a few of them at a time."""
    gate = asyncio.Semaphore(PROBES_AT_ONCE)

    async def bounded(instance):
        async with gate:
            return await probe_one(network, settings, instance)

    return await asyncio.gather(*map(bounded, instances))


async def probe_one(network, settings, instance):
    """Return what one daemon's first message says; `heard_ago` is -1 if it is out of reach."""
    hello = await first_message(network, instance.address, settings.links.dial_timeout)
    version, ago = (hello.config_version, 0.0) if isinstance(hello, Hello) else (0, -1.0)
    return DaemonStatus(instance.name, instance.role, instance.data_centre, version, ago)


async def first_message(network, address, timeout):
    """Return the first message of the daemon at `address`, None, or a `Failure`."""
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
