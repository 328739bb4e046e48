"""Requests under which endpoints go dark with their machines.

Guards against a request that is sent again and again, and ends one endpoint
after the other, because no connection closes as they end.
"""

import asyncio
import functools
import pathlib

import msgspec
import pytest

from rackpost import crash_tracker
from rackpost.decide import part_soundness
from rackpost.decide import unanswered
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost.routing import endpoints
from rackpost import types
from tests import crashing_site
from tests import platform_site

_MAX_ENDS = 3
_SENDS = 8
_PART = types.Fingerprint(b"part")


class _DarkEndpoint(crashing_site.Endpoint):
    """Answers a crashing request never, and closes nothing.

    It is back at its address, under its id if it names its start time.
    """

    born = 0

    def heartbeat(self, state: str = "ready", **more: object) -> dict:
        if self.born:
            more["born"] = self.born
        return super().heartbeat(state, **more)

    def _crash(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        self.crashed_bodies.append(req.body)
        if self.born:
            self.born += 1
        else:
            self.ident = f"{self._name}-{len(self.crashed_bodies)}"
            self.sequence = 0

    async def _run(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        crashes = len(self.crashed_bodies)
        await super()._run(req, responder)
        if len(self.crashed_bodies) > crashes:
            await asyncio.sleep(platform_site.TIMEOUT_S)


class _DatedEndpoint(_DarkEndpoint):
    """Names its start time."""

    born = 1000


class _Site(crashing_site.Site):
    """Endpoints that go dark."""

    async def send_until_dark(
        self, number: int, path: str, body: bytes, *, leaves: bool
    ) -> bytes | None:
        """Send a request; return its answer, None if an endpoint went dark.

        The endpoint is back before the client leaves, unless it `leaves`.
        """
        crashes = self.crashes
        sent = asyncio.create_task(self.send(number, path, body))
        await platform_site.until(
            lambda: sent.done() or self.crashes > crashes
        )
        if sent.done():
            return sent.result()
        if leaves:
            await _leave(sent)
        await self.wait_until_known()
        await _leave(sent)
        return None


async def _leave(sent: asyncio.Task[bytes]) -> None:
    sent.cancel()
    await asyncio.wait([sent])


@pytest.mark.parametrize("endpoint", [_DarkEndpoint, _DatedEndpoint])
@pytest.mark.parametrize("leaves", [False, True], ids=["stays", "leaves"])
@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/safe/x", b"crash run"),
        ("/gen/x", b"crash run"),
        ("/gen/x", b"crash reader"),
    ],
    ids=["plain", "decode", "prefill"],
)
def test_a_request_under_which_endpoints_go_dark_is_held_back_after_three(
    tmp_path: pathlib.Path,
    path: str,
    body: bytes,
    leaves: bool,
    endpoint: type[_DarkEndpoint],
) -> None:
    """Whether its client waits for it or has left, at any gateway."""

    async def main() -> None:
        make_site = functools.partial(_Site, endpoint=endpoint)
        async with crashing_site.site(tmp_path, make_site=make_site) as site:
            async with site.powered(first=True):
                for number in range(_SENDS):
                    gateway = crashing_site.GATEWAYS[number % 2]
                    await site.send_until_dark(
                        gateway, path, body, leaves=leaves
                    )
                assert site.crashes == _MAX_ENDS
                other = await site.send(31, path, b"another")
                assert b" 200 " in other

    asyncio.run(main())


def _ident(number: int) -> types.EndpointId:
    return types.EndpointId(f"e{number}")


class _Gateway:
    """What one gateway knows of endpoints, and of a request at them."""

    def __init__(self) -> None:
        self.table = endpoints.EndpointTable()
        self.tracker = crash_tracker.CrashTracker(table=self.table)
        self._sequence = 0
        self.beat(0.0)

    def beat(
        self,
        at: float,
        *,
        number: int = 1,
        born: int = 1,
        state: endpoints.EndpointState = endpoints.EndpointState.READY,
    ) -> None:
        """Receive a heartbeat of an endpoint."""
        self._sequence += 1
        item = endpoints.Endpoint(
            id=_ident(number),
            service=types.ServiceName("model"),
            address=f"10.0.0.{number}:80",
            sequence=self._sequence,
            born=born,
            state=state,
        )
        self.table.update(item, at)
        self.tracker.recheck(at)

    def send(self, at: float, number: int = 1) -> unanswered.Exchange:
        """Send the request to an endpoint."""
        exchange = unanswered.Exchange(
            endpoint=self.table.alive[_ident(number)],
            began_at=at,
            subjects=lambda: _SUBJECTS,
            progress=part_soundness.AnswerProgress(),
        )
        self.tracker.unanswered.begin(exchange)
        return exchange

    def suspected(self, now: float) -> set[types.Fingerprint]:
        """Return what is suspected of having ended endpoints."""
        found = self.tracker.quarantine.suspicions(1, now)
        return {item.subject for item in found if not item.cleared}


