"""Frames that are late, duplicated, missing or of another attempt."""

import asyncio

from rackpost.agent import attempts
from rackpost.agent import core
from rackpost.agent import orders
from rackpost.decide import slots
from rackpost.link import channel
from rackpost.link import messages
from rackpost.testing import virtual
from rackpost import types
from tests import driver

LOAD = messages.Load(role=types.Role.DECODE, revision=types.Revision(0))


def tokens(req: str, number: int, offset: int, text: str) -> messages.Tokens:
    return messages.Tokens(
        req=types.RequestId(req),
        attempt=types.Attempt(number),
        offset=offset,
        pieces=(text,),
    )


def test_frames_of_an_old_attempt_are_dropped() -> None:
    async def main() -> None:
        site = driver.small_site(decodes=1)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        task = asyncio.create_task(
            driver.take(entry, driver.ask("a", max_tokens=40))
        )
        await asyncio.sleep(0.3)
        att = entry._open[types.RequestId("a")].attempt
        assert att is not None
        at = entry._open[types.RequestId("a")].delivered
        peer = entry.pool.peer(types.AgentId("t2"))
        assert peer is not None
        # A frame with the expected offset but of another attempt, and one of
        # a request that has ended.
        entry._on_message(peer, tokens("a", 7, at, "crossed "))
        entry._on_message(peer, tokens("gone", 1, 0, "late "))
        got = await task
        assert got.whole
        dropped = entry.metrics.totals("dropped")
        assert dropped == {"old-attempt": 1, "unknown-request": 1}
        site.close()

    virtual.run(main())


def test_doubled_and_missing_frames_are_noticed() -> None:
    async def main() -> None:
        site = driver.small_site(decodes=1)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        task = asyncio.create_task(
            driver.take(entry, driver.ask("a", max_tokens=40))
        )
        await asyncio.sleep(0.3)
        peer = entry.pool.peer(types.AgentId("t2"))
        assert peer is not None
        # The first frame arrives again.
        entry._on_message(peer, tokens("a", 1, 0, "doubled "))
        got = await task
        assert got.whole
        assert entry.metrics.totals("dropped") == {"double": 1}
        site.close()

    virtual.run(main())


class StaleEntry:
    """An entry with outdated state, which releases nothing."""

    def __init__(self, agent: core.Agent) -> None:
        self.received: list[object] = []
        self.conn, agent_side = channel.local_pair(delay_s=0.001)
        self.conn.attach(receive=self.received.append, closed=lambda: None)
        agent.connect(agent_side)

    async def reserve(self) -> object:
        self.conn.send(
            messages.Reserve(
                req=types.RequestId("x"),
                attempt=types.Attempt(1),
                part=types.Role.PLAIN,
                service=driver.REGISTER,
                kind=types.KindName("filing"),
                revision=types.Revision(0),
                within_s=1.0,
            )
        )
        await asyncio.sleep(0.01)
        return self.received[-1]


def test_a_run_that_arrives_after_the_seal_is_dropped() -> None:
    async def main() -> None:
        site = driver.small_site()
        agent = site.nodes["p0"].agent
        # Another entry seals the attempt before the reservation arrives.
        sealing = StaleEntry(agent)
        sealing.conn.send(
            messages.Seal(req=types.RequestId("x"), attempt=types.Attempt(1))
        )
        await asyncio.sleep(0.01)
        sealed = sealing.received[-1]
        assert isinstance(sealed, messages.Sealed) and not sealed.ran
        stale = StaleEntry(agent)
        await stale.reserve()
        stale.conn.send(
            messages.RunCall(
                req=types.RequestId("x"),
                attempt=types.Attempt(1),
                method="POST",
                path="/a",
                query="",
                headers=(),
                body=b"deed",
            )
        )
        await asyncio.sleep(0.5)
        assert not site.ledger.runs
        site.close()

    virtual.run(main())


def test_a_leaving_agent_refuses_an_entry_that_does_not_know() -> None:
    async def main() -> None:
        site = driver.small_site()
        agent = site.nodes["p0"].agent
        agent.leave()
        reply = await StaleEntry(agent).reserve()
        assert isinstance(reply, messages.Refused)
        assert reply.reason is types.Refusal.LEAVING
        assert agent.open_attempts == 0
        site.close()

    virtual.run(main())


def test_only_growing_fences_pass() -> None:
    gate = orders.FenceGate()
    passed = [gate.passes(types.Fence(number)) for number in (3, 2, 3, 4, 1)]
    assert passed == [True, False, False, True, False]


def test_ended_attempts_are_forgotten_after_a_while() -> None:
    # Guards against memory that grows with the number of attempts.
    ended = attempts.EndedAttempts()
    for number in range(5000):
        key = slots.AttemptKey(types.RequestId(f"r{number}"), types.Attempt(1))
        ended.add(key, attempts.Ending.RAN, float(number))
    assert len(ended) <= attempts.RETENTION_S + 1
    assert ended.ending(key) is attempts.Ending.RAN
