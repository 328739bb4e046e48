"""A planned stop of a gateway, and its state at start and stop."""

import asyncio
import json
import os
import pathlib

import pytest

from rackpost.coordinator import messages
from rackpost.decide import endpoint_load
from rackpost.decide import queue_order
from rackpost.gateway import admission_queue
from rackpost.gateway import load_exchange
from rackpost.gateway import planned_stop
from rackpost.gateway import site as site_mod
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost.link import codec
from rackpost import logs
from rackpost.platform import documents
from rackpost.routing import changes
from rackpost import site_program
from rackpost import types
from tests import platform_site
from tests import test_gateway


def stop_late(site: site_mod.Site, *, remaining_s: float) -> None:
    """Put a planned stop into its last `remaining_s` seconds."""
    now = site.loop_time()
    # The load balancer sends nothing new after 3 s.
    site.planned_stop.begin(now=now - 3.0, ends_at=now + remaining_s)
    assert site.planned_stop.is_restricted(now)


def hinted(tokens: int) -> bytes:
    """Return a generation with the client's estimate of its length."""
    return test_gateway.generation(more=f"X-Length-Hint: {tokens}\r\n")


def alone(root: pathlib.Path) -> site_mod.Site:
    """Return the state of a gateway without links."""
    plan = platform_site.Plan(root=root)
    return site_mod.Site(host=plan.host(31, kind="edge"))


def test_a_planned_stop_finishes_running_requests_and_is_not_ready_at_once(
    tmp_path: pathlib.Path,
) -> None:
    go_on = asyncio.Event()

    async def slow(req: message.Request, responder: server.Responder) -> None:
        await go_on.wait()
        responder.send(200, platform_site.vouching_headers(req), b"done")

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            test_gateway.all_answer(site, slow)
            url = site.plan.ready_url(31)
            async with site.operator.http.get(url) as resp:
                assert resp.status == 200
            running = asyncio.create_task(
                site.raw(test_gateway.request("/unsafe/x"))
            )
            await platform_site.until(
                lambda: any(one.requests for one in site.plain)
            )
            stop = asyncio.create_task(site.gateway.stop())
            await asyncio.sleep(0)
            async with site.operator.http.get(url) as resp:
                assert resp.status == 503
            # The load balancer still sends new connections for a while.
            late = asyncio.create_task(
                site.raw(
                    test_gateway.request("/unsafe/x").replace(
                        b"Connection: close\r\n", b""
                    )
                )
            )
            await platform_site.until(
                lambda: sum(len(one.requests) for one in site.plain) == 2
            )
            assert not stop.done()
            go_on.set()
            for answer in (await running, await late):
                assert answer.endswith(b"done")
                assert b"connection: close" in answer
            await stop

    asyncio.run(main())


def test_late_requests_in_a_planned_stop_are_refused(
    tmp_path: pathlib.Path,
) -> None:
    """A request accepted late must not be cut off at the end of the stop."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            own = site.gateway.site
            # The route's time is 3 s.
            stop_late(own, remaining_s=2.5)
            for path in ("/unsafe/x", "/gen/x"):
                got = await site.raw(test_gateway.request(path))
                assert test_gateway.status(got) == 503
                assert b"retry-after" in got
            assert not any(one.requests for one in site.endpoints)
            own.planned_stop = planned_stop.PlannedStop()
            await site.gateway.stop()
            now = own.loop_time()
            assert own.planned_stop.ends_at < now + 8.0
            for is_repeatable in (False, True):
                assert not own.planned_stop.may_start(
                    deadline=now + 8.0,
                    now=now,
                    expected_s=0.1,
                    is_repeatable=is_repeatable,
                )

    asyncio.run(main())


def test_short_requests_are_served_late_in_a_planned_stop(
    tmp_path: pathlib.Path,
) -> None:
    """Quick requests are still served while all gateways stop at once."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            stop_late(site.gateway.site, remaining_s=10.0)
            got = await site.raw(test_gateway.request("/unsafe/x"))
            assert test_gateway.status(got) == 200

    asyncio.run(main())


