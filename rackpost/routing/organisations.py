"""Finds the organisation of a caller by the digest of its key.

Pure: no input or output.
"""

from typing import Collection

from rackpost import exceptions
from rackpost.routing import changes
from rackpost.routing import model
from rackpost import types


class OrganisationTable:
    """The organisations of one version of the routing document.

    A table is immutable: a change returns a new table, so that the routes and
    the organisations of a version come into force together.
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
        """Number of organisations."""
        return len(self._organisations)

    def with_change(self, change: changes.Change) -> "OrganisationTable":
        """Return the table after a change.

        Raises RoutingError if it has an unexpected number of organisations.
        """
        found = dict(self._organisations) if change.base else {}
        for name in change.removed_organisations:
            found.pop(name, None)
        for item in change.put_organisations:
            found[item.name] = item
        if len(found) != change.organisations:
            raise exceptions.RoutingError(
                f"{len(found)} organisations, expected "
                f"{change.organisations}"
            )
        if not change.put_organisations and not change.removed_organisations:
            if self.keys_required == change.keys_required and change.base:
                return self
        return OrganisationTable(
            keys_required=change.keys_required, organisations=found
        )

    def find(self, key: types.KeyDigest | None) -> model.Organisation | None:
        """Return the organisation of a key, if any."""
        return None if key is None else self._by_key.get(key)

    def all(self) -> Collection[model.Organisation]:
        """Return all organisations."""
        return self._organisations.values()

    def by_name(
        self, name: types.OrganisationName
    ) -> model.Organisation | None:
        """Return the organisation with a name, if any."""
        return self._organisations.get(name)
