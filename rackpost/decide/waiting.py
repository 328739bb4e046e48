"""Who of those that wait for room goes first, and who can't go.  Pure."""

import msgspec


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits for room.

    Attributes:
        priority: 0 goes first.
        target: clock reading by which its first token is in time.
        until: clock reading at which its client's time is up.
        start_s: from a place to the first token, as expected.
        run_s: from a place to its end, as expected.
    """

    priority: int
    target: float
    until: float
    start_s: float
    run_s: float


def is_hopeless(claim: Claim, now: float) -> bool:
    """Whether it can't end within its time any more."""
    return now + claim.run_s > claim.until


def order(claim: Claim, now: float) -> tuple[bool, int, float]:
    """Sort key: the least goes first.

    What can still be in time goes before what is late already and loses
    nothing more by waiting; among equals the earliest deadline first.
    """
    late = now + claim.start_s > claim.target
    return (late, claim.priority, claim.until if late else claim.target)
