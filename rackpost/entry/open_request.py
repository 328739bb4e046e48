"""A request that an entry is serving, through all its attempts."""

from rackpost.entry import attempt as attempt_mod
from rackpost.entry import claims as claims_mod
from rackpost.entry import request

__all__ = ["OpenRequest"]


class OpenRequest:
    """A request that is being served, with its present attempt."""

    def __init__(self, *, req: request.Request, started_at: float) -> None:
        self.req = req
        self.started_at = started_at
        self.attempt: attempt_mod.Attempt | None = None
        self.attempt_number = 0
        self.delivered = 0
        self.handed_over = False
        self.first_event_at: float | None = None
        self.claim_holder: claims_mod.Holder | None = None
        # The answer that the key was given before, for a resend.
        self.stored_answer: list[request.Event] = []

    def remaining_s(self, now: float) -> float:
        """How long its next token may take, in seconds."""
        past = now - self.started_at
        if self.delivered:
            # The first token was in time; a resumed stream has as long
            # as a new request would.
            return min(self.req.terms.ttft_s, self.req.terms.whole_s - past)
        return self.req.terms.ttft_s - past
