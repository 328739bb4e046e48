"""A gateway's reports to schedulers of what it holds and observes.

What is released, prefilled or taken by own choice is reported at once.  The
progress of generations goes with it, less often: forecasts of KV memory that
are much older cause preemptions.
"""

import asyncio
import contextlib
import functools
from typing import Callable

import msgspec

from rackpost.decide import eligibility as eligibility_mod
from rackpost.decide import endpoint_health
from rackpost.decide import token_timing as token_timing_mod
from rackpost.scheduler import holdings as holdings_mod
from rackpost.scheduler import messages
from rackpost import types

# Events that happen within this time, in seconds, are reported together.
_BATCHING_S = 0.002
# Shortest time between two reports of progress, in seconds.
_PROGRESS_S = 0.05
# Longest time between two reports, in seconds; several fit into a lease.
_RENEW_S = 0.5
# The same while an endpoint fails or rejects, in seconds: shorter than such a
# report counts.
_REPEAT_S = 0.2
# Tokens from whose time that of one is computed.
_TOKENS = 1000

Send = Callable[[types.ServiceName, msgspec.Struct], None]


class Reporter:
    """Reports to the schedulers that asked for a gateway's holdings."""

    def __init__(
        self,
        *,
        eligible: eligibility_mod.Eligibility,
        health: endpoint_health.HealthTracker,
        token_timing: token_timing_mod.TokenTiming,
        before_report: Callable[[], None],
        is_asked: Callable[[types.ServiceName], bool],
        send: Send,
    ) -> None:
        """`send` sends a message to the schedulers of a service.

        `is_asked` tells whether there are any.  `before_report` is called
        before each report.
        """
        self._loop = asyncio.get_running_loop()
        self._eligible = eligible
        self._health = health
        self._token_timing = token_timing
        self._before_report = before_report
        self._is_asked = is_asked
        self._send = send
        self._holdings: dict[types.ServiceName, holdings_mod.Holdings] = {}
        self._event = asyncio.Event()
        # When all was last told, and when progress was.
        self._told_at = 0.0
        self._progress_at = 0.0
        self._last_signs = messages.EndpointSigns()

    def holdings_of(self, service: types.ServiceName) -> holdings_mod.Holdings:
        """Return what the gateway holds of a service."""
        found = self._holdings.get(service)
        if found is None:
            found = holdings_mod.Holdings(
                on_event=functools.partial(self._on_event, service)
            )
            self._holdings[service] = found
        return found

    def _on_event(self, service: types.ServiceName) -> None:
        if self._is_asked(service):
            self._event.set()

    def signs(self) -> messages.EndpointSigns:
        """Return what the gateway has observed at endpoints."""
        now = self._loop.time()
        timing = self._token_timing
        return messages.EndpointSigns(
            failed=self._health.failed_endpoints(now),
            rejecting=self._health.full_endpoints(now),
            backoffs=self._eligible.remaining_backoffs(now),
            changing=tuple(sorted(self._eligible.changing_role)),
            prefill_token_s=timing.prefill_s(_TOKENS) / _TOKENS,
            decode_token_s=timing.decode_s(_TOKENS) / _TOKENS,
            generation_s=timing.generation_s,
        )

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s):
                    await self._event.wait()
                await asyncio.sleep(_BATCHING_S)
            self._event.clear()
            self.report()

    @property
    def _interval_s(self) -> float:
        """The longest time until the next report, in seconds."""
        signs = self._last_signs
        return _REPEAT_S if signs.failed or signs.rejecting else _RENEW_S

    def report(self) -> None:
        """Report events and progress since the last report."""
        now = self._loop.time()
        self._before_report()
        signs = self.signs()
        tells = (
            _differ(signs, self._last_signs)
            or now >= self._told_at + self._interval_s
        )
        progresses = tells or now >= self._progress_at + _PROGRESS_S
        for service, held in self._holdings.items():
            # Dropped where no scheduler has asked: it first gets all holdings.
            events = held.take_events()
            if not self._is_asked(service):
                continue
            changed = events.taken
            if progresses:
                changed += held.take_changes()
            if changed or tells:
                progress = messages.CapacityProgress(
                    service=service, holdings=changed, signs=signs
                )
                self._send(service, progress)
            self._report_ends(service, events)
        if tells:
            self._last_signs = signs
            self._told_at = now
        if progresses:
            self._progress_at = now

    def _report_ends(
        self, service: types.ServiceName, events: holdings_mod.Events
    ) -> None:
        if events.prefilled:
            self._send(
                service,
                messages.CapacityPrefilled(
                    service=service, tickets=events.prefilled
                ),
            )
        if events.ended:
            self._send(
                service,
                messages.CapacityCancel(service=service, tickets=events.ended),
            )


def _differ(
    signs: messages.EndpointSigns, last: messages.EndpointSigns
) -> bool:
    """Whether other endpoints may be granted than by the last signs."""
    return (
        signs.failed != last.failed
        or signs.rejecting != last.rejecting
        or signs.backoffs.keys() != last.backoffs.keys()
        or signs.changing != last.changing
    )
