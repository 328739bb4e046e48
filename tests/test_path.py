"""The path of a request through entry, agents and engines."""

import asyncio

import pytest

from rackpost.testing import engine
from rackpost.testing import virtual
from rackpost import types
from tests import driver

OK = types.Outcome.ANSWERED


def test_a_request_is_answered_completely() -> None:
    async def main() -> None:
        site = driver.small_site()
        await asyncio.sleep(0.1)
        got = await driver.take(site.entries[0], driver.ask("a"))
        assert got.whole
        assert got.end.outcome is OK
        assert not site.held()
        site.close()

    virtual.run(main())


def test_a_plain_call_is_forwarded() -> None:
    async def main() -> None:
        site = driver.small_site()
        await asyncio.sleep(0.1)
        got = await driver.take(site.entries[0], driver.call("a", b"x"))
        assert got.whole
        site.close()

    virtual.run(main())


def test_a_burst_is_answered_or_refused_and_answers_never_mixed() -> None:
    async def main() -> None:
        site = driver.small_site()
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        got = await asyncio.gather(
            *(driver.take(entry, driver.ask(f"r{i}")) for i in range(150))
        )
        answered = [item for item in got if item.end.outcome is OK]
        refused = [
            item for item in got if item.end.outcome is types.Outcome.NOT_RUN
        ]
        assert len(answered) + len(refused) == 150
        assert len(answered) >= 10 and len(refused) >= 20
        assert all(item.whole for item in answered)
        assert not any(item.pieces for item in refused)
        # Refused requests must not have run at an engine.
        assert len(site.ledger.runs) == len(answered)
        assert len(site.ledger.prefilled) == len(answered)
        assert not site.held()
        site.close()

    virtual.run(main())


# Prefill takes 0.5 s and the transfer 0.4 s, so that a caller can leave in
# the agent's queue, in prefill, in the transfer and in decode.
SLOW = engine.EngineSpec(prefill_base_s=0.5, link_bytes_s=1.3e8, kv_keep_s=0.8)


@pytest.mark.parametrize("moment", [0.3, 0.75, 1.2, 1.6])
def test_engine_memory_is_free_after_the_caller_left(moment: float) -> None:
    async def main() -> None:
        site = driver.small_site(prefills=1, decodes=1, spec=SLOW)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        first = asyncio.create_task(
            driver.take(entry, driver.ask("first", ttft_s=3.0))
        )
        req = driver.ask("gone", ttft_s=3.0, max_tokens=60)
        await driver.leave_after(entry, req, moment)
        await asyncio.sleep(0.9)
        assert "gone" not in site.held()
        assert (await first).whole
        assert entry.open_requests == 0
        await asyncio.sleep(0.1)
        assert not site.held()
        site.close()

    virtual.run(main())


def test_engine_memory_is_free_after_the_entry_died() -> None:
    async def main() -> None:
        site = driver.small_site(spec=SLOW)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        tasks = [
            asyncio.create_task(
                driver.take(entry, driver.ask(f"r{i}", ttft_s=3.0))
            )
            for i in range(8)
        ]
        await asyncio.sleep(1.3)
        assert site.held()
        site.kill_entry(entry)
        await asyncio.sleep(1.0)
        assert not site.held()
        for node in site.nodes.values():
            assert node.agent.open_attempts == 0
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        site.close()

    virtual.run(main())


def test_a_killed_agent_breaks_no_promise_while_others_can_take_over() -> None:
    async def main() -> None:
        site = driver.small_site(prefills=2, decodes=3)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        tasks = [
            asyncio.create_task(
                driver.take(entry, driver.ask(f"r{i}", max_tokens=60))
            )
            for i in range(6)
        ]
        await asyncio.sleep(0.8)
        site.nodes["t3"].kill_agent()
        got = await asyncio.gather(*tasks)
        assert all(item.whole for item in got)
        assert all(item.end.outcome is OK for item in got)
        await asyncio.sleep(1.0)
        assert not site.held()
        site.close()

    virtual.run(main())


def test_a_planned_stop_cuts_nothing_and_takes_nothing_new() -> None:
    async def main() -> None:
        site = driver.small_site()
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        tasks = [
            asyncio.create_task(
                driver.take(entry, driver.ask(f"r{i}", max_tokens=60))
            )
            for i in range(6)
        ]
        await asyncio.sleep(0.5)
        leaving = site.nodes["t2"].agent
        leaving.leave()
        await asyncio.sleep(0.01)
        before = leaving.open_attempts
        more = [
            asyncio.create_task(
                driver.take(entry, driver.ask(f"m{i}", max_tokens=60))
            )
            for i in range(6)
        ]
        await asyncio.sleep(0.05)
        assert leaving.open_attempts <= before
        await leaving.drained()
        entry.stop()
        late = await driver.take(entry, driver.ask("late"))
        assert late.end.reason is types.Refusal.ENTRY_STOPPING
        got = await asyncio.gather(*tasks, *more)
        assert all(item.whole for item in got)
        # Complete because they could end, not because of a retry elsewhere.
        assert not entry.metrics.totals("retried")
        await entry.drained()
        site.close()

    virtual.run(main())


def test_a_fault_in_an_attempts_task_ends_the_attempt() -> None:
    # Guards against an attempt that stays open for ever because its task
    # raised an unexpected exception.
    async def main() -> None:
        site = driver.small_site()
        await asyncio.sleep(0.1)
        node = site.nodes["p0"]

        def broken(**_: object) -> None:
            raise ZeroDivisionError

        node.engine.call = broken  # type: ignore[method-assign,assignment]
        got = await driver.take(site.entries[0], driver.call("a"))
        counted = node.agent.metrics.counted("failed", types.Failure.AGENT)
        assert counted == 1
        assert got.end.outcome is types.Outcome.UNKNOWN
        assert node.agent.open_attempts == 0
        site.close()

    virtual.run(main())


def test_cache_events_are_not_requested_from_a_plain_service() -> None:
    # A plain service would take the request as a call.
    async def main() -> None:
        site = driver.small_site()
        await asyncio.sleep(2.0)
        asked = []
        node = site.nodes["p0"]

        async def events() -> None:
            asked.append(1)

        node.engine.events = events  # type: ignore
        await asyncio.sleep(2.0)
        assert not asked
        site.close()

    virtual.run(main())


def test_idle_links_are_nearly_silent_and_changes_are_reported_soon() -> None:
    # Guards against the traffic of load reports on hundreds of idle links.
    async def main() -> None:
        site = driver.small_site()
        await asyncio.sleep(6.0)
        entry = site.entries[0]
        reports: list[float] = []
        loop = asyncio.get_running_loop()
        learn = entry.pool.update_load

        def counting(agent: types.AgentId, load: object) -> None:
            reports.append(loop.time())
            learn(agent, load)  # type: ignore[arg-type]

        entry.pool.update_load = counting  # type: ignore[method-assign]
        await asyncio.sleep(20.0)
        assert len(reports) <= 5 * len(site.nodes)
        # Another entry fills an endpoint; this one learns of it in a second.
        other = site.add_entry("e1", driver.HALL)
        await asyncio.sleep(0.1)
        reports.clear()
        asked = [
            asyncio.create_task(
                driver.take(other, driver.ask(f"r{i}", max_tokens=60))
            )
            for i in range(8)
        ]
        await asyncio.sleep(1.0)
        assert reports
        await asyncio.gather(*asked)
        site.close()

    virtual.run(main())
