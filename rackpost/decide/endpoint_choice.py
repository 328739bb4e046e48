"""Which endpoint a gateway sends a request to.  Pure."""

import random
from typing import Iterable
from typing import Sequence

from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.routing import endpoints
from rackpost import types

# An endpoint in another data centre is taken when it is less loaded by
# more than this part; bytes between data centres are dear.
_REMOTE_X = 1.15
# A usual time of an answer until one was measured, in seconds.
_USUAL_S = 0.1


class Chooser:
    """Chooses among the endpoints that are known to one gateway."""

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        loads: endpoint_load.LoadBook,
        health: endpoint_health.HealthBook,
        data_centre: types.DataCentre,
        silent_s: float,
        rng: random.Random,
    ) -> None:
        """`silent_s`: after so long without a heartbeat others go first."""
        self._table = table
        self._loads = loads
        self._health = health
        self._data_centre = data_centre
        self._silent_s = silent_s
        self._rng = rng
        self._changing: frozenset[types.EndpointId] = frozenset()

    def set_changing(self, keys: Iterable[types.EndpointId]) -> None:
        """These endpoints change their role and take nothing now."""
        self._changing = frozenset(keys)

    def candidates(
        self,
        service: types.ServiceName,
        role: types.Role,
        *,
        but: Sequence[types.EndpointId] = (),
        now: float,
    ) -> list[endpoints.Endpoint]:
        """Ready endpoints of a role.

        Those that are silent or have just failed only if there is no other.
        """
        found = [
            item
            for item in self._table.alive.values()
            if item.service == service
            and item.role is role
            and item.state is endpoints.EndpointState.READY
            and item.id not in but
            and item.id not in self._changing
        ]
        well = [
            item for item in found if not self._health.avoided(item.id, now)
        ]
        before = now - self._silent_s
        heard = [
            item for item in well if not self._table.is_silent(item.id, before)
        ]
        return heard or well or found

    def plain(
        self,
        service: types.ServiceName,
        *,
        but: Sequence[types.EndpointId] = (),
        now: float,
    ) -> endpoints.Endpoint | None:
        """The endpoint of a plain service where the wait is least."""
        found = self.candidates(service, types.Role.PLAIN, but=but, now=now)
        usual = self._usual_s(found)
        return min(
            found, key=lambda item: self._wait(item, usual, now), default=None
        )

    def prefill(
        self,
        service: types.ServiceName,
        prompt: int,
        *,
        but: Sequence[types.EndpointId] = (),
        now: float,
    ) -> endpoints.Endpoint | None:
        """The prefill endpoint with the least to read before `prompt`."""
        found = self.candidates(service, types.Role.PREFILL, but=but, now=now)

        def wait(item: endpoints.Endpoint) -> float:
            use = self._loads.total(item.id, now)
            slow = self._health.slowness(item.id, self._usual_s(found))
            return (use.prompt + prompt) * slow * self._far(item)

        return min(found, key=wait, default=None)

    def decode(
        self,
        service: types.ServiceName,
        run: kv_forecast.Run,
        capacity: int,
        *,
        in_place: bool = False,
        but: Sequence[types.EndpointId] = (),
        now: float,
    ) -> endpoints.Endpoint | None:
        """The decode endpoint with the most room; None if none has it.

        `capacity` is the KV memory of each endpoint, in tokens.  A prompt
        that is read `in_place` holds up the tokens of all that run there:
        only one is read at a time.
        """
        found = self.candidates(service, types.Role.DECODE, but=but, now=now)
        best: endpoints.Endpoint | None = None
        least = float("inf")
        for item in found:
            use = self._loads.total(item.id, now)
            peak = kv_forecast.peak([*use.runs, run])
            if peak > capacity or use.requests >= item.slots:
                continue
            if self._health.is_full(item.id, now):
                continue
            if in_place and use.prompt > 0:
                continue
            full = peak * self._far(item)
            if full < least:
                best, least = item, full
        return best

    def reads_in_place(self, service: types.ServiceName, now: float) -> bool:
        """Whether no endpoint prefills, so that decodes read themselves."""
        return not self.candidates(service, types.Role.PREFILL, now=now)

    def running(self, service: types.ServiceName, now: float) -> int:
        """How many generations hold a place at a service."""
        found = self.candidates(service, types.Role.DECODE, now=now)
        return sum(len(self._loads.total(item.id, now).runs) for item in found)

    def _usual_s(self, found: Sequence[endpoints.Endpoint]) -> float:
        known = sorted(
            took
            for took in (self._health.answer_s(item.id) for item in found)
            if took is not None
        )
        return known[len(known) // 2] if known else _USUAL_S

    def _wait(
        self, item: endpoints.Endpoint, usual: float, now: float
    ) -> float:
        use = self._loads.total(item.id, now)
        rounds = (use.requests + 1) / max(1, item.slots)
        slow = self._health.slowness(item.id, usual)
        # Ties are broken at random, so that gateways do not act alike.
        jitter = 1.0 + 0.02 * self._rng.random()
        return (0.5 + rounds) * slow * self._far(item) * jitter

    def _far(self, item: endpoints.Endpoint) -> float:
        return 1.0 if item.data_centre == self._data_centre else _REMOTE_X
