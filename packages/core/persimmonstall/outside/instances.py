"""The platform's list of live and leaving instances."""

import abc
import enum

import attrs


class InstanceState(enum.StrEnum):
    """State of an instance as the platform last saw it."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Instance:
    """One instance: `role` is "entry" or "endpoint"; `address` is "IP:port" of its daemon."""

    name: str
    role: str
    address: str
    data_centre: str
    region: str = ""
    state: InstanceState = InstanceState.LIVE
    endpoints: tuple[str, ...] = ()


class InstanceList(abc.ABC):
    """The list lags behind the truth by seconds and may be out of reach.

    A listed instance may be dead, an absent one may be alive.
    """

    @abc.abstractmethod
    async def list(self, timeout):
        """Return a tuple of `Instance`, or a `Failure`."""

    @abc.abstractmethod
    async def register(self, instance, timeout):
        """Announce `instance` and its state; repeated as a heartbeat.  True or a `Failure`."""
