"""The prefills reserved at one endpoint, in deadline order.

A prefill is admitted only if it and every prefill reserved before it still
end by their deadlines.

Pure: times are readings of the caller's clock, in seconds.
"""

import enum

from rackpost.decide import deadline_queue
from rackpost.decide import slots
from rackpost import types

# Keeps some time for other work however much urgent work is expected.
_MAX_URGENT_SHARE = 0.95
# A prefill that ends this late is still useful.
_GRACE_S = 0.02
# Capacity is kept for the requests of higher value density that are
# expected within this time.
_KEPT_S = 0.1


class JobState(enum.Enum):
    """State of a reserved prefill.

    RESERVED: its prompt has not arrived; PREEMPTED: at least one chunk is
    done and the rest is queued.
    """

    RESERVED = "reserved"
    READY = "ready"
    RUNNING = "running"
    PREEMPTED = "preempted"


class PrefillQueue:
    """The prefills of one endpoint, run one at a time.

    `max_jobs` bounds the number of reserved prefills.
    """

    def __init__(self, *, max_jobs: int) -> None:
        self._max_jobs = max_jobs
        self._jobs = deadline_queue.DeadlineQueue()
        self._state: dict[slots.AttemptKey, JobState] = {}

    def __len__(self) -> int:
        return len(self._state)

    @property
    def running(self) -> bool:
        """Whether a prefill runs at the engine."""
        return JobState.RUNNING in self._state.values()

    def backlog_s(self, now: float) -> float:
        """Return the seconds of reserved work, the running job included."""
        return self._jobs.free_at(now) - now + self._jobs.total_s()

    def longest_job_s(self, slack_s: float, now: float) -> float:
        """Return the longest prefill that can be reserved in `slack_s`."""
        return self._jobs.longest_job_s(slack_s, now)

    def reserve(
        self,
        *,
        key: slots.AttemptKey,
        cost_s: float,
        within_s: float,
        urgent: float,
        denser: float,
        now: float,
        chunks: int = 1,
    ) -> float | types.Refusal:
        """Reserve a prefill; return the seconds until it is done.

        `urgent` is the share of the engine's time that is expected to go to
        requests of higher value density with shorter targets: the prefill
        must end in time with the rest.  `denser` is the share of those of
        higher value density with targets no shorter: capacity for the next
        of them is kept free.
        """
        if len(self) >= self._max_jobs:
            return types.Refusal.QUEUE_FULL
        if cost_s > within_s:
            return types.Refusal.LATE_FIRST_TOKEN
        job = deadline_queue.Job(now + within_s, key, cost_s, chunks)
        ends = self._jobs.ends_at(job, now)
        if ends is None or ends > job.deadline:
            return types.Refusal.QUEUE_FULL
        left = 1.0 - min(urgent, _MAX_URGENT_SHARE)
        if (ends - now) / left + denser * _KEPT_S > within_s:
            return types.Refusal.QUEUE_KEPT
        self._jobs.add(job)
        self._state[key] = JobState.RESERVED
        return ends - now

    def mark_ready(self, key: slots.AttemptKey) -> None:
        """Record that the prompt arrived: `next_job` may return the job."""
        if self._state.get(key) is JobState.RESERVED:
            self._state[key] = JobState.READY

    def next_job(self, now: float) -> slots.AttemptKey | None:
        """Start the ready job with the earliest deadline, if any.

        Only one chunk of a long job is started; the rest stays queued, so
        that more urgent jobs can run before it.
        """
        for job in self._jobs:
            if self._state[job.key] in (JobState.READY, JobState.PREEMPTED):
                self._start_chunk(job, now)
                return job.key
        return None

    def _start_chunk(self, job: deadline_queue.Job, now: float) -> None:
        chunk_s = job.cost_s / job.chunks
        if job.chunks == 1:
            self._jobs.remove(job.key)
        else:
            rest = job._replace(
                cost_s=job.cost_s - chunk_s, chunks=job.chunks - 1
            )
            self._jobs.replace(rest)
        self._jobs.start(chunk_s, now)
        self._state[job.key] = JobState.RUNNING

    def has_more_chunks(self, key: slots.AttemptKey) -> bool:
        """Whether further chunks of the running job are queued."""
        return key in self._jobs

    def chunk_done(self, key: slots.AttemptKey) -> None:
        """Record the end of a chunk that is not the job's last one."""
        if self._state.get(key) is JobState.RUNNING:
            self._state[key] = JobState.PREEMPTED
            self._jobs.stop()

    def infeasible(self, now: float) -> list[slots.AttemptKey]:
        """Return the jobs that have not started and can't end in time."""
        started = (JobState.RUNNING, JobState.PREEMPTED)
        return [
            key
            for key in self._jobs.infeasible(now, _GRACE_S)
            if self._state[key] not in started
        ]

    def release(self, key: slots.AttemptKey) -> None:
        """Drop a finished or abandoned prefill; ignores unknown keys."""
        if self._state.pop(key, None) is JobState.RUNNING:
            self._jobs.stop()
        self._jobs.remove(key)
