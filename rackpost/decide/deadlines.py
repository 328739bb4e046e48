"""Work for one resource, run by deadline: does more of it still fit?

Pure: times are readings of the owner's clock, in seconds.
"""

import bisect
from typing import Iterator
from typing import NamedTuple

from rackpost.decide import slots

_OVERDUE = 2.0


class Job(NamedTuple):
    """Promised work, or what is left of it; sorts by its deadline."""

    deadline: float
    key: slots.AttemptKey
    cost_s: float
    parts: int = 1


class Deadlines:
    """Jobs that are to be run one at a time, earliest deadline first."""

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
        """A job, or a part of one, begins to run."""
        self._running = True
        self._busy_until = now + cost_s

    def stop(self) -> None:
        """What ran has ended."""
        self._running = False

    def free_at(self, now: float) -> float:
        """When what runs should have ended.

        What is overdue is taken to need as much again, and once more.
        """
        if not self._running:
            return now
        over = now - self._busy_until
        return self._busy_until if over <= 0.0 else now + _OVERDUE * over

    def due_s(self, now: float) -> float:
        """After how many seconds what runs was expected to have ended."""
        return max(0.0, self._busy_until - now) if self._running else 0.0

    def overdue_s(self, now: float) -> float:
        """How long what runs is overdue."""
        return max(0.0, now - self._busy_until) if self._running else 0.0

    def late(self, now: float, grace_s: float) -> list[slots.AttemptKey]:
        """The jobs that can no longer end in time."""
        found = []
        at = self.free_at(now)
        for job in self._jobs:
            if at + job.cost_s > job.deadline + grace_s:
                found.append(job.key)
            else:
                at += job.cost_s
        return found

    def total_s(self) -> float:
        """The work of all jobs, without the one that runs."""
        return sum(job.cost_s for job in self._jobs)

    def ends_at(self, job: Job, now: float) -> float | None:
        """When a new job would end; None if an older one would be late."""
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
        """Take a job in."""
        bisect.insort(self._jobs, job)
        self._by_key[job.key] = job

    def replace(self, job: Job) -> None:
        """Put what is left of a job in its place."""
        self.remove(job.key)
        self.add(job)

    def remove(self, key: slots.AttemptKey) -> None:
        """Take a job out; one that is not there is ignored."""
        job = self._by_key.pop(key, None)
        if job is not None:
            self._jobs.remove(job)

    def room_s(self, slack_s: float, now: float) -> float:
        """The longest job that would still fit with this slack."""
        deadline = now + slack_s
        at = self.free_at(now)
        room = deadline - at
        for job in self._jobs:
            at += job.cost_s
            if job.deadline <= deadline:
                room = deadline - at
            else:
                room = min(room, job.deadline - at)
        return max(0.0, room)
