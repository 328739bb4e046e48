"""The KV transfers reserved on the link of one endpoint.

Pure: times are readings of the owner's clock, in seconds.
"""

from rackpost.decide import deadline_queue
from rackpost.decide import slots
from rackpost import types

# The end of a transfer is seen only in the first token, some steps later;
# a transfer that is overdue for longer than this is stalled.
_STALLED_S = 0.2


class TransferQueue:
    """Reserved transfers, run one at a time, earliest deadline first.

    A transfer occupies the link from its reservation until it is done.  A
    running transfer is not preempted, so the longest one with a later
    deadline counts as ahead of a new one.  The link moves `bytes_s` bytes
    a second.
    """

    def __init__(self, *, bytes_s: float) -> None:
        self.bytes_s = bytes_s
        self._jobs = deadline_queue.DeadlineQueue()
        self._moving: slots.AttemptKey | None = None

    def backlog_s(self, now: float) -> float:
        """Return the seconds of reserved transfers that are not done."""
        return self.busy_s(now) + self._jobs.total_s()

    def busy_s(self, now: float) -> float:
        """Return the seconds until the running transfer should be done."""
        return self._jobs.free_at(now) - now

    def due_s(self, now: float) -> float:
        """Return the seconds until the running transfer is due, or 0."""
        return self._jobs.due_s(now)

    def reserve(
        self,
        *,
        key: slots.AttemptKey,
        size: int,
        within_s: float,
        now: float,
    ) -> float | types.Refusal:
        """Reserve a transfer of `size` bytes.

        Returns the seconds until it is done, with all that is ahead of it.
        """
        cost = size / self.bytes_s
        job = deadline_queue.Job(now + within_s, key, cost)
        ends = self._jobs.ends_at(job, now)
        if ends is None or ends + self._blocking_s(job.deadline) > (
            job.deadline
        ):
            return types.Refusal.LINK_FULL
        self._jobs.add(job)
        return ends - now

    def _blocking_s(self, deadline: float) -> float:
        later = [job.cost_s for job in self._jobs if job.deadline > deadline]
        return max(later, default=0.0)

    def longest_job_s(self, slack_s: float, now: float) -> float:
        """Return the longest transfer that can be reserved in `slack_s`."""
        longest_s = self._jobs.longest_job_s(slack_s, now)
        return max(0.0, longest_s - self._blocking_s(now + slack_s))

    def start(self, key: slots.AttemptKey, now: float) -> None:
        """Record that the engine started the transfer."""
        for job in self._jobs:
            if job.key == key:
                self._jobs.start(job.cost_s, now)
                self._moving = key
        self._jobs.remove(key)

    def stalled(self, now: float) -> bool:
        """Whether the running transfer is long overdue."""
        return self._jobs.overdue_s(now) > _STALLED_S

    def release(self, key: slots.AttemptKey) -> None:
        """Drop a finished or abandoned transfer; ignores unknown keys."""
        if self._moving == key:
            self._moving = None
            self._jobs.stop()
        self._jobs.remove(key)
