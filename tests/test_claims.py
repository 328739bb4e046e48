"""Requests that may run once run at most once, whatever process dies."""

import asyncio
import collections
import random

import msgspec

from rackpost.entry import request
from rackpost.state import terms
from rackpost.testing import claims
from rackpost.testing import engine
from rackpost.testing import virtual
from rackpost import types
from tests import driver

ONCE = types.RepeatClass.ONCE
SINGLE = types.RepeatClass.SINGLE
OUT = types.Outcome


def test_a_resend_of_an_answered_request_runs_nothing() -> None:
    async def main() -> None:
        site = driver.small_site(claims=claims.LocalClaims())
        second = site.add_entry("e1", driver.HALL)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        first = driver.ask("a", repeat=ONCE, claim="deed")
        given = await driver.take(entry, first)
        assert given.whole
        # A resend gets the kept answer, also from another entry.
        again = driver.ask("a2", repeat=ONCE, claim="deed")
        got = await driver.take(second, again)
        assert got.pieces == given.pieces
        assert got.end.outcome is OUT.ANSWERED
        assert sum(site.ledger.runs.values()) == 1
        assert len(site.ledger.prefilled) == 1
        # Once the answer is dropped, a resend is refused as answered.
        for node in site.nodes.values():
            node.agent._answers._answers.clear()
        late = driver.ask("a3", repeat=ONCE, claim="deed")
        got = await driver.take(second, late)
        assert got.end.reason is types.Refusal.CLAIM_ANSWERED
        assert not got.pieces
        assert sum(site.ledger.runs.values()) == 1
        site.close()

    virtual.run(main())


def test_a_resend_while_it_runs_is_told_so_and_runs_nothing() -> None:
    async def main() -> None:
        site = driver.small_site(claims=claims.LocalClaims())
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        first = asyncio.create_task(
            driver.take(
                entry,
                driver.ask("a", repeat=ONCE, claim="deed", max_tokens=60),
            )
        )
        await asyncio.sleep(0.6)
        got = await driver.take(
            entry, driver.ask("a2", repeat=ONCE, claim="deed")
        )
        assert got.end.reason is types.Refusal.CLAIM_RUNNING
        assert (await first).whole
        assert sum(site.ledger.runs.values()) == 1
        site.close()

    virtual.run(main())


def test_after_the_entry_died_a_once_request_is_never_run_again() -> None:
    async def main() -> None:
        site = driver.small_site(claims=claims.LocalClaims())
        second = site.add_entry("e1", driver.HALL)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        req = driver.ask("a", repeat=ONCE, claim="deed", max_tokens=60)
        first = asyncio.create_task(driver.take(entry, req))
        await asyncio.sleep(0.6)
        assert site.ledger.runs[req.req] == 1
        site.kill_entry(entry)
        first.cancel()
        await asyncio.sleep(0.1)
        got = await driver.take(
            second, driver.ask("a2", repeat=ONCE, claim="deed")
        )
        # Not claim-running: the agent knows that the attempt has ended.
        assert got.end.outcome is OUT.UNKNOWN
        assert got.end.reason is types.Refusal.CLAIM_UNKNOWN
        assert sum(site.ledger.runs.values()) == 1
        site.close()

    virtual.run(main())


def test_after_the_entry_died_a_single_request_is_answered_on_resend() -> None:
    async def main() -> None:
        site = driver.small_site(claims=claims.LocalClaims())
        second = site.add_entry("e1", driver.HALL)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        req = driver.ask("a", repeat=SINGLE, claim="note", max_tokens=60)
        first = asyncio.create_task(driver.take(entry, req))
        await asyncio.sleep(0.6)
        site.kill_entry(entry)
        first.cancel()
        await asyncio.sleep(0.1)
        again = driver.ask("a2", repeat=SINGLE, claim="note")
        assert (await driver.take(second, again)).whole
        site.close()

    virtual.run(main())


