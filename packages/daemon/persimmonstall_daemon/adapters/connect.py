"""Creates the adapters for the URLs in the settings."""

import attrs

from .engine import HttpEngine
from .instances import HttpInstances
from .objects import HttpObjects
from .service import HttpService
from .table import HttpTable
from .weights import HttpWeights


@attrs.define
class Platform:
    """Clients of the platform's services, typed by the base classes in `outside`."""

    table: object
    objects: object
    instances: object
    weights: object

    async def close(self):
        """Close all connections to the platform."""
        for service in (self.table, self.objects, self.instances, self.weights):
            await service.close()


def connect_platform(settings):
    """Return the `Platform` at the URLs of the settings section `platform`."""
    return Platform(
        HttpTable(settings.table, "table"),
        HttpObjects(settings.objects, "objects"),
        HttpInstances(settings.instances, "instances"),
        HttpWeights(settings.weights, "weights"),
    )


def connect_engine(url, name=""):
    """Return a client of the engine at `url`; `name` is the endpoint's name."""
    return HttpEngine(url, name)


def connect_service(url, name=""):
    """Return a client of the plain service at `url`; `name` is the endpoint's name."""
    return HttpService(url, name)
