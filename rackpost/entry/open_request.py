"""A request that an entry is serving, through all its attempts."""

from rackpost.entry import attempt as attempt_mod
from rackpost.entry import claims as claims_mod
from rackpost.entry import request

__all__ = ["OpenRequest"]


class OpenRequest:
    """A request that is being served, with its present attempt."""

    def __init__(self, *, req: request.Request, began: float) -> None:
        self.req = req
        self.began = began
        self.attempt: attempt_mod.Attempt | None = None
        self.number = 0
        self.delivered = 0
        self.handed_over = False
        self.first_at: float | None = None
        self.claimed: claims_mod.Holder | None = None
        # The answer that the key was given before, for a resend.
        self.held: list[request.Event] = []

    def left_s(self, now: float) -> float:
        """How long its next token may take, in seconds."""
        past = now - self.began
        if self.delivered:
            # The first token was in time; a resumed stream has as long
            # as a new request would.
            return min(self.req.terms.ttft_s, self.req.terms.whole_s - past)
        return self.req.terms.ttft_s - past
