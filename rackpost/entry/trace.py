"""Traces of the latest requests, for `rackpost explain`."""

import asyncio
from collections import OrderedDict

import msgspec

from rackpost import types

# Bound the memory for traces.
_MAX_TRACES = 2048
_MAX_STEPS = 64


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One step; `at_s` is seconds since the request arrived."""

    at_s: float
    what: str
    agent: str = ""
    detail: str = ""


class Trace(msgspec.Struct, kw_only=True):
    """The steps of one request, as `rackpost explain` prints them."""

    req: types.RequestId
    caller: types.CallerId
    service: types.ServiceName
    kind: types.KindName
    began: float
    steps: list[Step]


class Traces:
    """The traces of the latest requests of an entry."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._traces: OrderedDict[types.RequestId, Trace] = OrderedDict()

    def start(
        self,
        *,
        req: types.RequestId,
        caller: types.CallerId,
        service: types.ServiceName,
        kind: types.KindName,
    ) -> None:
        """Start a trace; drop the oldest if there are too many."""
        self._traces[req] = Trace(
            req=req,
            caller=caller,
            service=service,
            kind=kind,
            began=self._loop.time(),
            steps=[],
        )
        while len(self._traces) > _MAX_TRACES:
            self._traces.popitem(last=False)

    def record_step(
        self,
        req: types.RequestId,
        what: str,
        *,
        agent: str = "",
        detail: str = "",
    ) -> None:
        """Add a step, unless the trace was dropped or is full."""
        trace = self._traces.get(req)
        if trace is None or len(trace.steps) >= _MAX_STEPS:
            return
        at_s = round(self._loop.time() - trace.began, 6)
        trace.steps.append(
            Step(at_s=at_s, what=what, agent=agent, detail=detail)
        )

    def get(self, req: types.RequestId) -> Trace | None:
        """Return the trace of a request, if it was not dropped."""
        return self._traces.get(req)
