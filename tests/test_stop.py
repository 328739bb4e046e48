"""A planned stop, and what a gateway keeps through it."""

import asyncio
import json
import os
import pathlib

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


def close_late(site: site_mod.Site, *, left_s: float) -> None:
    """A planned stop is so far that it ends in `left_s` seconds."""
    site.planned_stop.begin(site.loop_time() + left_s)
    site.planned_stop.close()


def hinted(tokens: int) -> bytes:
    """A generation of a length that its client guesses."""
    return test_gateway.generation(more=f"X-Length-Hint: {tokens}\r\n")


def alone(root: pathlib.Path) -> site_mod.Site:
    """What a gateway knows that is linked to nobody."""
    plan = platform_site.Plan(root=root)
    return site_mod.Site(host=plan.host(31, kind="edge"))


def test_a_planned_stop_ends_what_runs_and_is_not_ready_at_once(
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
            # New connections still come until the balancer has noticed.
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


def test_what_comes_late_in_a_planned_stop_is_refused_and_not_cut(
    tmp_path: pathlib.Path,
) -> None:
    """Taken 6 s after SIGTERM, a stream was cut at the end (LOST)."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            own = site.gateway.site
            # The route's time is 3 s.
            close_late(own, left_s=2.5)
            for path in ("/unsafe/x", "/gen/x"):
                got = await site.raw(test_gateway.request(path))
                assert test_gateway.status(got) == 503
                assert b"retry-after" in got
            assert not any(one.requests for one in site.endpoints)
            own.planned_stop = planned_stop.PlannedStop()
            await site.gateway.stop()
            assert own.planned_stop.ends_at < own.loop_time() + 8.0
            assert not own.planned_stop.may_begin(own.loop_time() + 8.0)

    asyncio.run(main())


def test_what_surely_ends_in_time_is_served_late_in_a_planned_stop(
    tmp_path: pathlib.Path,
) -> None:
    """All gateways stopped at once: 186 quick requests were refused."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            close_late(site.gateway.site, left_s=10.0)
            got = await site.raw(test_gateway.request("/unsafe/x"))
            assert test_gateway.status(got) == 200

    asyncio.run(main())


def test_a_stream_that_a_planned_stop_would_cut_is_not_begun(
    tmp_path: pathlib.Path,
) -> None:
    """Streams of ten seconds were begun and cut after seven."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            own = site.gateway.site
            own.pace.record_decode(10, 10.0)
            own.planned_stop.begin(own.loop_time() + 5.0)
            got = await site.raw(hinted(8))
            assert test_gateway.status(got) == 503
            assert b"retry-after: 0.05" in got
            assert not site.prefill.requests
            # Nothing was full: elsewhere it comes as a new one.
            assert not own.refused.recent(own.loop_time())
            own.planned_stop.begin(own.loop_time() + 30.0)
            got = await site.raw(hinted(1))
            assert test_gateway.status(got) == 200

    asyncio.run(main())


def test_nor_is_one_begun_to_see_whether_it_would_be_cut(
    tmp_path: pathlib.Path,
) -> None:
    """Where nothing had begun for a second one was tried all the same.

    Seen once, in a run of this suite beside others, in the test before this
    one: 200 in place of 503, as more than a second had passed since the site
    was up.
    """

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            own = site.gateway.site
            own.pace.record_decode(10, 10.0)
            own.planned_stop.begin(own.loop_time() + 5.0)
            await asyncio.sleep(admission_queue._TRY_S + 0.1)
            got = await site.raw(hinted(8))
            assert test_gateway.status(got) == 503
            assert not site.prefill.requests

    asyncio.run(main())


def test_a_gateway_never_goes_back_to_an_older_document(
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


def test_a_document_without_routes_is_one(tmp_path: pathlib.Path) -> None:
    """It was taken for none: a change of it fitted nothing, for a second."""

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


def test_who_asks_before_the_first_document_waits_for_it(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            known = site.gateway.site
            routes, known.routes = known.routes, None
            known.routed.clear()
            known.began = known.loop_time()
            asked = asyncio.create_task(
                site.raw(test_gateway.request("/safe/x"))
            )
            done, _ = await asyncio.wait([asked], timeout=0.1)
            assert not done
            known.routes = routes
            known.routed.set()
            assert test_gateway.status(await asked) == 200

    asyncio.run(main())


def test_a_gateway_long_without_a_document_refuses_at_once(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            known = site.gateway.site
            known.routes = None
            known.routed.clear()
            known.began = known.loop_time() - 10.0
            got = await site.raw(test_gateway.request("/safe/x"))
            assert test_gateway.status(got) == 503

    asyncio.run(main())


def test_who_asks_before_the_first_heartbeats_waits_for_one(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            known = site.gateway.site
            alive = dict(known.table.alive)
            known.table.alive.clear()
            known.began = known.loop_time()
            asked = asyncio.create_task(
                site.raw(test_gateway.request("/unsafe/x"))
            )
            done, _ = await asyncio.wait([asked], timeout=0.1)
            assert not done
            known.table.alive.update(alive)
            assert test_gateway.status(await asked) == 200

    asyncio.run(main())


def test_a_gateway_without_coordinators_is_still_counted(
    tmp_path: pathlib.Path,
) -> None:
    """Cut off from control it serves on; the others forgot its load."""

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
        site.drop_gateways()
        assert other.vm not in site.gateways
        assert not site.loads.total(types.EndpointId("a")).requests

    asyncio.run(main())


def test_all_that_a_gateway_tells_is_taken(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        site = alone(tmp_path)
        told = messages.GatewayLoad(
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
        share = load_exchange.LoadExchange(site=site)
        share.datagram_received(codec.encode(told), None)
        now = site.loop_time()
        later = queue_order.WaitingSummary(
            priority=0, slack_s=2.0, start_s=5.0
        )
        assert site.loads.waiting_ahead(later, site.host.vm, now) == 1
        assert site.refused.was_refused(11, now)
        assert site.health.is_avoided(types.EndpointId("a"), now)
        assert site.health.is_full(types.EndpointId("b"), now)

    asyncio.run(main())


def test_a_log_that_nobody_reads_drops_lines_and_never_waits() -> None:
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


def test_settings_are_read_again_when_their_file_changes(
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
