"""Where a generation gets its decode endpoint and prefill turn from."""

import abc

from rackpost.gateway import reservation as reservation_mod
from rackpost.routing import endpoints


class CapacitySource(abc.ABC):
    """Reserves capacity for generations."""

    @property
    def is_delegated(self) -> bool:
        """Whether others decide on the capacity of all model services.

        The load reports of other gateways are then needed only as a fallback.
        """
        return False

    @abc.abstractmethod
    async def reserve(
        self, request: reservation_mod.ReservationRequest
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Wait for a reservation, which the caller must release.

        Returns NoCapacity where the request can't be served in time; it has
        then not run.
        """

    @abc.abstractmethod
    def reserve_at(
        self,
        request: reservation_mod.ReservationRequest,
        endpoint: endpoints.Endpoint,
    ) -> reservation_mod.DecodeReservation | None:
        """Reserve the endpoint where the request's connection just broke.

        Returns None if the endpoint takes no requests now.
        """
