"""What a generation needs of a decode endpoint, and its reservation there."""

import enum
from typing import Callable
from typing import Sequence

import msgspec

from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.routing import endpoints
from rackpost import types


class ReservationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The needs of one generation.

    Attributes:
        memory_tokens: KV memory of each decode endpoint, in tokens.
        run: the KV memory that the generation will use over time.
        exclude: endpoints that must not be chosen.
        waiting_request: the deadlines and the priority of the request.
        event_interval_s: expected time between two events of a stream.
        in_place: the prompt must be prefilled at the decode endpoint.
        large_reservations: large requests claim endpoints, and claims of
            others are respected.
        request_id: the id of the request, for logs.
        data_centre: where endpoints are preferred; None is where this process
            is.
    """

    service: types.ServiceName
    memory_tokens: int
    run: kv_forecast.Run
    exclude: Sequence[types.EndpointId]
    waiting_request: queue_order.WaitingRequest
    event_interval_s: float = 0.0
    in_place: bool = False
    large_reservations: bool = False
    request_id: str = ""
    data_centre: types.DataCentre | None = None


class RefusalReason(enum.Enum):
    """Why a generation gets no capacity."""

    # The time that it needs is more than it has left.
    TOO_LATE = "too-late"
    # What will be released goes to requests ahead of it.
    HOPELESS = "hopeless"
    QUEUE_FULL = "queue-full"


class NoCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """No decode endpoint will have capacity in time.

    Attributes:
        retry_after_s: when the caller should retry, in seconds.
        expected_wait_s: how long the request would have waited.
        reason: why it gets none.
        kept: for whom capacity was kept while it waited.
    """

    retry_after_s: float
    expected_wait_s: float
    reason: RefusalReason = RefusalReason.TOO_LATE
    kept: tuple[str, ...] = ()


class DecodeReservation:
    """Capacity at a decode endpoint, held until released.

    With `prefill_endpoint` the prompt is prefilled there first; without it, at
    the decode endpoint itself.
    """

    def __init__(
        self,
        *,
        endpoint: endpoints.Endpoint,
        prefill_endpoint: endpoints.Endpoint | None,
        release_capacity: Callable[[], None],
        release_prefill: Callable[[], None],
        on_change: Callable[[], None],
        reserved_at: float,
    ) -> None:
        """Take over capacity that is reserved already.

        `release_capacity` releases it at the decode endpoint, and
        `release_prefill` the capacity for the prefill.  `on_change` is called
        when capacity may have become available.  `reserved_at` is a reading of
        the loop's clock.
        """
        self.endpoint = endpoint
        self.reserved_at = reserved_at
        self.prefill_endpoint = prefill_endpoint
        self._release_capacity = release_capacity
        self._release_prefill = release_prefill
        self._on_change = on_change
        self._is_prefilled = False

    def record_prefilled(self) -> None:
        """Release the endpoint that prefills, once the prompt is prefilled.

        Further calls have no effect.
        """
        if not self._is_prefilled:
            self._is_prefilled = True
            self._release_prefill()
            self._on_change()

    def release(self) -> None:
        """Release all capacity; the generation has ended here."""
        self.record_prefilled()
        self._release_capacity()
        self._on_change()
