"""Jobs of one resource in deadline order, with a check that a job fits.

Pure: times are readings of the owner's clock, in seconds.
"""

import bisect
from typing import Iterator
from typing import NamedTuple

from rackpost.decide import slots

# An overdue job is assumed to run on for as long as it is overdue already.
_OVERDUE_FACTOR = 2.0


class Job(NamedTuple):
    """A reserved job, or the rest of one; sorts by deadline.

    A job of more than one chunk is run a chunk at a time.
    """

    deadline: float
    key: slots.AttemptKey
    cost_s: float
    chunks: int = 1


class DeadlineQueue:
    """Jobs that run one at a time, earliest deadline first."""

    def __init__(self) -> None:
        self._running = False
        self._busy_until = 0.0
        self._jobs: list[Job] = []
        self._by_key: dict[slots.AttemptKey, Job] = {}

    def __iter__(self) -> Iterator[Job]:
        return iter(self._jobs)

    def __contains__(self, key: slots.AttemptKey) -> bool:
        return key in self._by_key

    def start(self, cost_s: float, now: float) -> None:
        """Record that a job, or a chunk of one, started."""
        self._running = True
        self._busy_until = now + cost_s

    def stop(self) -> None:
        """Record that the running job ended."""
        self._running = False

    def free_at(self, now: float) -> float:
        """Return when the running job is expected to end.

        The estimate for an overdue job moves on as time passes.
        """
        if not self._running:
            return now
        over = now - self._busy_until
        return (
            self._busy_until if over <= 0.0 else now + _OVERDUE_FACTOR * over
        )

    def due_s(self, now: float) -> float:
        """Return the seconds until the running job is due, 0 if overdue."""
        return max(0.0, self._busy_until - now) if self._running else 0.0

    def overdue_s(self, now: float) -> float:
        """Return by how many seconds the running job is overdue."""
        return max(0.0, now - self._busy_until) if self._running else 0.0

    def infeasible(self, now: float, grace_s: float) -> list[slots.AttemptKey]:
        """Return the jobs that will end `grace_s` or more too late."""
        found = []
        at = self.free_at(now)
        for job in self._jobs:
            if at + job.cost_s > job.deadline + grace_s:
                found.append(job.key)
            else:
                at += job.cost_s
        return found

    def total_s(self) -> float:
        """Return the cost of all queued jobs, without the running one."""
        return sum(job.cost_s for job in self._jobs)

    def ends_at(self, job: Job, now: float) -> float | None:
        """Return when a new job would end.

        None if it would make a queued job miss its deadline.
        """
        pos = bisect.bisect(self._jobs, job)
        at = self.free_at(now) + job.cost_s
        at += sum(item.cost_s for item in self._jobs[:pos])
        ends = at
        for item in self._jobs[pos:]:
            at += item.cost_s
            if at > item.deadline:
                return None
        return ends

    def add(self, job: Job) -> None:
        """Queue a job."""
        bisect.insort(self._jobs, job)
        self._by_key[job.key] = job

    def replace(self, job: Job) -> None:
        """Replace the queued job that has the same key."""
        self.remove(job.key)
        self.add(job)

    def remove(self, key: slots.AttemptKey) -> None:
        """Remove a job; an unknown key is ignored."""
        job = self._by_key.pop(key, None)
        if job is not None:
            self._jobs.remove(job)

    def longest_job_s(self, slack_s: float, now: float) -> float:
        """Return the cost of the longest job that fits into `slack_s`.

        No queued job would miss its deadline because of it.
        """
        deadline = now + slack_s
        at = self.free_at(now)
        longest_s = deadline - at
        for job in self._jobs:
            at += job.cost_s
            if job.deadline <= deadline:
                longest_s = deadline - at
            else:
                longest_s = min(longest_s, job.deadline - at)
        return max(0.0, longest_s)
