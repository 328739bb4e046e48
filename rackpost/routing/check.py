"""Validates a routing document before it is accepted.

Pure: no input or output.
"""

import math

from rackpost import exceptions
from rackpost.routing import model
from rackpost import types


def check(doc: model.Document) -> None:
    """Raise RoutingError with the reason if a document is invalid."""
    known = {service.name for service in doc.services}
    if len(known) != len(doc.services):
        raise exceptions.RoutingError("two services have the same name")
    keys: set[model.RouteKey] = set()
    for route in doc.routes:
        key = route.key
        if key in keys:
            raise exceptions.RoutingError(
                f"two routes share {route.host}{route.prefix}"
            )
        keys.add(key)
        _check_route(route, known)
    _check_organisations(doc)


def _check_route(route: model.Route, known: set) -> None:
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        raise exceptions.RoutingError(
            f"route {route.name}: the prefix must begin and end with '/'"
        )
    if route.timeout_s <= 0:
        raise exceptions.RoutingError(
            f"route {route.name}: the time-out must be above 0"
        )
    weights = 0.0
    for target in route.targets:
        weights += target.weight
        if target.service not in known:
            raise exceptions.RoutingError(
                f"route {route.name}: no service {target.service!r}"
            )
        if target.weight < 0:
            raise exceptions.RoutingError(
                f"route {route.name}: a weight is below 0"
            )
    if weights <= 0:
        raise exceptions.RoutingError(
            f"route {route.name}: the weights add up to 0"
        )


def _check_organisations(doc: model.Document) -> None:
    """Check that each name and each key belongs to one organisation."""
    names = {item.name for item in doc.organisations}
    if len(names) != len(doc.organisations):
        raise exceptions.RoutingError("two organisations have the same name")
    holders: dict[types.KeyDigest, types.OrganisationName] = {}
    for item in doc.organisations:
        for key in item.keys:
            if not key:
                raise exceptions.RoutingError(
                    f"organisation {item.name}: a key is empty"
                )
            if key in holders:
                raise exceptions.RoutingError(
                    f"organisations {holders[key]} and {item.name}: "
                    "a key stands twice"
                )
            holders[key] = item.name
        _check_quota(item)


def _check_quota(item: model.Organisation) -> None:
    if not item.name:
        raise exceptions.RoutingError("an organisation has no name")
    quota = item.quota
    if quota is None:
        return
    figures = (quota.rate_per_s, quota.burst, quota.plain_units)
    if not all(math.isfinite(figure) and figure >= 0 for figure in figures):
        raise exceptions.RoutingError(
            f"organisation {item.name}: a limit is not a number of at least 0"
        )
