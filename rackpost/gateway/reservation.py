"""What a generation wants of a decode endpoint, and the place it gets."""

from typing import Callable
from typing import Sequence

import msgspec

from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.routing import endpoints
from rackpost import types


class ReservationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a generation needs.

    Attributes:
        memory_tokens: KV memory of each endpoint, in tokens.
        exclude: endpoints that it has tried.
        event_interval_s: how long an endpoint takes for one event of a stream.
        in_place: its prompt was not to be read elsewhere.
    """

    service: types.ServiceName
    memory_tokens: int
    run: kv_forecast.Run
    exclude: Sequence[types.EndpointId]
    claim: queue_order.WaitingRequest
    event_interval_s: float = 0.0
    in_place: bool = False


class NoCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """No room soon enough; when to come back, in seconds."""

    retry_after_s: float
    expected_wait_s: float


class DecodeReservation:
    """Room at an endpoint, until released.

    `prefill_endpoint` is the prefill endpoint that reads the prompt first;
    without one it is the endpoint's own turn to read it.
    """

    def __init__(
        self,
        *,
        endpoint: endpoints.Endpoint,
        prefill_endpoint: endpoints.Endpoint | None,
        free: Callable[[], None],
        end_turn: Callable[[], None],
        changed: Callable[[], None],
        reserved_at: float,
    ) -> None:
        """`free` gives the room back and `end_turn` the reader's turn.

        `changed` is called when there may be more room; `reserved_at` is the
        clock reading at which the place was given.
        """
        self.endpoint = endpoint
        self.reserved_at = reserved_at
        self.prefill_endpoint = prefill_endpoint
        self._free = free
        self._end_turn = end_turn
        self._changed = changed
        self._is_read = False

    def record_prefilled(self) -> None:
        """The prompt has been read, if it was not before."""
        if not self._is_read:
            self._is_read = True
            self._end_turn()
            self._changed()

    def release(self) -> None:
        """The generation has ended here."""
        self.record_prefilled()
        self._free()
        self._changed()
