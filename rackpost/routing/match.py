"""Finding the route of a request, and the service within it.  Pure."""

import random

from rackpost.routing import model
from rackpost import types


class RouteTable:
    """The routes of one document, by host, longest prefix first."""

    def __init__(self, *, doc: model.Document) -> None:
        self.doc = doc
        self.services = {item.name: item for item in doc.services}
        self._by_host: dict[str, list[model.Route]] = {}
        for route in doc.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda item: len(item.prefix), reverse=True)

    def find(self, host: str, path: str) -> model.Route | None:
        """The route with the longest prefix of `path` (no query)."""
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            # A port in the Host header is not part of the name.
            routes = self._by_host.get(name.rsplit(":", 1)[0], [])
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(
    route: model.Route, rng: random.Random
) -> types.ServiceName:
    """One of the route's services, by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service
