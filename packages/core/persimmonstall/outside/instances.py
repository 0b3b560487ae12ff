"""The platform's list of instances."""

import abc
import enum

import attrs


class InstanceState(enum.StrEnum):
    """State of an instance as last known to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Instance:
    """An instance; `role` is "entry" or "endpoint", `address` is "IP:port" of its daemon."""

    name: str
    role: str
    address: str
    data_centre: str
    region: str = ""
    state: InstanceState = InstanceState.LIVE
    endpoints: tuple[str, ...] = ()


class InstanceList(abc.ABC):
    """A registry of instances that lags by seconds and may be unreachable.

    A listed instance may be dead and an absent one may be alive.
    """

    @abc.abstractmethod
    async def list(self, timeout):
        """Return a tuple of `Instance`s or a `Failure`."""

    @abc.abstractmethod
    async def register(self, instance, timeout):
        """Register `instance` with its state; return True or a `Failure`.

        Each daemon repeats this call as its heartbeat.
        """