_SUBJECTS = crash_tracker.Subjects(
    request=types.Fingerprint(b"request"), parts=(_PART,)
)


def test_a_request_that_was_given_up_is_suspected_after_the_restart() -> None:
    gateway = _Gateway()
    exchange = gateway.send(0.5)
    gateway.tracker.unanswered.give_up(exchange, 3.5)
    gateway.tracker.recheck(4.0)
    assert not gateway.suspected(4.0)
    gateway.beat(20.0, born=2)
    assert gateway.suspected(20.0) == set(_SUBJECTS.all)


def test_a_request_in_flight_is_suspected_at_the_restart() -> None:
    gateway = _Gateway()
    exchange = gateway.send(0.5)
    gateway.beat(2.0, born=2)
    assert gateway.suspected(2.0) == set(_SUBJECTS.all)
    # Not a second time.
    gateway.tracker.unanswered.give_up(exchange, 3.5)
    assert not gateway.tracker.unanswered.has_given_up


def test_a_request_that_was_answered_is_not_suspected() -> None:
    gateway = _Gateway()
    assert gateway.tracker.unanswered.end(gateway.send(0.5))
    gateway.beat(2.0, born=2)
    assert not gateway.suspected(2.0)


def test_a_request_that_another_attempt_answered_is_not_suspected() -> None:
    gateway = _Gateway()
    exchange = gateway.send(0.5)
    gateway.tracker.record_served(_SUBJECTS, began_at=0.6, now=1.0)
    gateway.tracker.unanswered.give_up(exchange, 1.0)
    gateway.beat(2.0, born=2)
    assert not gateway.suspected(2.0)


def test_a_request_that_an_endpoint_outlived_is_not_suspected() -> None:
    """A slow endpoint, a cut, or a client that left, and a later end."""
    gateway = _Gateway()
    exchange = gateway.send(0.5)
    gateway.tracker.unanswered.give_up(exchange, 3.5)
    for at in (4.0, 5.0, 6.0, 7.0):
        gateway.beat(at)
    assert not gateway.tracker.unanswered.has_given_up
    gateway.beat(8.0, born=2)
    assert not gateway.suspected(8.0)


@pytest.mark.parametrize("is_given_up", [False, True])
def test_a_request_at_an_endpoint_that_leaves_is_not_suspected(
    is_given_up: bool,
) -> None:
    """Its planned end may cut what it still runs."""
    gateway = _Gateway()
    exchange = gateway.send(0.5)
    if is_given_up:
        gateway.tracker.unanswered.give_up(exchange, 0.9)
    gateway.beat(1.0, state=endpoints.EndpointState.DRAINING)
    gateway.beat(3.0, born=2)
    assert not gateway.suspected(3.0)


@pytest.mark.parametrize(
    ("sent_at", "is_suspected"), [(1.0, True), (1.9, True), (2.1, False)]
)
def test_a_request_that_is_sent_to_a_silent_endpoint_is_not_suspected(
    sent_at: float, is_suspected: bool
) -> None:
    """After two missed heartbeats the endpoint had ended before.

    Connections to a dark machine hang: until gateways avoid it, more requests
    are sent there than it ran as it ended.
    """
    gateway = _Gateway()
    exchange = gateway.send(sent_at)
    gateway.tracker.unanswered.give_up(exchange, 5.0)
    gateway.beat(6.0, born=2)
    assert bool(gateway.suspected(6.0)) is is_suspected


def test_what_is_remembered_of_requests_that_were_given_up_is_bounded() -> (
    None
):
    gateway = _Gateway()
    requests = gateway.tracker.unanswered
    for _ in range(2000):
        requests.give_up(gateway.send(0.5), 1.0)
    gateway.table.update(
        msgspec.structs.replace(gateway.table.alive[_ident(1)], born=2), 2.0
    )
    assert len(requests.take_ended(2.0)) == 1024


def test_an_innocent_request_is_served_though_power_is_lost() -> None:
    """A client that repeats it at its deadlines meets three dark machines.

    Its second and third try are sent to endpoints that are silent by then.
    """
    gateway = _Gateway()
    for number in (2, 3):
        gateway.beat(0.0, number=number)
    for number, sent_at in ((1, 0.5), (2, 3.5), (3, 6.5)):
        exchange = gateway.send(sent_at, number)
        gateway.tracker.unanswered.give_up(exchange, sent_at + 3.0)
    for number in (1, 2, 3):
        gateway.beat(10.0, number=number, born=2)
    found = gateway.tracker.quarantine.suspicions(1, 10.0)
    assert {item.endpoint for item in found} == {_ident(1)}
    assert gateway.tracker.quarantined(_SUBJECTS, 10.0) is None
