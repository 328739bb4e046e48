"""The transfers promised on one endpoint's link of limited rate.

Pure: times are readings of the owner's clock, in seconds.
"""

from rackpost.decide import deadlines
from rackpost.decide import slots
from rackpost import types

# The first token, which shows that a transfer is done, comes some steps
# after it; past this, in seconds, the transfer itself must be stuck.
_STALLED_S = 0.2


class LinkBudget:
    """Promised transfers, one at a time, the most urgent first.

    A transfer holds its share from the promise until it is done.  One
    that moves can't be passed, so the longest that is less urgent counts
    as ahead of a new one.  The link moves `bytes_s`.
    """

    def __init__(self, *, bytes_s: float) -> None:
        self.bytes_s = bytes_s
        self._jobs = deadlines.Deadlines()
        self._moving: slots.AttemptKey | None = None

    def backlog_s(self, now: float) -> float:
        """Seconds of promised transfers that are not done."""
        return self.busy_s(now) + self._jobs.total_s()

    def busy_s(self, now: float) -> float:
        """After how many seconds the transfer that moves should be done."""
        return self._jobs.free_at(now) - now

    def due_s(self, now: float) -> float:
        """After how many seconds what moves was expected to be done."""
        return self._jobs.due_s(now)

    def promise(
        self, *, key: slots.AttemptKey, size: int, within_s: float, now: float
    ) -> float | types.Refusal:
        """Promise a transfer; how long it and what is ahead takes."""
        cost = size / self.bytes_s
        job = deadlines.Job(now + within_s, key, cost)
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

    def room_s(self, slack_s: float, now: float) -> float:
        """The longest transfer that could be promised within a slack."""
        room = self._jobs.room_s(slack_s, now)
        return max(0.0, room - self._blocking_s(now + slack_s))

    def start(self, key: slots.AttemptKey, now: float) -> None:
        """The engine was told to move it."""
        for job in self._jobs:
            if job.key == key:
                self._jobs.start(job.cost_s, now)
                self._moving = key
        self._jobs.remove(key)

    def stalled(self, now: float) -> bool:
        """Whether what moves is long overdue."""
        return self._jobs.overdue_s(now) > _STALLED_S

    def end(self, key: slots.AttemptKey) -> None:
        """The transfer is done or given up; an unheld key is ignored."""
        if self._moving == key:
            self._moving = None
            self._jobs.stop()
        self._jobs.remove(key)
