"""Streams break while endpoints are replaced and processes restart.

By hand: `python -m tests.test_version_soak FIRST LAST` for seeds.
"""

import asyncio
import pathlib
import random
import sys
from typing import NamedTuple

import pytest

from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import endpoint_soak
from tests import platform_site
from tests import versioned_site

_SECONDS = 20.0
_SECONDS_IN_CI = 6.0
_EVENT_S = 0.02
# Share of the events after which a stream breaks.
_BREAK_SHARE = 0.15
_MAX_TRIES = 4
# Streams that are resumed while nothing excuses a refusal, at least, for
# their share to count.
_MIN_RESUMED = 12
# How long processes and endpoints have to run until they count, in seconds.
_SETTLED_S = 0.7


class _Endpoint(versioned_site.Endpoint):
    """Streams with pauses, and breaks off now and then."""

    rng = random.Random(0)

    async def _stream(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        after = int(message.find(req.headers, b"last-event-id") or 0)
        software, ident = self.software.encode(), self.ident
        kind = [(b"content-type", b"text/event-stream")]
        responder.start(200, platform_site.vouching_headers(req) + kind)
        for number in range(after + 1, versioned_site.EVENTS + 1):
            if ident != self.ident or self.rng.random() < _BREAK_SHARE:
                responder.abort()
                return
            await responder.send_chunk(
                b"id: %d\ndata: %s\n\n" % (number, software)
            )
            await asyncio.sleep(_EVENT_S)
        responder.finish()


class _Conditions(NamedTuple):
    """What a stream needs to go on at a gateway, at one moment."""

    # Restarts of the gateway and of the coordinator.
    restarts: tuple[int, int]
    # Endpoints of the stream's version that have served for a while.
    idents: frozenset[str]

    def held_until(self, later: "_Conditions | None") -> bool:
        """Whether nothing that the stream needs was lost until `later`."""
        return (
            later is not None
            and self.restarts == later.restarts
            and len(self.idents & later.idents) >= 2
        )


class _Shares:
    """How many streams got an event, of those that had what they need."""

    def __init__(self) -> None:
        self.sent = 0
        self.went_on = 0

    def add(self, got: versioned_site.Stream) -> None:
        self.sent += 1
        self.went_on += bool(got.ids)


class _Soak(endpoint_soak.Soak):
    """Clients that resume their streams at any gateway."""

    request_interval_s = 0.04
    change_interval_s = 0.3
    restart_share = 0.3

    def __init__(self, *, site: versioned_site.Site, seed: int) -> None:
        super().__init__(site=site, seed=seed)
        _Endpoint.rng = random.Random(seed)
        self._streams = 0
        self._new = _Shares()
        self._resumed = _Shares()
        self._mixed: list[str] = []
        # When a process or an endpoint started last, by number or name.
        self._started_at: dict[int | str, float] = {}

    @property
    def has_enough(self) -> bool:
        return self._resumed.sent >= _MIN_RESUMED

    def change(self) -> str:
        """Replace a decode endpoint, at its address, by any version."""
        one = self.rng.choice(self.site.decode)
        self._streams += 1
        one.ident = f"{one.ident.partition('.')[0]}.{self._streams}"
        one.sequence = 0
        one.software = self.rng.choice(
            (versioned_site.OLD, versioned_site.NEW)
        )
        self._started_at[one.ident] = self.site.now()
        return f"{one.ident} is {one.software}"

    async def restart(self, group: asyncio.TaskGroup, number: int) -> None:
        if number not in self.down:
            down_s = self.rng.choice((0.0, 0.5))
            group.create_task(self.stop_and_start(number, down_s))

    async def stop_and_start(self, number: int, down_s: float) -> None:
        await super().stop_and_start(number, down_s)
        self._started_at[number] = self.site.now()

    def _conditions(
        self, gateway: int, software: str | None
    ) -> _Conditions | None:
        """Return what a stream has at a gateway, None if it lacks something.

        One that begins, with None for its version, may go to any endpoint.
        """
        processes = (gateway, endpoint_soak.CORE)
        if any(
            number in self.down or not self._is_settled(number)
            for number in processes
        ):
            return None
        return _Conditions(
            restarts=(
                self.incarnations[gateway],
                self.incarnations[endpoint_soak.CORE],
            ),
            idents=frozenset(
                one.ident
                for one in self.site.decode
                if self._is_settled(one.ident)
                and software in (None, one.software)
            ),
        )

    def _is_settled(self, started: int | str) -> bool:
        started_at = self._started_at.get(started, 0.0)
        return self.site.now() - started_at >= _SETTLED_S

    async def _send(self, gateway: int) -> None:
        """Request a stream, and resume it until it is whole."""
        self._streams += 1
        first = f"s{self._streams}"
        ids: list[int] = []
        versions: set[str] = set()
        origin = self._origin(gateway)
        for number in range(_MAX_TRIES):
            more = ""
            if ids:
                more = f"Last-Event-Id: {ids[-1]}\r\nResumes: {first}\r\n"
            else:
                origin = self._origin(gateway)
                if number:
                    first = f"{first}-new"
            # A path of its own: a request under which endpoints end is
            # quarantined, and endpoints are replaced all the time.
            path = f"/res/{first}"
            ident = f"{first}-{number}" if ids else first
            software = min(versions, default=None)
            before = self._conditions(gateway, software)
            got = await self._request(gateway, ident, path, more)
            self.answers[b"%d" % got.status] += 1
            if (
                before is not None
                and before.held_until(self._conditions(gateway, software))
                and (not ids or self._is_known(origin))
            ):
                (self._resumed if ids else self._new).add(got)
            ids += got.ids
            versions |= got.versions
            if len(ids) == versioned_site.EVENTS:
                break
            await asyncio.sleep(0.1 * self.rng.random())
            gateway = self.rng.choice(crashing_site.GATEWAYS)
        if len(versions) > 1 or ids != sorted(set(ids)):
            self._mixed.append(f"{first}: {ids} of {versions}")

    def _origin(self, gateway: int) -> dict[int, int]:
        """Return the processes that learn where a stream begins.

        Each with its restarts.
        """
        processes = (gateway, endpoint_soak.CORE)
        return {number: self.incarnations[number] for number in processes}

    def _is_known(self, origin: dict[int, int]) -> bool:
        """Whether a process still knows where a stream began."""
        return any(
            self.incarnations[number] == restarts and number not in self.down
            for number, restarts in origin.items()
        )

    async def _request(
        self, gateway: int, ident: str, path: str, more: str
    ) -> versioned_site.Stream:
        assert isinstance(self.site, versioned_site.Site)
        try:
            client = await self.site.open(gateway, ident, more, path)
        except OSError:
            return versioned_site.Stream(status=0, text=b"")
        try:
            return await client.rest()
        finally:
            client.close()

    def check(self) -> None:
        assert not self._mixed, self.events
        assert self.has_enough, self.report()
        # Endpoints break streams off, resumed ones as often as new ones.
        new_share = self._new.went_on / self._new.sent
        least = new_share / 2 * self._resumed.sent
        assert self._resumed.went_on >= least, self.report()

    def report(self) -> str:
        return (
            f"{self._resumed.sent} resumed, {self._resumed.went_on} went on; "
            f"{self._new.sent} new, {self._new.went_on} began"
        )


async def _play(
    root: pathlib.Path, seed: int, seconds: float
) -> endpoint_soak.Soak:
    async with versioned_site.unpowered(root, endpoint=_Endpoint) as site:
        soak = _Soak(site=site, seed=seed)
        await soak.run(seconds)
        return soak


@pytest.mark.parametrize("seed", [1])
def test_no_stream_holds_events_of_two_versions(
    tmp_path: pathlib.Path, seed: int
) -> None:
    asyncio.run(_play(tmp_path, seed, _SECONDS_IN_CI))


if __name__ == "__main__":
    endpoint_soak.play_by_hand(
        _play, int(sys.argv[1]), int(sys.argv[2]), _SECONDS
    )
