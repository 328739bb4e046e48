"""Gateways and coordinators under requests that crash endpoints, no sockets.

Each request runs at a random endpoint for a fixed time.  Some have a part of
their prompt that crashes the endpoint as it begins the answer, with all that
runs there; endpoints also end by themselves and reset connections.  The crash
trackers and quarantine keepers are the product's, and what they send is
counted.
"""

import asyncio
import dataclasses
import pathlib
import random
from typing import NamedTuple

from rackpost.coordinator import messages
from rackpost.coordinator import quarantine_keeper
from rackpost import crash_tracker
from rackpost.decide import fingerprint
from rackpost.decide import part_soundness
from rackpost.link import codec
from rackpost.routing import endpoints
from rackpost import types

_LINK_DELAY_S = 0.0015
_FIRST_EVENT_S = 0.1
_EVENT_INTERVAL_S = 0.04
# From its start until a run is known to run well.
_RUNS_WELL_S = 0.45
_RUN_S = 3.5
# From its first event until the endpoint crashes.
_CRASH_AFTER_S = 0.05
# From an end until another incarnation replaces the endpoint.
_DOWN_S = 3.0
_HEARTBEAT_S = 1.2
_SERVICE = types.ServiceName("model")
# Length of a link's headers, in bytes.
_FRAME_BYTES = 46


class Way(NamedTuple):
    """What gateways suspect, and with whom they share it.

    `parts`: parts of prompts as well as requests; `sound`: parts that run
    well need more evidence; `shared`: with the other gateways.
    """

    parts: bool = True
    sound: bool = True
    shared: bool = True


@dataclasses.dataclass(kw_only=True)
class Load:
    """The load of a site, and its faults; rates are per second.

    `bad_from_s` is the time from which the bad part crashes endpoints, and
    `prompt` the number of parts of a prompt, of which `place` is the bad one.
    `resets_at_s` are times at which half of the connections are reset; without
    `heartbeats` no suspicion is cleared by an endpoint that is alive.
    """

    gateways: int = 5
    endpoints: int = 6
    sound_per_s: float = 7.0
    bad_per_s: float = 0.0
    bad_from_s: float = 0.0
    ends_per_s: float = 0.0
    resets_at_s: tuple[float, ...] = ()
    prompt: int = 4
    place: int = 1
    organisations: int = 4
    seconds: float = 30.0
    heartbeats: bool = True


@dataclasses.dataclass
class Result:
    """What the requests met, and the messages that passed."""

    sound: int = 0
    sound_refused: int = 0
    sound_broken: int = 0
    bad_sent: int = 0
    bad_refused: int = 0
    crashes: int = 0
    messages: int = 0
    bytes: int = 0
    # Times of the crashes by the bad part.
    crashed_at: list[float] = dataclasses.field(default_factory=list)


class _Run:
    """A request that runs at an endpoint."""

    def __init__(
        self,
        *,
        tracker: crash_tracker.CrashTracker,
        subjects: crash_tracker.Subjects,
        endpoint: endpoints.Endpoint,
        began: float,
        bad: bool,
    ) -> None:
        self.tracker = tracker
        self.subjects = subjects
        self.endpoint = endpoint
        self.began = began
        self.bad = bad

    def progress(self, now: float) -> part_soundness.AnswerProgress:
        """Return the events until now."""
        found = part_soundness.AnswerProgress()
        at = self.began + _FIRST_EVENT_S
        while at < now:
            found.record_event(at)
            at += _EVENT_INTERVAL_S
        return found


