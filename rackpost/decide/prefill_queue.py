"""The prefills promised by one endpoint, in order of their deadlines.

A new prefill is promised only if it and every one promised before still
ends by its deadline.  Pure: the caller hands in the reading of its clock,
in seconds.
"""

import enum

from rackpost.decide import deadlines
from rackpost.decide import slots
from rackpost import types

# However much urgent work comes, this is the most that is kept for it.
_MOST_URGENT = 0.95
# A job this little late is still run, in seconds.
_GRACE_S = 0.02
# Room is left for the denser work of this long, in seconds.
_KEPT_S = 0.1


class JobState(enum.Enum):
    """How far a promised prefill has come; BEGUN: a part of it is done."""

    PROMISED = "promised"
    READY = "ready"
    RUNNING = "running"
    BEGUN = "begun"


class PrefillQueue:
    """The prefill work of one endpoint, which runs one job at a time.

    `max_jobs` bounds the queue whatever the deadlines.
    """

    def __init__(self, *, max_jobs: int) -> None:
        self._max_jobs = max_jobs
        self._jobs = deadlines.Deadlines()
        self._state: dict[slots.AttemptKey, JobState] = {}

    def __len__(self) -> int:
        return len(self._state)

    @property
    def running(self) -> bool:
        """Whether a job is at the engine."""
        return JobState.RUNNING in self._state.values()

    def backlog_s(self, now: float) -> float:
        """Seconds of promised work, the running job's rest included."""
        return self._jobs.free_at(now) - now + self._jobs.total_s()

    def room_s(self, slack_s: float, now: float) -> float:
        """The longest prefill that could be promised within `slack_s`."""
        return self._jobs.room_s(slack_s, now)

    def promise(
        self,
        *,
        key: slots.AttemptKey,
        cost_s: float,
        within_s: float,
        urgent: float,
        denser: float,
        now: float,
        parts: int = 1,
    ) -> float | types.Refusal:
        """Promise a prefill; in how many seconds it is done, or why not.

        `urgent` is the share of the engine's time that requests which
        count for more and are more urgent are expected to take: with what
        they leave, the prefill must still end in time.  `denser` is the
        share of those which count for more but come in their turn: room
        for the next of them is left.
        """
        if len(self) >= self._max_jobs:
            return types.Refusal.QUEUE_FULL
        if cost_s > within_s:
            return types.Refusal.LATE_FIRST_TOKEN
        job = deadlines.Job(now + within_s, key, cost_s, parts)
        ends = self._jobs.ends_at(job, now)
        if ends is None or ends > job.deadline:
            return types.Refusal.QUEUE_FULL
        left = 1.0 - min(urgent, _MOST_URGENT)
        if (ends - now) / left + denser * _KEPT_S > within_s:
            return types.Refusal.QUEUE_KEPT
        self._jobs.add(job)
        self._state[key] = JobState.PROMISED
        return ends - now

    def ready(self, key: slots.AttemptKey) -> None:
        """The prompt is here: the job may be taken by `next_job`."""
        if self._state.get(key) is JobState.PROMISED:
            self._state[key] = JobState.READY

    def next_job(self, now: float) -> slots.AttemptKey | None:
        """Take the ready job with the earliest deadline, if any.

        Of a long job only a part is taken; the rest stays in the queue,
        where more urgent jobs may pass it.
        """
        for job in self._jobs:
            if self._state[job.key] in (JobState.READY, JobState.BEGUN):
                self._take_part(job, now)
                return job.key
        return None

    def _take_part(self, job: deadlines.Job, now: float) -> None:
        part_s = job.cost_s / job.parts
        if job.parts == 1:
            self._jobs.remove(job.key)
        else:
            rest = job._replace(
                cost_s=job.cost_s - part_s, parts=job.parts - 1
            )
            self._jobs.replace(rest)
        self._jobs.start(part_s, now)
        self._state[job.key] = JobState.RUNNING

    def in_part(self, key: slots.AttemptKey) -> bool:
        """Whether the running job has a rest in the queue."""
        return key in self._jobs

    def part_done(self, key: slots.AttemptKey) -> None:
        """A part of the job is done; the rest waits for its turn."""
        if self._state.get(key) is JobState.RUNNING:
            self._state[key] = JobState.BEGUN
            self._jobs.stop()

    def late(self, now: float) -> list[slots.AttemptKey]:
        """Jobs that have not begun and can no longer end in time."""
        begun = (JobState.RUNNING, JobState.BEGUN)
        return [
            key
            for key in self._jobs.late(now, _GRACE_S)
            if self._state[key] not in begun
        ]

    def end(self, key: slots.AttemptKey) -> None:
        """The job ended or was given up; an unheld key is ignored."""
        if self._state.pop(key, None) is JobState.RUNNING:
            self._jobs.stop()
        self._jobs.remove(key)
