"""The caller of a request: the organisation that its key belongs to."""

from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.routing import match
from rackpost.routing import model


class Caller:
    """The organisation of one request, if it has a known key.

    Without `keys_required` in the routing document no request has a key, and
    its key headers are passed on like any others.
    """

    def __init__(
        self, *, routes: match.RouteTable, req: message.Request
    ) -> None:
        self._routes = routes
        self._key = None
        self.organisation: model.Organisation | None = None
        if routes.organisations.keys_required:
            self._key = headers.key_digest(req.headers)
            self.organisation = routes.organisations.find(self._key)

    @property
    def name(self) -> str:
        """The organisation's name for a log line; "" without one."""
        return "" if self.organisation is None else self.organisation.name

    def may_use(self, route: model.Route) -> bool:
        """Whether this caller may use a route."""
        needs_key = self._routes.organisations.keys_required
        return not needs_key or route.public or self.organisation is not None

    def is_revoked(self) -> bool:
        """Whether the key has been revoked since the request arrived.

        Checked before each attempt, so that a request that waited or is
        retried is not served on a revoked key.
        """
        if self.organisation is None:
            return False
        found = self._routes.organisations.find(self._key)
        return found is None or found.name != self.organisation.name

    def priority(self, route: model.Route) -> int:
        """Return the organisation's priority, else the route's."""
        own = self.organisation
        if own is None or own.priority is None:
            return route.priority
        return own.priority

    def passed_on(self, sent: list[message.Header]) -> list[message.Header]:
        """Return the headers for an endpoint, without the key."""
        if not self._routes.organisations.keys_required:
            return sent
        kept = [
            item for item in sent if item[0] not in headers.CALLER_KEY_HEADERS
        ]
        if self.organisation is not None:
            name = self.organisation.name.encode()
            kept.append((headers.ORGANISATION, name))
        return kept
