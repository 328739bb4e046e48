"""Simulated endpoints that hold KV memory, decode in batches and preempt."""

import asyncio
import collections
import math
from typing import Callable

from rackpost.decide import kv_forecast
from rackpost.testing import fleet_load

# Time step of token generation.
_STEP_S = 0.01
# Prefill time at a decode endpoint over that at a prefill endpoint.
_IN_PLACE_SLOWDOWN = 2.0


class Stream:
    """A generation at an endpoint."""

    def __init__(
        self, *, prompt: int, answer: int, progress: kv_forecast.Progress
    ) -> None:
        self.prompt = prompt
        self.answer = answer
        self.generated = 0.0
        self.events = 0
        self.progress = progress
        self.first_at = math.inf
        self.last_at = 0.0
        self.longest_pause_s = 0.0
        self.ended = asyncio.Event()
        self.on_event: Callable[[], None] = progress.record_event

    @property
    def size(self) -> int:
        """Tokens that occupy KV memory."""
        return self.prompt + int(self.generated)


class DecodeEngine:
    """A simulated decode endpoint."""

    def __init__(
        self,
        *,
        spec: fleet_load.Spec,
        outcome: fleet_load.Outcome,
        number: int,
    ) -> None:
        self._spec = spec
        self._outcome = outcome
        self._number = number
        self._loop = asyncio.get_running_loop()
        self._runs: list[Stream] = []
        self._preempted: list[Stream] = []
        self.held: collections.Counter[int] = collections.Counter()
        # No tokens are generated during a prefill.
        self._prefilling_until = 0.0

    @property
    def _used(self) -> int:
        return sum(item.size for item in self._runs)

    def set_aside(self, holder: int, tokens: int) -> bool:
        """Set memory aside; return False if there is too little."""
        held = sum(self.held.values())
        if self._used + held + tokens > self._spec.memory_tokens:
            return False
        self.held[holder] = tokens
        return True

    def start(self, stream: Stream) -> bool:
        """Start a prefilled run; return False if memory is full."""
        held = sum(self.held.values())
        if self._used + held + stream.size > self._spec.memory_tokens:
            return False
        stream.last_at = self._loop.time()
        self._runs.append(stream)
        return True

    async def run(self) -> None:
        """Generate tokens until cancelled."""
        while True:
            await asyncio.sleep(_STEP_S)
            now = self._loop.time()
            self._resume_preempted(now)
            if now >= self._prefilling_until:
                self._generate(now)
            self._preempt_until_fits()

    def _resume_preempted(self, now: float) -> None:
        """Prefill a preempted run again if there is memory for it."""
        if not self._preempted or now < self._prefilling_until:
            return
        first = self._preempted[0]
        if self._used + first.size > 0.98 * self._spec.memory_tokens:
            return
        self._preempted.pop(0)
        self._runs.append(first)
        factor = self._spec.decode_speeds.factor(self._number, now)
        token_s = self._spec.prefill_token_s * factor
        took = first.size * token_s * _IN_PLACE_SLOWDOWN
        self._prefilling_until = now + took

    def _generate(self, now: float) -> None:
        spec = self._spec
        count = len(self._runs)
        token_s = spec.token_s + count * spec.token_each_s
        token_s *= spec.decode_speeds.factor(self._number, now)
        for stream in list(self._runs):
            stream.generated += _STEP_S / token_s
            ended = stream.generated >= stream.answer
            if (
                ended
                or stream.generated >= (stream.events + 1) * spec.event_tokens
            ):
                self._record_event(stream, now)
            if ended:
                self._runs.remove(stream)
                stream.ended.set()

    def _record_event(self, stream: Stream, now: float) -> None:
        if stream.events:
            pause = now - stream.last_at
            stream.longest_pause_s = max(stream.longest_pause_s, pause)
        else:
            stream.first_at = now
        stream.events += 1
        stream.last_at = now
        stream.on_event()

    def _preempt_until_fits(self) -> None:
        # What is set aside does not give way.
        room = self._spec.memory_tokens - sum(self.held.values())
        while self._runs and self._used > room:
            newest = self._runs.pop()
            self._preempted.append(newest)
            self._outcome.preempted += 1
            self._outcome.wasted += newest.size


class PrefillEngine:
    """A simulated prefill endpoint, which prefills prompts in sequence."""

    def __init__(self, *, spec: fleet_load.Spec, number: int) -> None:
        self._spec = spec
        self._number = number
        self._loop = asyncio.get_running_loop()
        self._free_at = 0.0

    async def prefill(self, prompt: int) -> float:
        """Prefill a prompt; return the seconds that this took."""
        now = self._loop.time()
        factor = self._spec.prefill_speeds.factor(self._number, now)
        took = prompt * self._spec.prefill_token_s * factor
        self._free_at = max(now, self._free_at) + took
        await asyncio.sleep(self._free_at - now)
        return self._free_at - now
