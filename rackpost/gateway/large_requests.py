"""Claims of endpoints for large requests that wait at this gateway."""

from typing import NamedTuple

from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.decide.waiting import backfill
from rackpost.gateway import reservation as reservation_mod
from rackpost import logs
from rackpost import types


class _OwnClaim(NamedTuple):
    """A claim and the request that holds it."""

    request: reservation_mod.ReservationRequest
    endpoint: types.EndpointId


class LargeRequests:
    """The claim of this gateway, and the terms that claims set.

    Only requests with `large_reservations` make claims and respect them.
    """

    def __init__(
        self,
        *,
        chooser: endpoint_choice.Chooser,
        loads: endpoint_load.LoadTable,
        vm: types.VmId,
    ) -> None:
        self._chooser = chooser
        self._loads = loads
        self._vm = vm
        self._own: _OwnClaim | None = None

    def has_claim(self, request: reservation_mod.ReservationRequest) -> bool:
        """Whether an endpoint is claimed for the request."""
        return self._own is not None and self._own.request is request

    def record_unplaced(
        self,
        request: reservation_mod.ReservationRequest,
        capacity: int,
        now: float,
    ) -> bool:
        """Claim an endpoint for a large request that fits nowhere yet.

        Returns whether the claims to report have changed.
        """
        if not request.large_reservations or not (
            backfill.is_large(request.run, capacity)
        ):
            return False
        if self._own is not None and self._own.request is not request:
            return False
        present = None if self._own is None else self._own.endpoint
        endpoint = self._chooser.choose_claim(
            request.service,
            request.run,
            capacity,
            claimed={
                claim.endpoint for _, _, claim in self._loads.claims(now)
            },
            present=present,
            exclude=request.exclude,
            now=now,
        )
        if endpoint is None:
            self._own = None
        else:
            self._own = _OwnClaim(request, endpoint)
            if endpoint != present:
                self._log_claim(self._own, capacity)
        return endpoint != present

    def _log_claim(self, own: _OwnClaim, capacity: int) -> None:
        runs = self._loads.total(own.endpoint).runs
        logs.say(
            logs.Part.GATEWAY,
            "Claimed for a large request.",
            request=own.request.request_id,
            service=own.request.service,
            endpoint=own.endpoint,
            peak_tokens=kv_forecast.peak_tokens([own.request.run]),
            after_tokens=backfill.fits_after_tokens(
                runs, own.request.run, capacity
            ),
            running=len(runs),
        )

    def forget(self, request: reservation_mod.ReservationRequest) -> bool:
        """Drop the claim of a request that no longer waits.

        Returns whether it had one.
        """
        had_claim = self.has_claim(request)
        if had_claim:
            self._own = None
        return had_claim

    def reported(self, now: float) -> tuple[backfill.Claim, ...]:
        """Return the claims to report to other gateways."""
        if self._own is None:
            return ()
        request = self._own.request
        return (
            backfill.Claim(
                endpoint=self._own.endpoint,
                run=request.run,
                waiting=queue_order.summarize(request.waiting_request, now),
            ),
        )

    def terms(
        self,
        request: reservation_mod.ReservationRequest,
        capacity: int,
        now: float,
        *,
        claimed_only: bool = False,
    ) -> endpoint_choice.LargeTerms | None:
        """Return what claims ask of a request's choice of an endpoint.

        With `claimed_only` it may use no other endpoint than it claims.
        """
        if not request.large_reservations:
            return None
        large = backfill.is_large(request.run, capacity)
        return endpoint_choice.LargeTerms(
            claims=tuple(self._claims_ahead(request, large, now)),
            only=(
                self._own.endpoint
                if claimed_only and self._own is not None
                else None
            ),
        )

    def _claims_ahead(
        self,
        request: reservation_mod.ReservationRequest,
        large: bool,
        now: float,
    ) -> list[backfill.Claim]:
        own = queue_order.summarize(request.waiting_request, now)
        found = list(self._loads.claims(now))
        if not self.has_claim(request):
            found += [(self._vm, 0.0, item) for item in self.reported(now)]
        return [
            claim
            for holder, age_s, claim in found
            if backfill.is_barred_by(
                claim, age_s, holder, own, self._vm, large=large
            )
        ]
