"""What an entry knows of an endpoint, and what a request requires of it."""

import bisect

from rackpost.decide import demand
from rackpost.decide import prefix
from rackpost.link import messages
from rackpost import types

_MAX_HINTS = 4096


class EndpointView:
    """The latest load that an endpoint reported to this entry.

    `delay_s` is the one-way delay to its data centre, `updated_at` when
    `load` was received.  `sent_slots` and `sent_work_s` are what this entry
    has sent there since, so that a burst does not follow a stale report.
    """

    def __init__(
        self,
        *,
        agent: types.AgentId,
        service: types.ServiceName,
        data_centre: types.DataCentre,
        load: messages.Load,
        delay_s: float,
        now: float,
    ) -> None:
        self.agent = agent
        self.service = service
        self.data_centre = data_centre
        self.delay_s = delay_s
        self.load = load
        self.updated_at = now
        self.sent_slots = 0
        self.sent_work_s = 0.0
        self.open = 0
        self.prefix_hints = prefix.PrefixHints(max_blocks=_MAX_HINTS)
        self.avoided = False

    def update(self, load: messages.Load, now: float) -> None:
        """Store a load that the agent reported."""
        self.load = load
        self.updated_at = now
        self.sent_slots = 0
        self.sent_work_s = 0.0

    def backlog_s(self, now: float) -> float:
        """Return the prefill work that is ahead of a new request."""
        reported = self.load.backlog_s + self.sent_work_s
        return max(0.0, reported - (now - self.updated_at))

    def longest_job_s(self, slack_s: float, now: float) -> float:
        """Estimate the longest prefill or transfer that ends in `slack_s`.

        Interpolates between the slacks for which the agent reports it.
        """
        longest_s = self.load.longest_job_s
        if not longest_s:
            return slack_s - self.backlog_s(now)
        slacks = messages.SLACKS_S
        at = bisect.bisect_right(slacks, slack_s) - 1
        if at < 0:
            estimate = longest_s[0] * slack_s / slacks[0]
        elif at + 1 >= len(slacks):
            estimate = longest_s[-1]
        else:
            part = (slack_s - slacks[at]) / (slacks[at + 1] - slacks[at])
            estimate = longest_s[at] + part * (
                longest_s[at + 1] - longest_s[at]
            )
        # Work sent since the report is ahead; since then the endpoint has
        # also finished some.
        return estimate - self.sent_work_s + min(now - self.updated_at, 0.05)

    def slot_wait_s(self, now: float) -> float:
        """Return the seconds until a decode slot is expected there."""
        if self.load.used + self.sent_slots < self.load.slots:
            return 0.0
        more = self.sent_slots * self.load.step_s
        return max(0.0, self.load.free_in_s + more - (now - self.updated_at))

    def prefill_s(self, tokens: int, blocks: tuple) -> float:
        """Return the seconds to prefill the uncached rest of a prompt."""
        cached = self.prefix_hints.match(blocks) * prefix.BLOCK_TOKENS
        uncached = max(1, tokens - cached)
        return self.load.prefill_base_s + uncached / self.load.prefill_tokens_s


class Requirements:
    """What a request requires of its endpoints.

    `ttft_s` is the time left until the first token is due, `tbt_s` the
    promised time between tokens, both in seconds; `higher_density` is the
    expected demand of requests of higher value density per endpoint.
    """

    __slots__ = (
        "service",
        "kind",
        "prompt_tokens",
        "max_tokens",
        "blocks",
        "kv_bytes",
        "ttft_s",
        "tbt_s",
        "higher_density",
    )

    def __init__(
        self,
        *,
        service: types.ServiceName,
        kind: types.KindName,
        prompt_tokens: int,
        max_tokens: int,
        blocks: tuple[types.BlockHash, ...],
        kv_bytes: int,
        ttft_s: float,
        tbt_s: float,
        higher_density: demand.HigherDensityDemand = demand.NO_DEMAND,
    ) -> None:
        self.service = service
        self.kind = kind
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.blocks = blocks
        self.kv_bytes = kv_bytes
        self.ttft_s = ttft_s
        self.tbt_s = tbt_s
        self.higher_density = higher_density
