"""Measures CPU, memory and message costs: python -m lab.slopes.

Prints, for docs/CAPACITY.md, the points and a fitted line for each cost, and
the time of a calibration loop to compare machines.
"""

import asyncio
import json
import pathlib
import random
import tempfile
import time

from lab import measure
from rackpost.consensus import messages as consensus
from rackpost.consensus import output
from rackpost.consensus import storage
from rackpost.control import messages as control
from rackpost.decide import demand
from rackpost.decide import endpoint_view
from rackpost.decide import placement
from rackpost.decide import reservations
from rackpost.decide import slots
from rackpost.entry import attempt
from rackpost.link import codec
from rackpost.link import messages
from rackpost.state import commands
from rackpost.state import machine
from rackpost.state import terms
from rackpost.state import tree
from rackpost.testing import cluster
from rackpost.testing import virtual
from rackpost import types

BUILD = pathlib.Path("build")


# Measurements; most return (size, seconds or bytes) points.


def _load(role: types.Role) -> messages.Load:
    slacks = tuple(0.1 for _ in messages.SLACKS_S)
    return messages.Load(
        role=role,
        revision=types.Revision(9),
        slots=20,
        used=9,
        longest_job_s=slacks,
    )


def _views(count: int) -> list[endpoint_view.EndpointView]:
    found = []
    for idx in range(count):
        role = types.Role.PREFILL if idx % 2 else types.Role.DECODE
        found.append(
            endpoint_view.EndpointView(
                agent=types.AgentId(f"a{idx}"),
                service=types.ServiceName("s"),
                data_centre=types.DataCentre("d"),
                load=_load(role),
                delay_s=0.0005,
                now=0.0,
            )
        )
    return found


def _requirements() -> endpoint_view.Requirements:
    return endpoint_view.Requirements(
        service=types.ServiceName("s"),
        kind=types.KindName("k"),
        prompt_tokens=2000,
        max_tokens=100,
        blocks=tuple(types.BlockHash(n) for n in range(15)),
        kv_bytes=200_000_000,
        ttft_s=0.59,
        tbt_s=0.058,
    )


