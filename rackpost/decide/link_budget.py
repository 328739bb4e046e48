"""The transfers promised on one endpoint's link of limited rate.

Pure: times are readings of the owner's clock, in seconds.
"""

from rackpost.decide import deadlines
from rackpost.decide import slots
from rackpost import types


class LinkBudget:
    """Promised transfers, the most urgent first, at `bytes_s`.

    A transfer holds its share from the promise until it is done.  One
    that moves can't be passed, so the longest that is less urgent counts
    as ahead of a new one.
    """

    def __init__(self, *, bytes_s: float) -> None:
        self.bytes_s = bytes_s
        self._jobs = deadlines.Deadlines()
        self._moving: dict[slots.Key, float] = {}

    def backlog_s(self) -> float:
        """Seconds of promised transfers that are not done."""
        return self._jobs.total_s() + sum(self._moving.values())

    def promise(
        self, *, key: slots.Key, size: int, within_s: float, now: float
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
        return sum(self._moving.values()) + max(later, default=0.0)

    def room_s(self, slack_s: float, now: float) -> float:
        """The longest transfer that could be promised within a slack."""
        room = self._jobs.room_s(slack_s, now)
        return max(0.0, room - self._blocking_s(now + slack_s))

    def start(self, key: slots.Key) -> None:
        """The engine was told to move it."""
        for job in self._jobs:
            if job.key == key:
                self._moving[key] = job.cost_s
        self._jobs.remove(key)

    def end(self, key: slots.Key) -> None:
        """The transfer is done or given up; an unheld key is ignored."""
        self._moving.pop(key, None)
        self._jobs.remove(key)
