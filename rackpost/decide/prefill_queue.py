"""The prefills promised by one endpoint, in order of their deadlines.

Earliest deadline first: a new prefill is promised only if it and every
one promised before still ends by its deadline.  Pure: the caller hands in
the reading of its clock, in seconds.
"""

import bisect
import enum
from typing import NamedTuple

from rackpost.decide import slots
from rackpost import types

# However much denser work comes, this is the most that is kept for it.
_MOST_DENSER = 0.95


class JobState(enum.Enum):
    """How far a promised prefill has come."""

    PROMISED = "promised"
    READY = "ready"
    RUNNING = "running"


class Job(NamedTuple):
    """A promised prefill, or what is left of it; sorts by deadline.

    A long one is run in `parts` of equal length.
    """

    deadline: float
    key: slots.Key
    cost_s: float
    parts: int


class PrefillQueue:
    """The prefill work of one endpoint, which runs one job at a time.

    `max_jobs` bounds the queue whatever the deadlines.
    """

    def __init__(self, *, max_jobs: int) -> None:
        self._max_jobs = max_jobs
        self._jobs: list[Job] = []
        self._by_key: dict[slots.Key, Job] = {}
        self._state: dict[slots.Key, JobState] = {}
        self._running_until = 0.0

    def __len__(self) -> int:
        return len(self._by_key)

    @property
    def running(self) -> bool:
        """Whether a job is at the engine."""
        return JobState.RUNNING in self._state.values()

    def backlog_s(self, now: float) -> float:
        """Seconds of promised work, the running job's rest included."""
        rest = max(0.0, self._running_until - now)
        return rest + sum(job.cost_s for job in self._jobs)

    def promise(
        self,
        *,
        key: slots.Key,
        cost_s: float,
        within_s: float,
        denser: float,
        now: float,
        parts: int = 1,
    ) -> float | types.Refusal:
        """Promise a prefill; in how many seconds it is done, or why not.

        `denser` is the share of the engine's time that requests which
        count for more are expected to take: with what they leave, the
        prefill must still end in time.
        """
        if len(self._by_key) >= self._max_jobs:
            return types.Refusal.QUEUE_FULL
        if cost_s > within_s:
            return types.Refusal.LATE_FIRST_TOKEN
        job = Job(now + within_s, key, cost_s, parts)
        pos = bisect.bisect(self._jobs, job)
        ends = self._end_before(pos, now) + cost_s
        if ends > job.deadline:
            return types.Refusal.QUEUE_FULL
        left = 1.0 - min(denser, _MOST_DENSER)
        if (ends - now) / left > within_s:
            return types.Refusal.QUEUE_KEPT
        if not self._later_still_meet(pos, ends):
            return types.Refusal.QUEUE_FULL
        self._jobs.insert(pos, job)
        self._by_key[key] = job
        self._state[key] = JobState.PROMISED
        return ends - now

    def _end_before(self, pos: int, now: float) -> float:
        at = max(now, self._running_until)
        return at + sum(job.cost_s for job in self._jobs[:pos])

    def _later_still_meet(self, pos: int, at: float) -> bool:
        for job in self._jobs[pos:]:
            at += job.cost_s
            if at > job.deadline:
                return False
        return True

    def room_s(self, slack_s: float, now: float) -> float:
        """The longest prefill that could be promised within `slack_s`."""
        deadline = now + slack_s
        at = max(now, self._running_until)
        room = deadline - at
        for job in self._jobs:
            at += job.cost_s
            if job.deadline <= deadline:
                room = deadline - at
            else:
                room = min(room, job.deadline - at)
        return max(0.0, room)

    def ready(self, key: slots.Key) -> None:
        """The prompt is here: the job may be taken by `next_job`."""
        if self._state.get(key) is JobState.PROMISED:
            self._state[key] = JobState.READY

    def next_job(self, now: float) -> slots.Key | None:
        """Take the ready job with the earliest deadline, if any.

        Of a long job only a part is taken; the rest stays in the queue,
        where more urgent jobs may pass it.
        """
        for idx, job in enumerate(self._jobs):
            if self._state[job.key] is not JobState.READY:
                continue
            part_s = job.cost_s / job.parts
            if job.parts == 1:
                del self._jobs[idx]
            else:
                rest = job._replace(
                    cost_s=job.cost_s - part_s, parts=job.parts - 1
                )
                self._jobs[idx] = rest
                self._by_key[job.key] = rest
            self._running_until = now + part_s
            self._state[job.key] = JobState.RUNNING
            return job.key
        return None

    def in_part(self, key: slots.Key) -> bool:
        """Whether the running job has a rest in the queue."""
        return self._by_key.get(key) in self._jobs

    def part_done(self, key: slots.Key, now: float) -> None:
        """A part of the job is done; the rest waits for its turn."""
        if self._state.get(key) is JobState.RUNNING:
            self._state[key] = JobState.READY
            self._running_until = now

    def end(self, key: slots.Key, now: float) -> None:
        """The job ended or was given up; an unheld key is ignored."""
        job = self._by_key.pop(key, None)
        if job is None:
            return
        if self._state.pop(key) is JobState.RUNNING:
            self._running_until = now
        if job in self._jobs:
            self._jobs.remove(job)
