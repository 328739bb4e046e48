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


class Use(msgspec.Struct, array_like=True, kw_only=True):
    """What is under way at one endpoint.

    Attributes:
        requests: requests that run or wait there.
        prompt: tokens of prompts that are still to be prefilled.
        runs: what decodes hold of its KV memory.
    """

    requests: int = 0
    prompt: int = 0
    runs: list[kv_forecast.Run] = []


class _Heard:
    """The latest figures of another gateway."""

    def __init__(self) -> None:
        self.life = 0
        self.number = -1
        self.at = 0.0
        self.uses: dict[types.EndpointId, Use] = {}
        self.first: tuple[queue_order_mod.Left, ...] = ()


class LoadBook:
    """Own and others' use of the endpoints."""

    def __init__(self, *, changed: Callable[[], None]) -> None:
        """`changed` is called when others should know own figures."""
        self.own: dict[types.EndpointId, Use] = {}
        self._changed = changed
        self._others: dict[types.VmId, _Heard] = {}
        # The same figures by endpoint: few gateways use one at a time.
        self._at: dict[types.EndpointId, dict[types.VmId, Use]] = {}
        self._read_at: dict[types.EndpointId, float] = {}

    @contextlib.contextmanager
    def held(
        self,
        endpoint: types.EndpointId,
        *,
        prompt: int = 0,
        run: kv_forecast.Run | None = None,
    ) -> Iterator[None]:
        """Count one request at an endpoint while the block runs."""
        release = self.hold(endpoint, prompt=prompt, run=run)
        try:
            yield
        finally:
            release()

    def hold(
        self,
        endpoint: types.EndpointId,
        *,
        prompt: int = 0,
        run: kv_forecast.Run | None = None,
    ) -> Callable[[], None]:
        """Count one request at an endpoint until the result is called."""
        use = self.own.setdefault(endpoint, Use())
        use.requests += 1
        use.prompt += prompt
        if run is not None:
            use.runs.append(run)
        is_told = run is not None or prompt > 0
        self._note_change(is_told)

        def release() -> None:
            use.requests -= 1
            use.prompt -= prompt
            if run is not None:
                _remove(use.runs, run)
            if use.requests == 0:
                self.own.pop(endpoint, None)
            self._note_change(is_told)

        return release

    def _note_change(self, is_told: bool) -> None:
        if is_told or self.gateways <= fleet_size.TOLD_SINGLY:
            self._changed()

    def take(
        self,
        sender: types.VmId,
        life: int,
        number: int,
        uses: dict[types.EndpointId, Use],
        now: float,
        first: tuple[queue_order_mod.Left, ...] = (),
    ) -> None:
        """Take another gateway's figures; older ones are dropped.

        `life` differs after a restart, when numbers begin anew; `first`
        are those that wait for a place and go first.
        """
        heard = self._others.setdefault(sender, _Heard())
        if life == heard.life and number <= heard.number:
            return
        heard.life = life
        heard.number = number
        heard.at = now
        self._note_read_since(heard, uses, now)
        self._unindex(sender, heard)
        heard.uses = uses
        for endpoint, use in uses.items():
            self._at.setdefault(endpoint, {})[sender] = use
        heard.first = first

    def _note_read_since(
        self, heard: _Heard, uses: dict[types.EndpointId, Use], now: float
    ) -> None:
        """Note where a gateway has no prompt any more that is read."""
        for endpoint, use in heard.uses.items():
            if use.prompt and not uses.get(endpoint, Use()).prompt:
                self.note_read(endpoint, now)

    def note_read(self, endpoint: types.EndpointId, now: float) -> None:
        """An endpoint has read a prompt to its end."""
        self._read_at[endpoint] = now

    def rests(
        self, endpoint: types.EndpointId, rest_s: float, now: float
    ) -> bool:
        """Whether its last prompt was read less than `rest_s` ago."""
        return now < self._read_at.get(endpoint, -rest_s) + rest_s

    def heard_from(self, sender: types.VmId, since: float) -> bool:
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
    def gateways(self) -> int:
        """How many gateways tell their figures, this one included."""
        return len(self._others) + 1

    def oldest_s(self, now: float) -> float:
        """Age of the oldest figures that count, in seconds."""
        ages = (now - heard.at for heard in self._others.values())
        return max(ages, default=0.0)

    def ahead(
        self, left: queue_order_mod.Left, me: types.VmId, now: float
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
                if queue_order_mod.goes_before(rank, sender, mine, me):
                    count += 1
        return count

    def total(self, endpoint: types.EndpointId) -> Use:
        """All use of an endpoint that is known."""
        mine = self.own.get(endpoint, Use())
        found = Use(
            requests=mine.requests, prompt=mine.prompt, runs=list(mine.runs)
        )
        for use in self._at.get(endpoint, {}).values():
            found.requests += use.requests
            found.prompt += use.prompt
            found.runs += use.runs
        return found


def _remove(runs: list[kv_forecast.Run], run: kv_forecast.Run) -> None:
    # Runs of equal figures are not the same run.
    for at, item in enumerate(runs):
        if item is run:
            del runs[at]
            return
