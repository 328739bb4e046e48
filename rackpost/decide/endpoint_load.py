"""What is under way at each endpoint, from all gateways.  Pure.

Each gateway counts what it has sent and tells the others; a figure that
has not been refreshed lately is dropped, since its gateway may be gone.
"""

import contextlib
from typing import Callable
from typing import Iterator

import msgspec

from rackpost.decide import fleet_size
from rackpost.decide import kv_forecast
from rackpost.decide import queue_order as queue_order_mod
from rackpost import types

# Gateways tell their figures at least each second; three may be lost.
KEEP_S = 3.5
# Who waits at a gateway that has missed one telling is not waited for: it
# may be gone, and nobody would take the place meanwhile; in seconds.
_FIRST_S = 1.3


class EndpointLoad(msgspec.Struct, array_like=True, kw_only=True):
    """What is under way at one endpoint.

    Attributes:
        requests: requests that run or wait there.
        prompt_tokens: tokens of prompts that are still to be prefilled.
        runs: what decodes hold of its KV memory.
    """

    requests: int = 0
    prompt_tokens: int = 0
    runs: list[kv_forecast.Run] = []


class _Heard:
    """The latest figures of another gateway."""

    def __init__(self) -> None:
        self.life = 0
        self.number = -1
        self.at = 0.0
        self.uses: dict[types.EndpointId, EndpointLoad] = {}
        self.first: tuple[queue_order_mod.WaitingSummary, ...] = ()


class LoadTable:
    """Own and others' use of the endpoints."""

    def __init__(self, *, on_change: Callable[[], None]) -> None:
        """`on_change` is called when others should know own figures."""
        self.own: dict[types.EndpointId, EndpointLoad] = {}
        self._changed = on_change
        self._others: dict[types.VmId, _Heard] = {}
        # The same figures by endpoint: few gateways use one at a time.
        self._at: dict[types.EndpointId, dict[types.VmId, EndpointLoad]] = {}
        self._read_at: dict[types.EndpointId, float] = {}

    @contextlib.contextmanager
    def request_added(
        self,
        endpoint: types.EndpointId,
        *,
        prompt: int = 0,
        run: kv_forecast.Run | None = None,
    ) -> Iterator[None]:
        """Count one request at an endpoint while the block runs."""
        release = self.add_request(endpoint, prompt=prompt, run=run)
        try:
            yield
        finally:
            release()

    def add_request(
        self,
        endpoint: types.EndpointId,
        *,
        prompt: int = 0,
        run: kv_forecast.Run | None = None,
    ) -> Callable[[], None]:
        """Count one request at an endpoint until the result is called."""
        use = self.own.setdefault(endpoint, EndpointLoad())
        use.requests += 1
        use.prompt_tokens += prompt
        if run is not None:
            use.runs.append(run)
        is_told = run is not None or prompt > 0
        self._note_change(is_told)

        def release() -> None:
            use.requests -= 1
            use.prompt_tokens -= prompt
            if run is not None:
                _remove(use.runs, run)
            if use.requests == 0:
                self.own.pop(endpoint, None)
            self._note_change(is_told)

        return release

    def _note_change(self, is_told: bool) -> None:
        if (
            is_told
            or self.gateway_count
            <= fleet_size.MAX_GATEWAYS_FOR_INSTANT_REPORTS
        ):
            self._changed()

    def receive(
        self,
        sender: types.VmId,
        incarnation: int,
        sequence: int,
        loads: dict[types.EndpointId, EndpointLoad],
        now: float,
        waiting: tuple[queue_order_mod.WaitingSummary, ...] = (),
    ) -> None:
        """Take another gateway's figures; older ones are dropped.

        `incarnation` differs after a restart, when numbers begin anew;
        `waiting` are those that wait for a place and go first.
        """
        heard = self._others.setdefault(sender, _Heard())
        if incarnation == heard.life and sequence <= heard.number:
            return
        heard.life = incarnation
        heard.number = sequence
        heard.at = now
        self._note_read_since(heard, loads, now)
        self._unindex(sender, heard)
        heard.uses = loads
        for endpoint, use in loads.items():
            self._at.setdefault(endpoint, {})[sender] = use
        heard.first = waiting

    def _note_read_since(
        self,
        heard: _Heard,
        uses: dict[types.EndpointId, EndpointLoad],
        now: float,
    ) -> None:
        """Note where a gateway has no prompt any more that is read."""
        for endpoint, use in heard.uses.items():
            if (
                use.prompt_tokens
                and not uses.get(endpoint, EndpointLoad()).prompt_tokens
            ):
                self.record_prefilled(endpoint, now)

    def record_prefilled(self, endpoint: types.EndpointId, now: float) -> None:
        """An endpoint has read a prompt to its end."""
        self._read_at[endpoint] = now

    def prefilled_within(
        self, endpoint: types.EndpointId, rest_s: float, now: float
    ) -> bool:
        """Whether its last prompt was read less than `rest_s` ago."""
        return now < self._read_at.get(endpoint, -rest_s) + rest_s

    def received_since(self, sender: types.VmId, since: float) -> bool:
        """Whether a gateway has told its figures after a clock reading."""
        heard = self._others.get(sender)
        return heard is not None and heard.at > since

    def forget(self, sender: types.VmId) -> None:
        """A gateway is gone, and with it what it had under way."""
        heard = self._others.pop(sender, None)
        if heard is not None:
            self._unindex(sender, heard)

    def _unindex(self, sender: types.VmId, heard: _Heard) -> None:
        for endpoint in heard.uses:
            found = self._at.get(endpoint, {})
            found.pop(sender, None)
            if not found:
                self._at.pop(endpoint, None)

    def expire(self, now: float) -> None:
        """Drop figures that have not been refreshed."""
        for endpoint, at in list(self._read_at.items()):
            if now - at > KEEP_S:
                del self._read_at[endpoint]
        for sender, heard in list(self._others.items()):
            if now - heard.at > KEEP_S:
                self.forget(sender)

    @property
    def gateway_count(self) -> int:
        """How many gateways tell their figures, this one included."""
        return len(self._others) + 1

    def oldest_age_s(self, now: float) -> float:
        """Age of the oldest figures that count, in seconds."""
        ages = (now - heard.at for heard in self._others.values())
        return max(ages, default=0.0)

    def waiting_ahead(
        self, left: queue_order_mod.WaitingSummary, me: types.VmId, now: float
    ) -> int:
        """How many that wait at other gateways go before one here."""
        mine = left.rank(0.0)
        count = 0
        for sender, heard in self._others.items():
            age = now - heard.at
            if age > _FIRST_S:
                continue
            for other in heard.first:
                rank = other.rank(age)
                if queue_order_mod.is_ahead(rank, sender, mine, me):
                    count += 1
        return count

    def total(self, endpoint: types.EndpointId) -> EndpointLoad:
        """All use of an endpoint that is known."""
        mine = self.own.get(endpoint, EndpointLoad())
        found = EndpointLoad(
            requests=mine.requests,
            prompt_tokens=mine.prompt_tokens,
            runs=list(mine.runs),
        )
        for use in self._at.get(endpoint, {}).values():
            found.requests += use.requests
            found.prompt_tokens += use.prompt_tokens
            found.runs += use.runs
        return found


def _remove(runs: list[kv_forecast.Run], run: kv_forecast.Run) -> None:
    # Runs of equal figures are not the same run.
    for at, item in enumerate(runs):
        if item is run:
            del runs[at]
            return
