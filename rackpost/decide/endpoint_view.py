"""What an entry knows of each endpoint, and of the request in hand."""

import bisect

from rackpost.decide import demand
from rackpost.decide import prefix
from rackpost.link import messages
from rackpost import types

_MAX_HINTS = 4096


class EndpointView:
    """An entry's latest knowledge of one endpoint.

    `delay_s` is the one-way delay to its data centre, `updated_at` the clock
    reading when `load` was said.  `sent` counts what this entry has put
    there since, so that a burst does not follow one stale figure.
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
        """The agent has said its load."""
        self.load = load
        self.updated_at = now
        self.sent_slots = 0
        self.sent_work_s = 0.0

    def backlog_s(self, now: float) -> float:
        """The prefill work that a new request would find there."""
        past = self.load.backlog_s + self.sent_work_s
        return max(0.0, past - (now - self.updated_at))

    def longest_job_s(self, slack_s: float, now: float) -> float:
        """The longest prefill or transfer that it probably has room for."""
        rooms = self.load.room_s
        if not rooms:
            return slack_s - self.backlog_s(now)
        slacks = messages.ROOM_SLACKS_S
        at = bisect.bisect_right(slacks, slack_s) - 1
        if at < 0:
            room = rooms[0] * slack_s / slacks[0]
        elif at + 1 >= len(slacks):
            room = rooms[-1]
        else:
            part = (slack_s - slacks[at]) / (slacks[at + 1] - slacks[at])
            room = rooms[at] + part * (rooms[at + 1] - rooms[at])
        # What was sent since is ahead; what has passed was worked off.
        return room - self.sent_work_s + min(now - self.updated_at, 0.05)

    def slot_wait_s(self, now: float) -> float:
        """In how many seconds a decode slot is expected there."""
        if self.load.used + self.sent_slots < self.load.slots:
            return 0.0
        more = self.sent_slots * self.load.step_s
        return max(0.0, self.load.free_in_s + more - (now - self.updated_at))

    def prefill_s(self, tokens: int, blocks: tuple) -> float:
        """Seconds to prefill a prompt there, cached prefix left out."""
        cached = self.prefix_hints.match(blocks) * prefix.BLOCK_TOKENS
        rest = max(1, tokens - cached)
        return self.load.prefill_base_s + rest / self.load.prefill_tokens_s


class Requirements:
    """What a request needs, as the decisions see it.

    `ttft_s` is what is left until the first token is due, `tbt_s` the
    promised time between tokens, both in seconds; `higher_density` is what is
    expected of requests that count for more, for one endpoint.
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