class World:
    """A site in virtual time."""

    def __init__(
        self, *, load: Load, way: Way, folder: pathlib.Path, seed: int = 0
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(seed)
        self._load = load
        self._way = way
        self.result = Result()
        self._numbers = 0
        self._tables = [
            endpoints.EndpointTable() for _ in range(load.gateways)
        ]
        self.trackers = [
            crash_tracker.CrashTracker(table=table) for table in self._tables
        ]
        self.keepers: list[quarantine_keeper.QuarantineKeeper] = []
        if way.shared:
            self._add_coordinators(folder)
        self._runs: dict[types.EndpointId, list[_Run]] = {}
        self._alive: list[endpoints.Endpoint] = []
        for _ in range(load.endpoints):
            self._start_endpoint()

    def _add_coordinators(self, folder: pathlib.Path) -> None:
        for number in range(5):
            path = folder / f"c{number}"
            path.mkdir()
            self.keepers.append(
                quarantine_keeper.QuarantineKeeper(
                    file=quarantine_keeper.QuarantineFile(folder=path),
                    endpoint_table=self._tables[0],
                    send_to_gateways=self._send_to_gateways,
                    send_to_replicas=lambda msg: None,
                )
            )
        for tracker in self.trackers:
            tracker.publish = self._send_to_coordinators

    def _send_to_gateways(self, msg: messages.Suspicions) -> None:
        self._count(msg, len(self.trackers))
        for tracker in self.trackers:
            self._loop.call_later(
                _LINK_DELAY_S, self._receive, tracker, msg.items
            )

    def _receive(
        self, tracker: crash_tracker.CrashTracker, items: tuple
    ) -> None:
        tracker.receive(items, self._loop.time())

    def _send_to_coordinators(self, items: tuple) -> None:
        msg = messages.Suspicions(items=items)
        self._count(msg, len(self.keepers))
        for keeper in self.keepers:
            self._loop.call_later(_LINK_DELAY_S, keeper.receive, msg)

    def _count(self, msg: messages.Suspicions, receivers: int) -> None:
        self.result.messages += receivers
        size = len(codec.encode(msg)) + _FRAME_BYTES
        self.result.bytes += receivers * size

    def _start_endpoint(self) -> None:
        self._numbers += 1
        new = endpoints.Endpoint(
            id=types.EndpointId(f"i-{self._numbers:010x}"),
            address=f"10.0.0.1:{self._numbers}",
            service=_SERVICE,
            sequence=1,
        )
        self._alive.append(new)
        self._runs[new.id] = []
        self._beat(new, 1)

    def _beat(self, endpoint: endpoints.Endpoint, sequence: int) -> None:
        if endpoint not in self._alive:
            return
        now = self._loop.time()
        item = endpoints.Endpoint(
            id=endpoint.id,
            address=endpoint.address,
            service=_SERVICE,
            sequence=sequence,
        )
        for table in self._tables:
            table.update(item, now)
        if self._load.heartbeats:
            self._loop.call_later(
                _HEARTBEAT_S, self._beat, endpoint, sequence + 1
            )

    def _subjects(self, bad: bool) -> crash_tracker.Subjects:
        """Return the subjects of a request; all have a part of their own."""
        load = self._load
        organisation = self._rng.randrange(load.organisations)
        parts = [b"kind"] + [
            b"%d-%d" % (organisation, at) for at in range(1, load.prompt - 1)
        ]
        if bad:
            parts[load.place] = b"bad"
        return crash_tracker.Subjects(
            request=types.Fingerprint(self._rng.randbytes(16)),
            parts=tuple(
                fingerprint.part_fingerprint(_SERVICE, part) for part in parts
            )
            * self._way.parts,
        )

    def _request(self, bad: bool) -> None:
        now = self._loop.time()
        tracker = self._rng.choice(self.trackers)
        subjects = self._subjects(bad)
        if tracker.quarantined(subjects, now) is not None:
            self.result.bad_refused += bad
            self.result.sound_refused += not bad
            return
        if not self._alive:
            return
        self.result.bad_sent += bad
        self.result.sound += not bad
        run = _Run(
            tracker=tracker,
            subjects=subjects,
            endpoint=self._rng.choice(self._alive),
            began=now,
            bad=bad and now >= self._load.bad_from_s,
        )
        self._runs[run.endpoint.id].append(run)
        if run.bad:
            after_s = _FIRST_EVENT_S + _CRASH_AFTER_S
            self._loop.call_later(after_s, self._crash, run)
        else:
            self._loop.call_later(_RUNS_WELL_S, self._go_on, run)
            self._loop.call_later(_RUN_S, self._finish, run)

    def _is_running(self, run: _Run) -> bool:
        return run in self._runs.get(run.endpoint.id, ())

    def _go_on(self, run: _Run) -> None:
        if self._is_running(run) and self._way.sound:
            now = self._loop.time()
            run.tracker.record_running(
                run.subjects.parts, run.progress(now), now
            )

    def _finish(self, run: _Run) -> None:
        if not self._is_running(run):
            return
        self._runs[run.endpoint.id].remove(run)
        subjects = run.subjects
        if not self._way.sound:
            subjects = subjects._replace(parts=())
        run.tracker.record_served(
            subjects,
            began_at=run.began + _FIRST_EVENT_S,
            now=self._loop.time(),
        )

    def _crash(self, run: _Run) -> None:
        if self._is_running(run):
            self.result.crashes += 1
            self.result.crashed_at.append(self._loop.time())
            self._end(run.endpoint)

    def _end(self, endpoint: endpoints.Endpoint) -> None:
        self._alive.remove(endpoint)
        for run in self._runs.pop(endpoint.id):
            self._break(run)
        self._loop.call_later(_DOWN_S, self._start_endpoint)

    def _break(self, run: _Run) -> None:
        self.result.sound_broken += not run.bad
        now = self._loop.time()
        run.tracker.record_broken(
            run.subjects,
            run.endpoint,
            ran_s=now - run.began,
            now=now,
            progress=run.progress(now) if self._way.sound else None,
        )

    def _reset(self) -> None:
        """Reset half of all connections to endpoints."""
        for runs in self._runs.values():
            for run in list(runs):
                if self._rng.random() < 0.5:
                    runs.remove(run)
                    self._break(run)

    async def run(self) -> Result:
        """Play the load; return what its requests met."""
        tasks = [
            asyncio.create_task(item)
            for item in (
                self._arrive(self._load.sound_per_s, False),
                self._arrive(self._load.bad_per_s, True),
                self._end_some(),
                self._recheck(),
            )
        ]
        for at in self._load.resets_at_s:
            self._loop.call_later(at, self._reset)
        await asyncio.sleep(self._load.seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self.result

    async def _arrive(self, per_s: float, bad: bool) -> None:
        while per_s:
            await asyncio.sleep(self._rng.expovariate(per_s))
            self._request(bad)

    async def _end_some(self) -> None:
        """End endpoints that run anything, by themselves."""
        while self._load.ends_per_s:
            await asyncio.sleep(self._rng.expovariate(self._load.ends_per_s))
            if self._alive:
                self._end(self._rng.choice(self._alive))

    async def _recheck(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for tracker in self.trackers:
                tracker.recheck(self._loop.time())