def test_a_stream_that_a_planned_stop_would_cut_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    """A stream longer than the rest of the grace time must be refused."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            own = site.gateway.site
            own.token_timing.record_decode(10, 10.0)
            now = own.loop_time()
            own.planned_stop.begin(now=now, ends_at=now + 5.0)
            got = await site.raw(hinted(8))
            assert test_gateway.status(got) == 503
            assert b"retry-after: 0.05" in got
            assert not site.prefill.requests
            # No capacity was lacking: another gateway must treat it as new.
            assert not own.refusals.recent(own.loop_time())
            now = own.loop_time()
            own.planned_stop.begin(now=now, ends_at=now + 30.0)
            got = await site.raw(hinted(1))
            assert test_gateway.status(got) == 200

    asyncio.run(main())


def test_no_probe_is_admitted_that_a_planned_stop_would_cut(
    tmp_path: pathlib.Path,
) -> None:
    """Probes of seemingly infeasible requests must respect the stop too."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            own = site.gateway.site
            own.token_timing.record_decode(10, 10.0)
            now = own.loop_time()
            own.planned_stop.begin(now=now, ends_at=now + 5.0)
            await asyncio.sleep(admission_queue._PROBE_INTERVAL_S + 0.1)
            got = await site.raw(hinted(8))
            assert test_gateway.status(got) == 503
            assert not site.prefill.requests

    asyncio.run(main())


