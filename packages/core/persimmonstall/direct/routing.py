"""Finds the route, service and organisation of a call."""

import xxhash

from ..failures import Failure, Postponed, Reason
from .content import call_parts, content_fingerprint
from .messages import DroppedBody, RoutedCall

STEP = "route"
AUTHENTICATE_STEP = "authenticate"

ADMITTED_RETRY_SECONDS = 0.05
"""`Retry-After` of a call that is served if it is sent again now."""


class RouteTable:
    """Routes of one configuration by host; the longest matching prefix wins.

    >>> from .messages import Configuration, Route, Share
    >>> short = Route("a", "h", "/x/", (Share("s"),))
    >>> long = Route("b", "h", "/x/y/", (Share("s"),))
    >>> table = RouteTable(Configuration(1, (short, long)))
    >>> table.match("h", "/x/y/z").name, table.match("H", "/x/").name, table.match("h", "/")
    ('b', 'a', None)
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self.by_host = {}
        for route in configuration.routes:
            self.by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self.priorities = priorities_by_service(configuration)

    def match(self, host, path):
        """Return the route of `host` with the longest prefix that matches `path`, or None."""
        prefixes = self.by_host.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find(self, call):
        """Return route, service and organisation of a call, or a `Failure` if one is missing.

        It looks at the head of the call alone.
        """
        route = self.match(call.host, call.path)
        if route is None:
            return Failure(Reason.NOT_FOUND, STEP, detail=f"{call.host}{call.path}")
        keyed = self.configuration.keyed
        organisation = self.configuration.keys.get(call.key) if keyed else None
        if keyed and organisation is None and not route.public:
            return Failure(Reason.UNAUTHENTICATED, AUTHENTICATE_STEP)
        if organisation is not None and not organisation.sendable:
            return Failure(Reason.UNSENDABLE, AUTHENTICATE_STEP, detail=repr(organisation.name))
        name = self.choose_service(route, call.call_id)
        service = self.configuration.services.get(name)
        if service is None:
            return Failure(Reason.UNKNOWN_SERVICE, STEP, detail=name)
        return route, service, organisation

    def admit(self, call):
        """Return the `RoutedCall` of a call, or a `Failure` if it has no route, key or service.

        A call without the body that its caller sent is never routed.
        """
        found = self.find(call)
        if isinstance(found, Failure):
            return found
        if isinstance(call.body, DroppedBody):
            return admitted_late(call.body)
        route, service, organisation = found
        content, parts = content_fingerprint(call), call_parts(call)
        priorities = self.priorities.get(service.name, ())
        return RoutedCall(call, route, service, organisation, content, parts, priorities)

    def choose_service(self, route, call_id):
        """Return the service of a call, by the weights of the route and a hash of the call id."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        point = xxhash.xxh3_64_intdigest(call_id.encode()) / 2**64 * total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return route.shares[-1].service if route.shares else ""


def admitted_late(body):
    """Return the failure of a call that a new configuration admits after its body was dropped."""
    detail = f"admitted only since its body of {body.size} bytes was dropped"
    return Postponed(Reason.NO_ENDPOINT, STEP, "", detail, ADMITTED_RETRY_SECONDS)


def priorities_by_service(configuration):
    """Return the priorities that calls of each service can have, in ascending order.

    They are those that organisations have of their own, and those of the routes to the service
    that organisations without one can use.

    >>> from .messages import Configuration, Organisation, Route, Share
    >>> routes = (Route("a", "h", "/x/", (Share("s"),), priority=2),)
    >>> keys = {"k": Organisation("o", 0), "l": Organisation("p")}
    >>> priorities_by_service(Configuration(1, routes, keys=keys))
    {'s': (0, 2)}
    """
    own = {owner.priority for owner in configuration.keys.values()}
    without_own = not configuration.keyed or None in own
    own.discard(None)
    priorities = {}
    for route in configuration.routes:
        of_route = {route.priority} if without_own or route.public else set()
        for share in route.shares:
            priorities.setdefault(share.service, set(own)).update(of_route)
    return {service: tuple(sorted(found)) for service, found in priorities.items()}
