"""The load that a simulated fleet serves, and what comes of it."""

import math
import random

import msgspec

from rackpost.decide.waiting import decisions as decisions_mod
from rackpost.testing import uneven


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request; times in seconds.

    Attributes:
        weight: its share of all requests, against the other kinds.
        surge_weight: the same during the surge; None if unchanged.
    """

    name: str
    priority: int
    target_s: float
    weight: float
    surge_weight: float | None = None


class Spec(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet and its load; times in seconds, sizes in tokens.

    By default, nine typical requests fill the memory of a decode endpoint
    for about three seconds.
    """

    gateways: int = 68
    prefills: int = 4
    decodes: int = 12
    # How many of these have a later software version.
    new_prefills: int = 0
    new_decodes: int = 0
    memory_tokens: int = 61640
    slots: int = 32
    event_tokens: int = 64
    # A token takes token_s + n * token_each_s in a batch of `n` runs.
    token_s: float = 0.00058
    token_each_s: float = 0.00002
    prefill_token_s: float = 0.000018
    prompt: float = 5200.0
    prompt_spread: float = 0.5
    answer: float = 4400.0
    answer_spread: float = 0.7
    max_answer: int = 10880
    # Log-normal spread of clients' length estimates around the true length.
    guess_spread: float = 0.5
    rate: float = 13.0
    surge_factor: float = 2.3
    surge_at: float = 4.0
    surge_s: float = 4.0
    seconds: float = 12.0
    target_s: float = 0.92
    max_pause_s: float = 0.3
    # Delay of other gateways' load reports.
    report_delay_s: float = 0.013
    # With kinds, their targets and priorities replace `target_s` and 1.
    kinds: tuple[Kind, ...] = ()
    organisations: int = 1
    # During the surge the first organisation sends this many times its usual.
    hot_factor: float = 1.0
    # How often a refused client comes back.
    returns: int = 0
    # The decisions of the contention order that gateways use.
    decisions: frozenset[decisions_mod.Decision] = frozenset()
    # Prompts are at most this long.
    max_prompt: float = math.inf
    # From this length on a prompt counts among the large ones.
    large_prompt: float = math.inf
    large_reservations: bool = False
    # Speeds of prefill and of decode endpoints, and whether gateways measure
    # them.
    prefill_speeds: uneven.Speeds = uneven.Speeds()
    decode_speeds: uneven.Speeds = uneven.Speeds()
    measures_pace: bool = False
    # Capacity is granted by a scheduler, over links with this delay.
    scheduler: bool = False
    link_delay_s: float = 0.002
    # Share of the requests with a higher priority.
    urgent_share: float = 0.0
    # With a rate of the gateways' links, their load reports are messages that
    # pass these; `report_delay_s` is not used.
    link_mbps: float = 0.0
    load_deltas: bool = False
    # Plain requests a second, which only appear in load reports.
    plain_rate: float = 0.0
    plain_s: float = 0.04
    # Whether capacity is set aside at decode endpoints before a prefill,
    # above this share of an endpoint's memory by forecast; None for never.
    holds_above: float | None = None
    # Memory set aside for an answer, as a share of its expected length.
    held_answer: float = 0.5
    # Without, calls tell whether there is room, and set nothing aside.
    keeps_holds: bool = True


class Tally(msgspec.Struct, kw_only=True):
    """The number of requests of one kind or organisation by outcome."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    # Started within the target; a pause later does not count.
    started: int = 0

    @property
    def served(self) -> float:
        """The share of the requests that was answered."""
        return (self.in_time + self.late) / max(1, self.requests)

    @property
    def timely(self) -> float:
        """The share of the requests without a late start or long pause."""
        return self.in_time / max(1, self.requests)

    @property
    def prompt(self) -> float:
        """The share of the requests that started in time."""
        return self.started / max(1, self.requests)


class Outcome(msgspec.Struct, kw_only=True):
    """The number of requests by outcome, and the cost of the run."""

    # By name of the kind, and by number of the organisation.
    by_kind: dict[str, Tally] = msgspec.field(default_factory=dict)
    by_organisation: dict[str, Tally] = msgspec.field(default_factory=dict)

    requests: int = 0
    in_time: int = 0
    late_start: int = 0
    long_pause: int = 0
    refused: int = 0
    preempted: int = 0
    rejected: int = 0
    # Prefilled or generated tokens that were discarded.
    wasted: int = 0
    # Load reports; each goes to all other gateways.
    messages: int = 0
    # The same counts of the requests with large prompts alone.
    large: int = 0
    large_in_time: int = 0
    large_refused: int = 0
    # Calls that set capacity aside, and those without room.
    holds: int = 0
    holds_refused: int = 0
    # Messages between gateways and the scheduler.
    link_messages: int = 0
    # Of the requests with a higher priority.
    urgent: int = 0
    urgent_in_time: int = 0
    # Sum of the times to the first token, in seconds.
    start_s: float = 0.0
    # Reservations of memory that was in use or reserved already.
    overbooked: int = 0
    # Sum over the reservations of the error of the gateway's forecast, as a
    # share of the endpoint's memory.
    forecast_error: float = 0.0
    # With links: bytes a second on the busiest link in its busiest half
    # second, all bytes, and the age at which reservations become known at
    # other gateways.
    peak_link_bytes: float = 0.0
    report_bytes: int = 0
    report_age_p50_s: float = 0.0
    report_age_p99_s: float = 0.0


def sample_size(rng: random.Random, mean: float, spread: float) -> float:
    """Return a sample of a log-normal distribution."""
    variance = math.log(1.0 + spread * spread)
    return rng.lognormvariate(
        math.log(mean) - variance / 2.0, math.sqrt(variance)
    )
