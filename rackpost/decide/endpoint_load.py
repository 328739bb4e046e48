"""What is under way at each endpoint, from all gateways.  Pure.

Each gateway counts what it has sent and tells the others; a figure that
has not been refreshed lately is dropped, since its gateway may be gone.
"""

import contextlib
from typing import Callable
from typing import Iterator

import msgspec

from rackpost import types

# Gateways tell their figures at least each second; three may be lost.
KEEP_S = 3.5


class Use(msgspec.Struct, array_like=True, kw_only=True):
    """What is under way at one endpoint.

    Attributes:
        requests: requests that run or wait there.
        tokens: KV cache that they need, in tokens.
        prompt: tokens of prompts that are still to be prefilled.
    """

    requests: int = 0
    tokens: int = 0
    prompt: int = 0


class _Heard:
    """The latest figures of another gateway."""

    def __init__(self) -> None:
        self.number = -1
        self.at = 0.0
        self.uses: dict[types.EndpointId, Use] = {}


class LoadBook:
    """Own and others' use of the endpoints."""

    def __init__(self, *, changed: Callable[[], None]) -> None:
        """`changed` is called when own figures change."""
        self.own: dict[types.EndpointId, Use] = {}
        self._changed = changed
        self._others: dict[types.VmId, _Heard] = {}

    @contextlib.contextmanager
    def held(
        self, endpoint: types.EndpointId, *, tokens: int = 0, prompt: int = 0
    ) -> Iterator[Use]:
        """Count one request at an endpoint while the block runs."""
        use = self.own.setdefault(endpoint, Use())
        use.requests += 1
        use.tokens += tokens
        use.prompt += prompt
        self._changed()
        try:
            yield use
        finally:
            use.requests -= 1
            use.tokens -= tokens
            use.prompt -= prompt
            if use.requests == 0:
                self.own.pop(endpoint, None)
            self._changed()

    def take(
        self,
        sender: types.VmId,
        number: int,
        uses: dict[types.EndpointId, Use],
        now: float,
    ) -> None:
        """Take another gateway's figures; older ones are dropped."""
        heard = self._others.setdefault(sender, _Heard())
        stale = now - heard.at > KEEP_S
        if number <= heard.number and not stale:
            return
        heard.number = number
        heard.at = now
        heard.uses = uses

    def total(self, endpoint: types.EndpointId, now: float) -> Use:
        """All use of an endpoint that is known."""
        mine = self.own.get(endpoint, Use())
        found = Use(
            requests=mine.requests, tokens=mine.tokens, prompt=mine.prompt
        )
        for heard in self._others.values():
            use = heard.uses.get(endpoint)
            if use is not None and now - heard.at <= KEEP_S:
                found.requests += use.requests
                found.tokens += use.tokens
                found.prompt += use.prompt
        return found
