"""Who callers belong to, by the digests of their keys.  Pure."""

from rackpost import exceptions
from rackpost.routing import changes
from rackpost.routing import model
from rackpost import types


class OrganisationTable:
    """The organisations of one version of the routing document.

    A table is never altered: a change makes another, which shares what is
    the same, so that routes and organisations of a version come together.
    """

    def __init__(
        self,
        *,
        keys_required: bool = False,
        organisations: dict[types.OrganisationName, model.Organisation],
    ) -> None:
        self.keys_required = keys_required
        self._organisations = organisations
        self._by_key = {
            key: item for item in organisations.values() for key in item.keys
        }

    @property
    def count(self) -> int:
        """How many organisations there are."""
        return len(self._organisations)

    def with_change(self, change: changes.Change) -> "OrganisationTable":
        """The table of a change's version.

        Raises RoutingError where that has not as many as it should.
        """
        found = dict(self._organisations) if change.base else {}
        for name in change.removed_organisations:
            found.pop(name, None)
        for item in change.put_organisations:
            found[item.name] = item
        if len(found) != change.organisations:
            raise exceptions.RoutingError(
                f"{len(found)} organisations in place of "
                f"{change.organisations}"
            )
        if not change.put_organisations and not change.removed_organisations:
            if self.keys_required == change.keys_required and change.base:
                return self
        return OrganisationTable(
            keys_required=change.keys_required, organisations=found
        )

    def find(self, key: types.KeyDigest | None) -> model.Organisation | None:
        """Whose key it is; None if it is nobody's."""
        return None if key is None else self._by_key.get(key)

    def by_name(
        self, name: types.OrganisationName
    ) -> model.Organisation | None:
        """The organisation of a name, if there is one."""
        return self._organisations.get(name)
