"""Checks histories of control replicas under faults: python -m lab.history.

Operators write and read, and entries claim and settle, while replicas are
killed, restarted and isolated.  Each seed is one run in virtual time.
"""

import argparse
import asyncio
import multiprocessing
import random
import sys

from lab import linear
from rackpost.state import commands
from rackpost.testing import cluster
from rackpost.testing import virtual
from rackpost import types

_NAMES = ("c0", "c1", "c2")
_SECONDS = 12.0
_OPERATORS = 4
_ENTRIES = 3
_PATHS = ("nord", "sor")


class Run:
    """One run: its clients, faults and recorded history."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.group = cluster.Cluster(names=_NAMES, seed=seed, compact_at=60)
        self.writes: list[linear.WriteRecord] = []
        self.reads: list[linear.ReadRecord] = []
        self.claims: list[linear.ClaimRecord] = []
        self._loop = asyncio.get_running_loop()
        self._number = 0

    async def run(self) -> list[str]:
        """Run to completion; return the violations in the history."""
        faults = asyncio.create_task(self._faults())
        clients = [self._operator(idx) for idx in range(_OPERATORS)]
        clients += [self._entry(idx) for idx in range(_ENTRIES)]
        await asyncio.gather(*clients)
        await faults
        await self._final_reads()
        self.group.close()
        wrong = linear.check_writes(self.writes, self.reads)
        return wrong + linear.check_claims(self.claims)

    async def _commit(
        self, cmd: commands.AnyCommand
    ) -> commands.Result | None:
        # Any replica may be used, and the reply may be lost.
        if not self.group.up:
            return None
        name = self.rng.choice(sorted(self.group.up))
        result = await self.group.up[name].node.commit(cmd)
        return None if self.rng.random() < 0.1 else result

    async def _operator(self, idx: int) -> None:
        while self._loop.time() < _SECONDS:
            await asyncio.sleep(self.rng.uniform(0.02, 0.3))
            if self.rng.random() < 0.4:
                await self._read(self.rng.choice(_PATHS))
            else:
                await self._write(idx, self.rng.choice(_PATHS))

    async def _read(self, path: str) -> linear.ReadRecord | None:
        if not self.group.up:
            return None
        name = self.rng.choice(sorted(self.group.up))
        node = self.group.up[name].node
        start = self._loop.time()
        if not await node.confirm_read():
            return None
        found = node.machine.tree.nodes.get(path)
        value = found.values.get("weight") if found else None
        read = linear.ReadRecord(
            path,
            start,
            self._loop.time(),
            found.revision if found else 0,
            float(value) if value is not None else None,
        )
        self.reads.append(read)
        return read

    async def _write(self, idx: int, path: str) -> None:
        read = await self._read(path)
        if read is None:
            return
        self._number += 1
        value = 1.0 + self._number / 1000.0
        cmd = commands.Write(
            op=types.OperationId(f"op{self._number}"),
            who=f"operator {idx}",
            at=self._loop.time(),
            path=path,
            based_on=types.Revision(read.revision),
            values={"weight": value},
        )
        start = self._loop.time()
        result = None
        for _ in range(4):
            result = await self._commit(cmd)
            if result is not None:
                break
        if isinstance(result, commands.Conflict):
            return
        revision = None
        if isinstance(result, commands.Accepted):
            revision = int(result.revision)
        end = self._loop.time() if revision is not None else None
        self.writes.append(
            linear.WriteRecord(
                path, value, read.revision, start, end, revision
            )
        )

    async def _entry(self, idx: int) -> None:
        turn = 0
        while self._loop.time() < _SECONDS:
            turn += 1
            await asyncio.sleep(self.rng.uniform(0.01, 0.2))
            key = f"k{self.rng.randrange(40)}"
            await self._claim(key, f"e{idx}-{turn}")

    async def _claim(self, key: str, holder: str) -> None:
        one = commands.ClaimRequest(
            key=types.ClaimKey(key),
            agent=types.AgentId("a"),
            incarnation=types.Incarnation(1),
            req=types.RequestId(holder),
            attempt=types.Attempt(1),
        )
        start = self._loop.time()
        result = None
        for _ in range(4):
            result = await self._commit(self._batch(claims=(one,)))
            if result is not None:
                break
        if not isinstance(result, commands.ClaimResults):
            return
        if result.states[0] != "granted":
            return
        self._record_claim(key, holder, "granted", start)
        await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        what = "answered" if self.rng.random() < 0.5 else "sealed"
        settled = commands.ClaimOutcome(
            key=one.key, req=one.req, attempt=one.attempt, state=what
        )
        start = self._loop.time()
        self._record_claim(key, holder, what, start)
        for _ in range(20):
            if await self._commit(self._batch(settled=(settled,))) is not None:
                return

    def _batch(
        self,
        claims: tuple[commands.ClaimRequest, ...] = (),
        settled: tuple[commands.ClaimOutcome, ...] = (),
    ) -> commands.ClaimBatch:
        return commands.ClaimBatch(
            at=self._loop.time(), keep_s=600.0, claims=claims, settled=settled
        )

    def _record_claim(
        self, key: str, holder: str, what: str, start: float
    ) -> None:
        now = self._loop.time()
        self.claims.append(linear.ClaimRecord(key, holder, what, start, now))

    async def _faults(self) -> None:
        while self._loop.time() < _SECONDS:
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            name = self.rng.choice(_NAMES)
            if self.rng.random() < 0.5:
                await self._kill(name)
            else:
                self.group.isolate(name)
                await asyncio.sleep(self.rng.uniform(0.1, 3.0))
                self.group.reconnect(name)

    async def _kill(self, name: str) -> None:
        self.group.kill(name)
        if self.rng.random() < 0.3:
            # Lose the quorum shortly afterwards.
            second = self.rng.choice(sorted(self.group.up))
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            self.group.kill(second)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            self.group.start(second)
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.group.start(name)

    async def _final_reads(self) -> None:
        for path in _PATHS:
            while await self._read(path) is None:
                await asyncio.sleep(0.05)


def run_seed(seed: int) -> tuple[int, int, int, list[str]]:
    """Return the seed, accepted writes, claim events and violations."""

    async def main() -> tuple[int, int, int, list[str]]:
        run = Run(seed=seed)
        wrong = await run.run()
        accepted = sum(1 for item in run.writes if item.revision)
        return seed, accepted, len(run.claims), wrong

    return virtual.run(main())


def main() -> None:
    """Run and check all seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    args = parser.parse_args()
    workers = max(1, multiprocessing.cpu_count() - 1)
    with multiprocessing.Pool(workers) as pool:
        found = pool.map(run_seed, range(args.seeds))
    bad = [(seed, wrong) for seed, _, _, wrong in found if wrong]
    writes = sum(item[1] for item in found)
    claims = sum(item[2] for item in found)
    print(
        f"history: {len(found)} runs, {writes} accepted writes, "
        f"{claims} claim events, {len(bad)} wrong"
    )
    for seed, wrong in bad[:5]:
        print(f"  seed {seed}: {wrong[:3]}")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