def test_without_control_what_needs_a_claim_is_not_run() -> None:
    async def main() -> None:
        kept = claims.LocalClaims()
        site = driver.small_site(claims=kept)
        await asyncio.sleep(0.1)
        kept.unreachable = True
        got = await driver.take(
            site.entries[0], driver.ask("a", repeat=ONCE, claim="deed")
        )
        assert got.end.outcome is OUT.NOT_RUN
        assert got.end.reason is types.Refusal.CONTROL_AWAY
        assert not site.ledger.runs and not site.ledger.prefilled
        free = await driver.take(site.entries[0], driver.ask("b"))
        assert free.whole
        site.close()

    virtual.run(main())


def _storm(seed: int) -> None:
    """Resend requests while entries, agents and engines die at random."""

    async def main() -> None:
        rng = random.Random(seed)
        site = driver.small_site(
            prefills=2,
            decodes=3,
            seed=seed,
            claims=claims.LocalClaims(),
            spec=engine.EngineSpec(kv_keep_s=0.6),
        )
        for idx in (1, 2):
            site.add_entry(f"e{idx}", driver.HALL)
        await asyncio.sleep(0.1)
        given: dict[str, set[str]] = collections.defaultdict(set)
        not_run: list[str] = []

        async def caller(number: int) -> None:
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            for attempt in range(3):
                if not site.entries:
                    return
                entry = rng.choice(site.entries)
                name = f"k{number}.{attempt}"
                req = driver.ask(
                    name, repeat=ONCE, claim=f"k{number}", max_tokens=30
                )
                try:
                    async with asyncio.timeout(rng.uniform(0.1, 3.0)):
                        got = await driver.take(entry, req)
                except TimeoutError:
                    continue
                if got.end.outcome is OUT.ANSWERED:
                    given[f"k{number}"].add("".join(got.pieces))
                if got.end.outcome is OUT.NOT_RUN:
                    not_run.append(name)

        async def faults() -> None:
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            site.kill_entry(site.entries[0])
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            victim = rng.choice(["t0", "t2", "t3"])
            if rng.random() < 0.5:
                site.nodes[victim].kill_agent()
            else:
                site.engines[victim].kill()

        await asyncio.gather(faults(), *(caller(i) for i in range(25)))
        await asyncio.sleep(1.5)
        runs: collections.Counter[str] = collections.Counter()
        for name, count in site.ledger.runs.items():
            runs[name.split(".")[0]] += count
        assert max(runs.values()) == 1
        # Each attempt has its own prompt, so a second answer to a key would
        # differ from the first.
        assert sum(len(texts) for texts in given.values()) > 10
        for texts in given.values():
            assert len(texts) == 1
        for name in not_run:
            req_id = types.RequestId(name)
            assert not site.ledger.runs[req_id]
            assert not site.ledger.prefilled_for(req_id)
        assert not site.held()
        site.close()

    virtual.run(main())


def test_a_storm_of_deaths_and_resends_runs_nothing_twice() -> None:
    for seed in range(12):
        _storm(seed)


def once_call(name: str) -> request.Request:
    """Return a plain call that may run once."""
    return msgspec.structs.replace(
        driver.call(name, b"deed"),
        terms=terms.Terms(repeat=ONCE, max_open=100),
        claim=types.ClaimKey(f"deed-{name}"),
    )


def test_a_deed_that_never_reached_its_service_is_filed_at_another() -> None:
    # Guards against reporting a call as unknown though its agent sealed it
    # before it ran.
    async def main() -> None:
        site = driver.small_site(plains=3, claims=claims.LocalClaims())
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        for name in ("p0", "p1"):
            site.nodes[name].engine.dead = True  # type: ignore
        got = await driver.take(entry, once_call("x"))
        assert got.whole
        assert sum(site.ledger.runs.values()) == 1
        site.nodes["p2"].engine.dead = True  # type: ignore
        got = await driver.take(entry, once_call("y"))
        assert got.end.outcome is OUT.NOT_RUN
        assert sum(site.ledger.runs.values()) == 1
        site.close()

    virtual.run(main())
