"""Finding the route of a request, and the service within it.  Pure."""

import random

from rackpost.routing import model
from rackpost import types


class _HostRoutes:
    """The routes of one host, by prefix."""

    def __init__(self) -> None:
        self._routes: dict[str, model.Route] = {}
        self._longest = 0

    def add(self, route: model.Route) -> None:
        """Add a route; of two with one prefix the first holds."""
        self._routes.setdefault(route.prefix, route)
        self._longest = max(self._longest, len(route.prefix))

    def find(self, path: str) -> model.Route | None:
        """The route with the longest prefix of `path`.

        Prefixes end with a slash, so that only what ends with one is
        looked up: a request costs its own depth and not the number of
        routes, of which a host may have thousands.
        """
        end = min(len(path), self._longest)
        while (cut := path.rfind("/", 0, end)) >= 0:
            found = self._routes.get(path[: cut + 1])
            if found is not None:
                return found
            end = cut
        return None


_NO_ROUTES = _HostRoutes()


class RouteTable:
    """The routes of one document, by host and prefix."""

    def __init__(self, *, doc: model.Document) -> None:
        self.doc = doc
        self.services = {item.name: item for item in doc.services}
        self._by_host: dict[str, _HostRoutes] = {}
        for route in doc.routes:
            name = route.host.lower()
            routes = self._by_host.get(name)
            if routes is None:
                routes = self._by_host[name] = _HostRoutes()
            routes.add(route)

    def find(self, host: str, path: str) -> model.Route | None:
        """The route with the longest prefix of `path` (no query)."""
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            # A port in the Host header is not part of the name.
            bare = name.rsplit(":", 1)[0]
            routes = self._by_host.get(bare, _NO_ROUTES)
        return routes.find(path)


def choose_service(
    route: model.Route, rng: random.Random
) -> types.ServiceName:
    """One of the route's services, by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service
