"""What a gateway holds of the capacity of model services."""

from typing import Callable

from rackpost.decide.waiting import leases
from rackpost.gateway import reservation as reservation_mod
from rackpost.scheduler import convert
from rackpost.scheduler import messages

_State = tuple[int, int, int, bool]


class Holdings:
    """The capacity that a gateway holds of one service, by ticket."""

    def __init__(self, *, on_change: Callable[[], None]) -> None:
        """`on_change` is called when a change should be reported soon."""
        self._on_change = on_change
        self._held: dict[leases.TicketId, leases.Lease] = {}
        # What was last reported of each.
        self._reported: dict[leases.TicketId, _State] = {}
        # Tickets that have ended since the last report.
        self._ended: list[leases.TicketId] = []

    def __len__(self) -> int:
        return len(self._held)

    def hold(
        self,
        ticket: leases.TicketId,
        request: reservation_mod.ReservationRequest,
        found: reservation_mod.DecodeReservation,
    ) -> reservation_mod.DecodeReservation:
        """Record a reservation until it is released; return it, wrapped."""
        prefill = found.prefill_endpoint
        lease = leases.Lease(
            endpoint=found.endpoint.id,
            prefill_endpoint=None if prefill is None else prefill.id,
            run=request.run,
            prefilling=True,
        )
        self._held[ticket] = lease
        self._on_change()

        def release_prefill() -> None:
            lease.prefilling = False
            found.record_prefilled()
            self._on_change()

        def release_capacity() -> None:
            found.release()
            if self._held.pop(ticket, None) is not None:
                self._reported.pop(ticket, None)
                self._ended.append(ticket)
                self._on_change()

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
        """Return the holdings that changed since the last call."""
        changed = []
        for ticket, lease in self._held.items():
            run = lease.run
            state = (
                run.held_tokens,
                run.remaining_tokens,
                run.error_tokens,
                lease.prefilling,
            )
            if self._reported.get(ticket) != state:
                self._reported[ticket] = state
                changed.append(_holding(ticket, lease))
        return tuple(changed)

    def take_ended(self) -> tuple[leases.TicketId, ...]:
        """Return the tickets that ended since the last call."""
        ended, self._ended = tuple(self._ended), []
        return ended


def _holding(ticket: leases.TicketId, lease: leases.Lease) -> messages.Holding:
    return messages.Holding(
        ticket=ticket,
        endpoint=lease.endpoint,
        prefill_endpoint=lease.prefill_endpoint,
        run=convert.copy_run(lease.run),
        prefilling=lease.prefilling,
    )
