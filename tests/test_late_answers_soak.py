"""Endpoints that reject, fail, break off, and send old answers again.

Guards against unsafe requests that run twice, or are refused after a run.
By hand: python -m tests.test_late_answers_soak FIRST_SEED LAST_SEED
"""

import asyncio
import dataclasses
import itertools
import math
import pathlib
import random
import re
import sys

import pytest

from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import endpoint_soak

_SECONDS = 12.0
_SECONDS_IN_CI = 5.0
# A stream may go on elsewhere this long before its last run ends, in seconds.
_MAX_OVERLAP_S = 0.4
_PATHS = ("/unsafe/x", "/unsafe/x", "/safe/x", "/gen/x", "/res/x")
_PLAIN = ("/unsafe/x", "/safe/x")
_UNSAFE = ("/unsafe/x", "/gen/x")
_REFUSALS = (b"408", b"421", b"429", b"503")
_REJECTION = b"HTTP/1.1 503 "
_ID_LINE = re.compile(rb"(?i)x-request-id: [^\r]*\r\n")


@dataclasses.dataclass(kw_only=True)
class _Run:
    """A request's run at one endpoint, in loop time."""

    endpoint: str
    began: float
    ended: float = math.inf


class _Runs:
    """The runs of all requests, by their body."""

    def __init__(self) -> None:
        self._by_body: dict[bytes, list[_Run]] = {}

    def begin(self, body: bytes, endpoint: str) -> _Run:
        run = _Run(endpoint=endpoint, began=_now())
        self._by_body.setdefault(body, []).append(run)
        return run

    def of(self, body: bytes) -> list[_Run]:
        return self._by_body.get(body, [])

    def longest_overlap_s(self) -> float:
        """Return the longest time that two runs of a request went on."""
        return max(
            (
                min(one.ended, other.ended) - other.began
                for runs in self._by_body.values()
                for one, other in itertools.pairwise(runs)
            ),
            default=0.0,
        )


class _Repeater:
    """An endpoint that may send any answer of a connection again."""

    def __init__(
        self,
        *,
        endpoint: crashing_site.Endpoint,
        runs: _Runs,
        rng: random.Random,
    ) -> None:
        self._endpoint = endpoint
        self._runs = runs
        self._rng = rng
        self._old: dict[server.ServerConnection, list[bytes]] = {}
        self.sent_again = 0
        self.rejects = 0.0
        self.fails = 0.0
        endpoint.answer = self._answer

    def change(self) -> str:
        self.rejects = self._rng.choice((0.0, 0.3, 0.8))
        self.fails = self._rng.choice((0.0, 0.2, 0.6))
        return f"{self._endpoint.ident} {self.rejects} {self.fails}"

    def _send_old(self, conn: server.ServerConnection) -> None:
        """Send an old answer of a connection, with or without its id."""
        old = self._old.get(conn)
        if not old:
            return
        # A rejection lets a request be sent elsewhere.
        rejections = [item for item in old if item.startswith(_REJECTION)]
        if rejections and self._rng.random() < 0.5:
            old = rejections
        found = self._rng.choice(old[-4:])
        if self._rng.random() < 0.5:
            found = _ID_LINE.sub(b"", found, count=1)
        self.sent_again += 1
        conn.write(found)

    async def _answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        conn = responder._conn
        if self._rng.random() < 0.5:
            self._send_old(conn)
        written: list[bytes] = []
        write = responder._conn.write

        def record(data: bytes) -> None:
            written.append(data)
            write(data)

        conn.write = record  # type: ignore[method-assign]
        try:
            await self._answer_once(req, responder)
        finally:
            conn.write = write  # type: ignore[method-assign]
        self._old.setdefault(conn, []).append(b"".join(written))
        if self._rng.random() < 0.03:
            self._send_old(conn)
        if self._rng.random() < 0.06:
            asyncio.get_running_loop().call_later(
                0.05 * self._rng.random(), self._send_old, conn
            )

    async def _answer_once(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        rng = self._rng
        if rng.random() < self.rejects:
            lines = [(b"x-not-executed", b"1")]
            if rng.random() < 0.7:
                lines.append((b"retry-after", b"%.2f" % (0.3 * rng.random())))
            responder.send(503, lines, b"")
            return
        if self._endpoint.stage == "prefill":
            await self._serve(req, responder)
            return
        run = self._runs.begin(req.body, self._endpoint.ident)
        try:
            await self._serve(req, responder)
        finally:
            run.ended = _now()

    async def _serve(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        rng = self._rng
        # Streams last long enough to go on while another endpoint has them.
        longest_s = 1.0 if self._endpoint.stage == "decode" else 0.05
        await asyncio.sleep(longest_s * rng.random())
        if rng.random() >= self.fails:
            await self._endpoint.default_answer(req, responder)
        elif rng.random() < 0.5:
            responder.send(500, [], b"")
        else:
            responder.abort()


def _now() -> float:
    return asyncio.get_running_loop().time()


class _Soak(endpoint_soak.Soak):
    """One site under one seed."""

    request_interval_s = 0.02
    change_interval_s = 0.3
    restart_share = 0.04

    def __init__(self, *, site: crashing_site.Site, seed: int) -> None:
        super().__init__(site=site, seed=seed)
        self._runs = _Runs()
        self._repeaters = [
            _Repeater(endpoint=one, runs=self._runs, rng=self.rng)
            for one in site.endpoints
        ]
        self._unsafe: list[bytes] = []
        # Requests whose answer contradicts what endpoints did.
        self.faults: list[str] = []
        self._count = 0

    def change(self) -> str:
        return self.rng.choice(self._repeaters).change()

    async def _send(self, gateway: int) -> None:
        """Send a request, known to endpoints by its body."""
        path = self.rng.choice(_PATHS)
        self._count += 1
        body = b"body %d" % self._count
        try:
            answer = await self.site.send(gateway, path, body)
        except OSError:
            answer = b""
        status = answer[9:12]
        self.answers[status] += 1
        runs = self._runs.of(body)
        unsafe = path in _UNSAFE
        if unsafe and status in _REFUSALS and runs:
            self.faults.append(f"refused after a run: {path} {runs}")
        if status == b"200" and path in _PLAIN:
            if not answer.endswith(b"from " + body):
                self.faults.append(f"answer to another request: {path}")
        if unsafe:
            self._unsafe.append(body)

    def check(self) -> None:
        for body in self._unsafe:
            runs = self._runs.of(body)
            if len(runs) > 1:
                self.faults.append(f"ran twice: {runs}")
        overlap_s = self._runs.longest_overlap_s()
        assert not self.faults, self.faults
        assert overlap_s <= _MAX_OVERLAP_S
        # Guards against a run in which nothing came twice.
        assert self._sent_again > 0

    @property
    def _sent_again(self) -> int:
        return sum(one.sent_again for one in self._repeaters)

    def report(self) -> str:
        return (
            f"{self._count} requests, {self._sent_again} answers sent again, "
            f"overlap {self._runs.longest_overlap_s():.3f} s"
        )


@pytest.mark.parametrize("seed", [1])
def test_no_unsafe_request_runs_twice_whatever_comes_late(
    tmp_path: pathlib.Path, seed: int
) -> None:
    asyncio.run(_Soak.play(tmp_path, seed, _SECONDS_IN_CI))


if __name__ == "__main__":
    endpoint_soak.play_by_hand(
        _Soak.play, int(sys.argv[1]), int(sys.argv[2]), _SECONDS
    )