def placement_times() -> dict[int, tuple[float, float]]:
    """Return median and p99 microseconds of a placement, by endpoints."""
    policy = placement.JointPolicy(rng=random.Random(1))
    found = {}
    for count in (8, 16, 32, 64, 600):
        pool = _views(count)
        requirements = _requirements()
        times = []
        for _ in range(600):
            began = time.perf_counter()
            policy.place(requirements=requirements, pool=pool, now=1.0)
            times.append((time.perf_counter() - began) * 1e6)
        times.sort()
        found[count] = (times[len(times) // 2], times[int(len(times) * 0.99)])
    return found


def reserve_cpu() -> list[tuple[float, float]]:
    """Return the CPU time to reserve and release, by number of attempts."""
    points = []
    for count in (500, 1000, 2000):

        def work() -> None:
            kept = reservations.ReservationLedger(
                spec=reservations.EndpointSpec(role=types.Role.DECODE)
            )
            for idx in range(count):
                key = slots.AttemptKey(
                    types.RequestId(f"r{idx}"), types.Attempt(1)
                )
                kept.reserve(_reserve(idx), key, idx * 0.01)
                kept.mark_ready(key)
                kept.next_start(idx * 0.01)
                kept.load(idx * 0.01)
                if idx >= 18:
                    old = slots.AttemptKey(
                        types.RequestId(f"r{idx - 18}"), types.Attempt(1)
                    )
                    kept.release(old, idx * 0.01, completed=True)

        points.append((float(count), measure.cpu_of(work)))
    return points


def _reserve(idx: int) -> messages.Reserve:
    return messages.Reserve(
        req=types.RequestId(f"r{idx}"),
        attempt=types.Attempt(1),
        part=types.Role.DECODE,
        service=types.ServiceName("s"),
        kind=types.KindName("k"),
        revision=types.Revision(1),
        within_s=0.5,
        prompt_tokens=2000,
        max_tokens=100,
        kv_bytes=20_000_000,
    )


def token_cpu() -> list[tuple[float, float]]:
    """Return the CPU time to encode and decode frames, by their number."""
    decoder = codec.Decoder(kinds=messages.FromAgent)
    points = []
    for count in (5_000, 10_000, 20_000):

        def work() -> None:
            for idx in range(count):
                msg = messages.Tokens(
                    req=types.RequestId("rp-0123456789abcdef01234567"),
                    attempt=types.Attempt(1),
                    offset=idx,
                    pieces=("token ",),
                )
                decoder.decode(codec.encode(msg))

        points.append((float(count), measure.cpu_of(work)))
    return points


def demand_cpu() -> list[tuple[float, float]]:
    """Return the CPU time to record demand, by requests a second."""
    points = []
    for rate in (5, 10, 20, 40):

        def work() -> None:
            seen = demand.DemandEstimator()
            for idx in range(2000):
                offer = demand.Offer(idx / rate, idx % 7, 0.05, 0.5)
                seen.record_offer(types.KindName("k"), offer)
                seen.higher_density_than(offer)

        points.append((float(rate), measure.cpu_of(work) / 2000))
    return points


def settings_memory() -> list[tuple[float, float]]:
    """Return the bytes of a settings tree, by nodes of four values."""
    points = []
    for count in (500, 1000, 2000):

        def make() -> object:
            kept = tree.Tree()
            for idx in range(count):
                values = {
                    "weight": float(idx),
                    "ttft_s": 0.5,
                    "max_open": 10,
                    "caller_key": f"{idx:064x}",
                }
                node = tree.Node(
                    revision=types.Revision(idx), values=dict(values)
                )
                kept.put(f"district/{idx}", node)
            return kept

        points.append((float(count), float(measure.memory_of(make))))
    return points


def endpoint_memory() -> list[tuple[float, float]]:
    """Return the bytes of an entry's endpoint views without prefix hints."""
    return [
        (float(count), float(measure.memory_of(lambda: _views(count))))
        for count in (100, 200, 400)
    ]


def stream_memory() -> list[tuple[float, float]]:
    """Return the bytes of an entry's open attempts, by their number."""
    points = []
    for count in (200, 400, 800):

        async def main() -> int:
            return measure.memory_of(
                lambda: [_attempt(idx) for idx in range(count)]
            )

        points.append((float(count), float(virtual.run(main()))))
    return points


def _attempt(idx: int) -> attempt.Attempt:
    from rackpost.entry import pool
    from rackpost.entry import request
    from rackpost.entry import trace
    from rackpost import metrics

    rng = random.Random(idx)
    return attempt.Attempt(
        req=request.Request(
            req=types.RequestId(f"r{idx}"),
            caller=types.CallerId("c"),
            service=types.ServiceName("s"),
            kind=types.KindName("k"),
            terms=terms.Terms(),
            body=bytes(4000),
        ),
        number=types.Attempt(1),
        requirements=_requirements(),
        offset=0,
        pool=pool.Pool(rng=rng),
        policy=placement.JointPolicy(rng=rng),
        metrics=metrics.Metrics(),
        traces=trace.Traces(),
        revision=types.Revision(1),
        priority=0,
    )


def claim_cpu() -> list[tuple[float, float]]:
    """Return the CPU time to claim and settle, by number of claims."""
    points = []
    for count in (2_000, 4_000, 8_000):

        def work() -> None:
            state = machine.Machine()
            for at in range(0, count, 100):
                state.apply(_claim_batch(at))

        points.append((float(count), measure.cpu_of(work)))
    return points


def _claim_batch(at: int) -> commands.ClaimBatch:
    claims = []
    settled = []
    for idx in range(at, at + 100):
        one = commands.ClaimRequest(
            key=types.ClaimKey(f"{idx:032x}"),
            agent=types.AgentId("a"),
            incarnation=types.Incarnation(1),
            req=types.RequestId(f"r{idx}"),
            attempt=types.Attempt(1),
        )
        claims.append(one)
        settled.append(
            commands.ClaimOutcome(
                key=one.key, req=one.req, attempt=one.attempt, state="answered"
            )
        )
    return commands.ClaimBatch(
        at=float(at),
        keep_s=600.0,
        claims=tuple(claims),
        settled=tuple(settled),
    )


def claim_bytes() -> list[tuple[float, float]]:
    """Return the bytes of a claim batch in the log, by its claims."""
    points = []
    for count in (10, 50, 100):
        batch = _claim_batch(0)
        cut = commands.ClaimBatch(
            at=0.0,
            keep_s=600.0,
            claims=batch.claims[:count],
            settled=batch.settled[:count],
        )
        points.append((float(count), float(len(codec.encode(cut)))))
    return points


def change_bytes() -> dict[str, int]:
    """Return the bytes of control messages and of an agent's summary."""
    node = tree.Node(
        revision=types.Revision(9), values={"tolk/dispatch.ttft_s": 0.4}
    )
    change = machine.Change(
        revision=types.Revision(9),
        op="0123456789abcdef",
        who="operator",
        at=1.0,
        path="district/school",
        before=node,
        node=node,
    )
    status = control.Status(
        name="entry-1",
        incarnation=types.Incarnation(time.time_ns()),
        revision=types.Revision(9),
    )
    alive = control.Alive(revision=types.Revision(9))
    summary = messages.Summary(load=_load(types.Role.DECODE))
    return {
        "feed of one change": len(
            codec.encode(control.Feed(changes=(change,)))
        ),
        "status": len(codec.encode(status)),
        "alive": len(codec.encode(alive)),
        "summary": len(codec.encode(summary)),
    }


def feed_cpu() -> list[tuple[float, float]]:
    """Return the CPU time to encode a change, by number of watchers."""
    points = []
    node = tree.Node(revision=types.Revision(9), values={"weight": 2.0})
    change = machine.Change(
        revision=types.Revision(9), path="district", node=node
    )
    msg = control.Feed(changes=(change,))
    for count in (100, 200, 400):

        def work() -> None:
            for _ in range(count):
                codec.encode(msg)

        points.append((float(count), measure.cpu_of(work)))
    return points


async def _sync_times(folder: pathlib.Path) -> tuple[float, float]:
    """Return median and p99 milliseconds of a synced append."""
    storage.create(
        folder,
        replica=consensus.ReplicaId("c0"),
        config=consensus.Config(voters=(consensus.ReplicaId("c0"),)),
    )
    disk = storage.FileDisk(folder=folder)
    disk.load()
    times = []
    for index in range(1, 301):
        out = output.Output()
        out.append = [
            consensus.Entry(
                index=consensus.Index(index),
                term=consensus.Term(1),
                data=bytes(300),
            )
        ]
        began = time.perf_counter()
        await disk.save(out)
        times.append((time.perf_counter() - began) * 1e3)
    disk.close()
    times.sort()
    return times[150], times[297]


def leaderless() -> tuple[float, float]:
    """Return median and maximum virtual seconds without a leader."""

    async def main(seed: int) -> float:
        names = ("c0", "c1", "c2")
        group = cluster.Cluster(names=names, seed=seed)
        old = await group.await_leader()
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        group.kill(old)
        began = loop.time()
        await group.await_leader(exclude=old)
        took = loop.time() - began
        group.close()
        return took

    times = sorted(virtual.run(main(seed)) for seed in range(40))
    return times[20], times[-1]


_LINES = {
    "agent: reservation and end (s)": reserve_cpu,
    "link: token frame, coded and decoded (s)": token_cpu,
    "entry: counting demand, by requests a second (s)": demand_cpu,
    "entry: known endpoint (bytes)": endpoint_memory,
    "entry: open attempt (bytes)": stream_memory,
    "all: settings node (bytes)": settings_memory,
    "control: claim and its end (s)": claim_cpu,
    "control: claim and its end in the log (bytes)": claim_bytes,
    "control: feeding one change to a watcher (s)": feed_cpu,
}


def main() -> None:
    """Run all measurements, print them and write build/slopes.json."""
    loop = measure.calibration()
    print(f"calibration: a million turns of a loop take {loop * 1e3:.1f} ms")
    report: dict[str, object] = {"calibration_s": loop}
    for name, take_points in _LINES.items():
        points = take_points()
        line = measure.fit(points)
        report[name] = {"points": points, "line": line._asdict()}
        shown = " ".join(f"{x:g}:{y:.4g}" for x, y in points)
        print(
            f"{name}: {line.slope:.4g} each, base {line.base:.3g}, "
            f"error {line.error:.2g}  [{shown}]"
        )
    for count, (middle, high) in placement_times().items():
        print(
            f"placement among {count}: {middle:.0f} us median, "
            f"{high:.0f} us p99, {middle / loop / 1e3:.2f} of a thousandth "
            "of the loop"
        )
    for name, size in change_bytes().items():
        print(f"{name}: {size} bytes")
    with tempfile.TemporaryDirectory() as folder:
        middle, high = asyncio.run(
            _sync_times(pathlib.Path(folder) / "replica")
        )
    print(f"synced append: {middle:.2f} ms median, {high:.2f} ms p99")
    middle, high = leaderless()
    print(f"without a leader: {middle:.2f} s median, {high:.2f} s at most")
    BUILD.mkdir(exist_ok=True)
    (BUILD / "slopes.json").write_text(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
