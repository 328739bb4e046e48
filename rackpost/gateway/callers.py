"""Who asks: the organisation that a request's key belongs to."""

from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.routing import match
from rackpost.routing import model


class Caller:
    """The organisation of one request, as long as its key is one of its.

    Without `keys_required` in the document nobody has a key, and what
    clients send in its place is passed on as any other header.
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
        """Whether a route is open to this caller."""
        needs_key = self._routes.organisations.keys_required
        return not needs_key or route.public or self.organisation is not None

    def is_revoked(self) -> bool:
        """Whether its key has been taken away since it asked.

        Looked up again before each attempt, so that one who waited, or
        whose attempt broke, is not served on a key that is gone.
        """
        if self.organisation is None:
            return False
        found = self._routes.organisations.find(self._key)
        return found is None or found.name != self.organisation.name

    def priority(self, route: model.Route) -> int:
        """Who goes first: the organisation's rank, else the route's."""
        own = self.organisation
        if own is None or own.priority is None:
            return route.priority
        return own.priority

    def passed_on(self, sent: list[message.Header]) -> list[message.Header]:
        """What an endpoint is told: whose it is, and never the key."""
        if not self._routes.organisations.keys_required:
            return sent
        kept = [
            item for item in sent if item[0] not in headers.CALLER_KEY_HEADERS
        ]
        if self.organisation is not None:
            name = self.organisation.name.encode()
            kept.append((headers.ORGANISATION, name))
        return kept
