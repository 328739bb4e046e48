"""Finds the route of a request and chooses its service.

Pure: no input or output.
"""

import collections
import math
import random
from typing import Iterator

from rackpost import exceptions
from rackpost.routing import changes
from rackpost.routing import model
from rackpost.routing import organisations
from rackpost import types


class _HostRoutes:
    """The routes of one host, by prefix."""

    def __init__(self) -> None:
        self._routes: dict[str, model.Route] = {}
        # Upper bound of the prefixes' lengths.
        self._longest = 0

    def __len__(self) -> int:
        return len(self._routes)

    def __contains__(self, prefix: str) -> bool:
        return prefix in self._routes

    def __iter__(self) -> Iterator[model.Route]:
        return iter(self._routes.values())

    def put(self, route: model.Route) -> None:
        """Add a route, replacing the one with the same prefix."""
        self._routes[route.prefix] = route
        self._longest = max(self._longest, len(route.prefix))

    def remove(self, prefix: str) -> None:
        """Remove the route with this prefix, if there is one."""
        self._routes.pop(prefix, None)

    def find(self, path: str) -> model.Route | None:
        """Return the route with the longest prefix of `path`, if any.

        Prefixes end with a slash, so that one look-up per path segment is
        enough, however many routes the host has.
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
    """The routes in force; changes are applied incrementally."""

    def __init__(self) -> None:
        """Create the table of no document."""
        self.version: int | None = None
        self.services: dict[types.ServiceName, model.Service] = {}
        self.limits = model.Limits()
        self.organisations = organisations.OrganisationTable(organisations={})
        self._by_host: dict[str, _HostRoutes] = collections.defaultdict(
            _HostRoutes
        )

    @property
    def count(self) -> int:
        """Number of routes."""
        return sum(len(routes) for routes in self._by_host.values())

    def __iter__(self) -> Iterator[model.Route]:
        for routes in self._by_host.values():
            yield from routes

    def apply(self, change: changes.Change) -> None:
        """Apply a change.

        Raises RoutingError and leaves the table as it is if the change has
        another base version or its result has an unexpected size.
        """
        if change.base not in (changes.NO_BASE, self.version):
            raise exceptions.RoutingError(
                f"a change of version {change.base} does not fit "
                f"{self.version}"
            )
        changed_organisations = self.organisations.with_change(change)
        if change.base == changes.NO_BASE:
            self._replace(change)
        else:
            self._update(change)
        self.organisations = changed_organisations
        self.services = {item.name: item for item in change.services}
        self.limits = change.limits
        self.version = change.version

    def _replace(self, change: changes.Change) -> None:
        by_host: dict[str, _HostRoutes] = collections.defaultdict(_HostRoutes)
        for route in change.put:
            by_host[route.host.lower()].put(route)
        _check_count(change, sum(len(routes) for routes in by_host.values()))
        self._by_host = by_host

    def _update(self, change: changes.Change) -> None:
        # `removed` may name routes added and removed again since `base`.
        gone = sum(self._has_route(key) for key in change.removed)
        new = sum(not self._has_route(route.key) for route in change.put)
        _check_count(change, self.count - gone + new)
        for key in change.removed:
            self._by_host[key.host].remove(key.prefix)
        for route in change.put:
            self._by_host[route.host.lower()].put(route)

    def _has_route(self, key: model.RouteKey) -> bool:
        return key.prefix in self._by_host[key.host]

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of `path` (no query)."""
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            # Ignore a port in the Host header.
            bare = name.rsplit(":", 1)[0]
            routes = self._by_host.get(bare, _NO_ROUTES)
        return routes.find(path)


def _check_count(change: changes.Change, count: int) -> None:
    if count != change.routes:
        raise exceptions.RoutingError(
            f"{count} routes, expected {change.routes}"
        )


def choose_service(
    route: model.Route, rng: random.Random
) -> types.ServiceName:
    """Choose one of the route's services at random, by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if math.isinf(sum(weights)):
        largest = max(weights)
        weights = [weight / largest for weight in weights]
    return rng.choices(route.targets, weights)[0].service
