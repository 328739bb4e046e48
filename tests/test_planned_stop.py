"""A planned stop of a gateway while its requests take long."""

import asyncio
import collections
import json
import pathlib

import pytest

from rackpost.decide import request_durations
from rackpost.gateway import planned_stop
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost import types
from tests import platform_site
from tests import test_gateway

_SERVICE = types.ServiceName("plain")
_GRACE_S = 8.0


def stop_at_0() -> planned_stop.PlannedStop:
    """Return a stop from 0 to 7.5 s."""
    found = planned_stop.PlannedStop()
    found.begin(now=0.0, ends_at=7.5)
    return found


@pytest.mark.parametrize(
    "deadline, now, expected_s, is_repeatable, is_started",
    [
        # Ends in time whatever happens, also late in the stop.
        (7.5, 4.5, None, False, True),
        (7.6, 4.5, 0.1, True, False),
        # As long as the balancer sends requests: endpoints that take 5 s.
        (14.0, 0.1, 5.0, False, True),
        (16.0, 1.9, 5.0, False, True),
        (16.1, 2.1, 5.0, False, False),
        (16.1, 2.1, 5.0, True, False),
        # Quick ones are still served.
        (16.4, 2.4, 0.2, False, True),
        # Endpoints that take longer than the stop.
        (60.0, 0.0, 30.0, False, False),
        (60.0, 0.0, 30.0, True, False),
        # Nothing is known of them.
        (14.0, 0.1, None, True, True),
        (14.0, 0.1, None, False, False),
        # The balancer has removed the gateway, before 3 s have passed.
        (16.5, 2.5, 0.2, False, False),
    ],
)
def test_what_is_started_while_a_gateway_stops(
    deadline: float,
    now: float,
    expected_s: float | None,
    is_repeatable: bool,
    is_started: bool,
) -> None:
    """Load: one request each 50 ms, of endpoints that take 0.2 to 30 s.

    A refusal costs a retry at another gateway; a request that is cut off
    costs its work and can't be sent again if it is not repeatable.
    """
    assert is_started is stop_at_0().may_start(
        deadline=deadline,
        now=now,
        expected_s=expected_s,
        is_repeatable=is_repeatable,
    )


def test_all_is_started_while_no_stop_has_begun() -> None:
    assert planned_stop.PlannedStop().may_start(
        deadline=1e9, now=0.0, expected_s=None, is_repeatable=False
    )


def test_the_longest_recent_request_counts() -> None:
    found = request_durations.RequestDurations()
    assert found.longest_s(_SERVICE, 0.0) is None
    found.record(_SERVICE, 5.0, 1.0)
    found.record(_SERVICE, 0.2, 50.0)
    assert found.longest_s(_SERVICE, 59.0) == 5.0
    assert found.longest_s(types.ServiceName("other"), 59.0) is None
    # Still known in the next interval, and forgotten after it.
    found.record(_SERVICE, 0.3, 70.0)
    assert found.longest_s(_SERVICE, 70.0) == 5.0
    assert found.longest_s(_SERVICE, 131.0) == 0.3
    assert found.longest_s(_SERVICE, 500.0) is None


# What a client got in place of a status: nothing, though its request was read;
# or a connection that was closed before the gateway had read from it, which is
# idle for the gateway and which a client may try again elsewhere.
_CUT = 0
_NOT_READ = -1


def _record_read(site: platform_site.Site) -> set[bytes]:
    """Return the ids of the requests that the gateway reads from now on."""
    read: set[bytes] = set()
    listening = site.gateway._server
    handle = listening.handler

    async def record(
        req: message.Request, responder: server.Responder
    ) -> None:
        read.add(message.find(req.headers, b"x-request-id") or b"")
        await handle(req, responder)

    listening.handler = record
    return read


async def _send(
    site: platform_site.Site, path: str, ident: str, read: set[bytes]
) -> int:
    data = test_gateway.request(path, b"x", ident).replace(
        b"X-Deadline-Ms: 3000", b"X-Deadline-Ms: 14000"
    )
    try:
        got = await site.raw(data)
    except ConnectionResetError:
        got = b""
    if got:
        return test_gateway.status(got)
    return _CUT if ident.encode() in read else _NOT_READ


async def _set_slots(site: platform_site.Site, slots: int) -> None:
    """Let plain endpoints run all requests at once."""
    for one in site.plain:
        url = f"{site.plan.control_url(11)}/v1/instances/{one.ident}"
        body = json.dumps(one.heartbeat(slots=slots))
        async with site.operator.http.put(url, data=body) as resp:
            assert resp.status == 200
    table = site.gateway.site.table
    await platform_site.until(
        lambda: all(
            table.alive[types.EndpointId(one.ident)].slots == slots
            for one in site.plain
        )
    )


async def _stop_under_load(
    site: platform_site.Site, path: str, until_s: float, read: set[bytes]
) -> list[int]:
    """Stop the gateway and send one request each 50 ms."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    stop = asyncio.create_task(site.gateway.stop())
    clients = []
    while loop.time() - began < until_s:
        ident = f"late-{len(clients)}"
        clients.append(asyncio.create_task(_send(site, path, ident, read)))
        await asyncio.sleep(0.05)
    await stop
    assert site.gateway.site.planned_stop.ends_at < began + _GRACE_S
    # What is not answered now is cut, as by the end of the process.
    for conn in list(site.gateway._server.connections):
        conn.abort()
    return await asyncio.gather(*clients)


@pytest.mark.parametrize("took_s, known", [(5.0, True), (30.0, False)])
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_no_request_is_cut_without_an_answer_at_the_end_of_a_planned_stop(
    path: str, took_s: float, known: bool, tmp_path: pathlib.Path
) -> None:
    """Requests were read, passed on and cut as their answers were due."""

    async def slow(req: message.Request, responder: server.Responder) -> None:
        await asyncio.sleep(took_s)
        responder.send(200, platform_site.vouching_headers(req), b"done")

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            doc = platform_site.document(2)
            for route in doc["routes"]:
                route["timeoutMs"] = 60_000
            await site.operator.put_until_accepted(11, doc)
            await platform_site.until(lambda: site.gateway.site.version == 2)
            test_gateway.all_answer(site, slow)
            await _set_slots(site, 64)
            read = _record_read(site)
            if known:
                assert await _send(site, path, "first", read) == 200
            counts = collections.Counter(
                await _stop_under_load(site, path, 3.5, read)
            )
            # Each that was read is answered: run, refused as not run, or
            # unknown.
            assert set(counts) <= {200, 502, 503, _NOT_READ}, counts
            # Idle connections are closed from 2.5 s on.
            assert counts[_NOT_READ] < 0.5 * sum(counts.values()), counts
            if known:
                # What is begun is finished.
                assert counts[502] == 0 and counts[200] > 10, counts
            elif path == "/unsafe/x":
                assert set(counts) <= {503, _NOT_READ}, counts
            ran = sum(len(one.requests) for one in site.plain) - known
            assert ran == counts[200] + counts[502]

    asyncio.run(main())