def test_an_older_document_is_never_applied(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        site = alone(tmp_path)

        def put(version: int) -> bool:
            text = json.dumps(platform_site.document(version)).encode()
            return site.apply_routing(
                changes.from_empty(documents.decode(text))
            )

        assert put(5)
        assert not put(4)
        assert not put(5)
        assert site.version == 5
        assert put(9)

    asyncio.run(main())


def test_a_document_without_routes_is_applied(tmp_path: pathlib.Path) -> None:
    """An empty document differs from none: changes apply to it."""

    async def main() -> None:
        site = alone(tmp_path)
        bare, full = (
            documents.decode(
                json.dumps(platform_site.document(at, **more)).encode()
            )
            for at, more in ((1, {"routes": []}), (2, {}))
        )
        assert site.apply_routing(changes.from_empty(bare))
        assert site.apply_routing(changes.diff(bare, full))
        assert site.version == 2

    asyncio.run(main())


def test_requests_before_the_first_document_wait_for_it(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            own = site.gateway.site
            routes, own.routes = own.routes, None
            own.routes_loaded.clear()
            own.started_at = own.loop_time()
            pending = asyncio.create_task(
                site.raw(test_gateway.request("/safe/x"))
            )
            done, _ = await asyncio.wait([pending], timeout=0.1)
            assert not done
            own.routes = routes
            own.routes_loaded.set()
            assert test_gateway.status(await pending) == 200

    asyncio.run(main())


def test_requests_long_after_the_start_without_a_document_are_refused(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            own = site.gateway.site
            own.routes = None
            own.routes_loaded.clear()
            own.started_at = own.loop_time() - 10.0
            got = await site.raw(test_gateway.request("/safe/x"))
            assert test_gateway.status(got) == 503

    asyncio.run(main())


def test_requests_before_the_first_heartbeats_wait_for_one(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            own = site.gateway.site
            alive = dict(own.table.alive)
            own.table.alive.clear()
            own.started_at = own.loop_time()
            pending = asyncio.create_task(
                site.raw(test_gateway.request("/unsafe/x"))
            )
            done, _ = await asyncio.wait([pending], timeout=0.1)
            assert not done
            own.table.alive.update(alive)
            assert test_gateway.status(await pending) == 200

    asyncio.run(main())


def test_a_gateway_without_coordinators_is_still_counted(
    tmp_path: pathlib.Path,
) -> None:
    """A gateway cut off from the coordinators still serves and adds load."""

    async def main() -> None:
        site = alone(tmp_path)
        other = messages.GatewayAddress(
            vm=types.VmId("g2"), load_address="h:1"
        )
        use = {types.EndpointId("a"): endpoint_load.EndpointLoad(requests=3)}
        site.set_gateways([other])
        site.loads.receive(other.vm, 1, 1, use, site.loop_time())
        site.set_gateways([])
        now = site.loop_time()
        assert site.loads.total(types.EndpointId("a")).requests == 3
        assert other.vm in site.gateways
        site.loads.receive(other.vm, 1, 2, use, now - 2.0)
        site.drop_silent_gateways()
        assert other.vm not in site.gateways
        assert not site.loads.total(types.EndpointId("a")).requests

    asyncio.run(main())


def test_all_fields_of_a_load_report_are_applied(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        site = alone(tmp_path)
        report = messages.GatewayLoad(
            vm=types.VmId("g2"),
            load_address="127.0.0.1:1",
            incarnation=1,
            sequence=1,
            loads={},
            waiting=(
                queue_order.WaitingSummary(
                    priority=0, slack_s=0.1, start_s=3.0
                ),
            ),
            refused_keys=(11,),
            failed=(types.EndpointId("a"),),
            rejecting=(types.EndpointId("b"),),
        )
        exchange = load_exchange.LoadExchange(site=site)
        exchange.datagram_received(codec.encode(report), None)
        now = site.loop_time()
        later = queue_order.WaitingSummary(
            priority=0, slack_s=2.0, start_s=5.0
        )
        assert site.loads.waiting_ahead(later, site.host.vm, now) == 1
        assert site.refusals.was_refused(11, now)
        assert site.health.is_avoided(types.EndpointId("a"), now)
        assert site.health.is_full(types.EndpointId("b"), now)

    asyncio.run(main())


def test_a_log_without_a_reader_drops_lines_and_never_waits() -> None:
    read_end, write_end = os.pipe()
    output = logs.BoundedOutput(fd=write_end, most=10)

    async def main() -> None:
        for number in range(5000):
            output({"number": number, "text": "x" * 100})
        output.flush()

    asyncio.run(main())
    assert output.dropped == 4990
    lines = os.read(read_end, 1 << 16).splitlines()
    assert [json.loads(line)["number"] for line in lines] == list(range(10))
    os.close(read_end)
    os.close(write_end)


def test_settings_are_reloaded_when_their_file_changes(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "node.json"
    raw = {"node": "a", "ip": "127.0.0.1", "zone": "z", "seeds": ["h:1"]}
    path.write_text(json.dumps(raw))
    os.environ["RACKPOST_BOOT"] = str(path)
    seen: list[tuple[str, ...]] = []

    async def main() -> None:
        signals = site_program.Signals(part=logs.Part.GATEWAY)
        task = asyncio.create_task(
            signals.watch(lambda host: seen.append(host.seeds))
        )
        await asyncio.sleep(0)
        path.write_text("{")
        signals._reload.set()
        await platform_site.until(lambda: not signals._reload.is_set())
        raw["seeds"] = ["other:1", "third:1"]
        path.write_text(json.dumps(raw))
        await platform_site.until(lambda: bool(seen))
        task.cancel()

    try:
        asyncio.run(main())
    finally:
        del os.environ["RACKPOST_BOOT"]
    assert seen == [("other:1", "third:1")]


def test_settings_that_change_before_the_first_check_are_reloaded(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change between the first read and the first check was lost."""
    path = tmp_path / "node.json"
    raw = {"node": "a", "ip": "127.0.0.1", "zone": "z", "seeds": ["h:1"]}
    path.write_text(json.dumps(raw))
    monkeypatch.setenv("RACKPOST_BOOT", str(path))
    seen: list[tuple[str, ...]] = []

    async def main() -> None:
        file = site_program.SettingsFile()
        signals = site_program.Signals(part=logs.Part.GATEWAY, file=file)
        assert file.read().seeds == ("h:1",)
        raw["seeds"] = ["other:1"]
        path.write_text(json.dumps(raw))
        task = asyncio.create_task(
            signals.watch(lambda host: seen.append(host.seeds))
        )
        await platform_site.until(lambda: bool(seen))
        task.cancel()

    asyncio.run(main())
    assert seen == [("other:1",)]
