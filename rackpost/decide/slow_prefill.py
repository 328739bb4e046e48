"""Decide whether to give up a slow prefill, and whether to begin one.

A prefill that is given up goes on at its endpoint all the same, and is done
again elsewhere.  In a burst prefills are slow because the queues before them
are longer than reports say, at every endpoint.

Pure: times are readings of the caller's clock, in seconds.
"""

import msgspec

from rackpost.decide import queue_order

# A prefill is waited for this many times as long as the prompts known at its
# endpoint take: the reports of other gateways are some milliseconds old.
_SLACK = 2.0
# Shortest further wait, in seconds; covers the way of the answer.
_MIN_FURTHER_S = 0.1


class SlowPrefill(msgspec.Struct, frozen=True, kw_only=True):
    """A prefill that has taken longer than it usually does.

    Attributes:
        present_s: time that the prompts known at the endpoint take.
        other_s: expected time of a prefill that begins elsewhere now; None
            where no endpoint takes the prompt.
        target_in_s: time until the target for the first event.
        seems_dead: the endpoint has not been seen to finish a prefill since
            this one began, or has just failed.
    """

    present_s: float
    other_s: float | None
    target_in_s: float
    seems_dead: bool


def further_wait_s(slow: SlowPrefill) -> float:
    """Return how much longer to wait for a prefill, in seconds.

    0 if it is to be given up now: its endpoint seems dead, or another one
    answers sooner and still in time.  After the further wait it is given up,
    as the endpoint has then had the time for all that was known there.
    """
    if slow.seems_dead:
        return 0.0
    if (
        slow.other_s is not None
        and slow.other_s < slow.present_s
        and slow.other_s <= slow.target_in_s
    ):
        return 0.0
    return max(_MIN_FURTHER_S, _SLACK * slow.present_s)


def has_become_pointless(
    reserved: queue_order.WaitingRequest,
    reserved_at: float,
    present: queue_order.WaitingRequest,
    now: float,
) -> bool:
    """Whether the client would leave before the first event can come.

    `reserved` is the request as it was when its capacity was reserved,
    `present` as it is now.  One that seemed too late when it was reserved is
    not: it corrects estimates that are wrong.
    """
    return queue_order.is_infeasible(
        present, now
    ) and not queue_order.is_infeasible(reserved, reserved_at)
