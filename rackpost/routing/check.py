"""Checks of a routing document before it is accepted.  Pure."""

from rackpost import exceptions
from rackpost.routing import model


def check(doc: model.Document) -> None:
    """Raise RoutingError, with one sentence, where a document is bad."""
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
