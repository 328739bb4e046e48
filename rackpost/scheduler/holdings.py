"""What a gateway holds of the capacity of model services."""

from typing import Callable
from typing import NamedTuple

from rackpost.decide.waiting import leases
from rackpost.gateway import reservation as reservation_mod
from rackpost.scheduler import convert
from rackpost.scheduler import messages

_State = tuple[int, int, int, bool]


class Events(NamedTuple):
    """What happened to holdings since the last report.

    Attributes:
        taken: what the gateway took by its own choice.
        prefilled: tickets whose prompt was prefilled.
        ended: tickets whose capacity was released.
    """

    taken: tuple[messages.Holding, ...]
    prefilled: tuple[leases.TicketId, ...]
    ended: tuple[leases.TicketId, ...]


class Holdings:
    """The capacity that a gateway holds of one service, by ticket."""

    def __init__(self, *, on_event: Callable[[], None]) -> None:
        """`on_event` is called when `take_events` should be reported."""
        self._on_event = on_event
        self._held: dict[leases.TicketId, leases.Lease] = {}
        # What was last reported of each.
        self._reported: dict[leases.TicketId, _State] = {}
        # Tickets with an event since the last report.
        self._taken: list[leases.TicketId] = []
        self._prefilled: list[leases.TicketId] = []
        self._ended: list[leases.TicketId] = []

    def __len__(self) -> int:
        return len(self._held)

    def hold(
        self,
        ticket: leases.TicketId,
        request: reservation_mod.ReservationRequest,
        found: reservation_mod.DecodeReservation,
        *,
        granted: bool,
    ) -> reservation_mod.DecodeReservation:
        """Record a reservation until it is released; return it, wrapped.

        A scheduler knows of what it `granted` already.
        """
        prefill = found.prefill_endpoint
        lease = leases.Lease(
            endpoint=found.endpoint.id,
            prefill_endpoint=None if prefill is None else prefill.id,
            run=request.run,
            prefilling=not request.waiting_request.holds_prompt,
        )
        self._held[ticket] = lease
        if granted:
            self._reported[ticket] = _state(lease)
        else:
            self._taken.append(ticket)
            self._on_event()

        def release_prefill() -> None:
            lease.prefilling = False
            found.record_prefilled()
            self._prefilled.append(ticket)
            self._on_event()

        def release_capacity() -> None:
            found.release()
            if self._held.pop(ticket, None) is not None:
                self._reported.pop(ticket, None)
                self._ended.append(ticket)
                self._on_event()

        return reservation_mod.DecodeReservation(
            endpoint=found.endpoint,
            prefill_endpoint=prefill,
            release_capacity=release_capacity,
            release_prefill=release_prefill,
            # `found` reports its changes itself.
            on_change=lambda: None,
            reserved_at=found.reserved_at,
        )

    def all(self) -> tuple[messages.Holding, ...]:
        """Return all holdings."""
        return tuple(
            _holding(ticket, lease) for ticket, lease in self._held.items()
        )

    def take_changes(self) -> tuple[messages.Holding, ...]:
        """Return the holdings that changed since they were reported."""
        changed = []
        for ticket, lease in self._held.items():
            state = _state(lease)
            if self._reported.get(ticket) != state:
                self._reported[ticket] = state
                changed.append(_holding(ticket, lease))
        return tuple(changed)

    def take_events(self) -> Events:
        """Return what happened since the last call."""
        ended = set(self._ended)
        taken = [key for key in self._taken if key in self._held]
        found = Events(
            taken=tuple(_holding(key, self._held[key]) for key in taken),
            prefilled=tuple(
                key for key in self._prefilled if key not in ended
            ),
            ended=tuple(self._ended),
        )
        for key in taken:
            self._reported[key] = _state(self._held[key])
        self._taken, self._prefilled, self._ended = [], [], []
        return found


def _state(lease: leases.Lease) -> _State:
    run = lease.run
    return (
        run.held_tokens,
        run.remaining_tokens,
        run.error_tokens,
        lease.prefilling,
    )


def _holding(ticket: leases.TicketId, lease: leases.Lease) -> messages.Holding:
    return messages.Holding(
        ticket=ticket,
        endpoint=lease.endpoint,
        prefill_endpoint=lease.prefill_endpoint,
        run=convert.copy_run(lease.run),
        prefilling=lease.prefilling,
    )
