"""The state of a request that an entry is serving."""

from rackpost.entry import attempt as attempt_mod
from rackpost.entry import claims as claims_mod
from rackpost.entry import request
from rackpost import types

__all__ = ["OpenRequest"]


class OpenRequest:
    """A request that is being served, with its current attempt.

    Attributes:
        delivered: answer events sent to the caller, without the head of a
            plain answer; for a model these are tokens.
        handed_over: whether an endpoint may have received the request.
        claim_holder: the attempt that holds the request's claim key.
        stored_answer: for a resend, the answer that an earlier attempt
            with the same key gave.
        software: software version of the engine that began the stream, which
            can go on at no other.
    """

    def __init__(self, *, req: request.Request, started_at: float) -> None:
        self.req = req
        self.started_at = started_at
        self.attempt: attempt_mod.Attempt | None = None
        self.attempt_number = 0
        self.delivered = 0
        self.handed_over = False
        self.first_event_at: float | None = None
        self.claim_holder: claims_mod.Holder | None = None
        self.stored_answer: list[request.Event] = []
        self.software: types.SoftwareVersion | None = None

    def remaining_s(self, now: float) -> float:
        """Return the time left until the next token is due, in seconds."""
        elapsed_s = now - self.started_at
        if self.delivered:
            # A resumed stream may take as long to its next token as a new
            # request to its first, within the limit for the whole answer.
            return min(
                self.req.terms.ttft_s, self.req.terms.whole_s - elapsed_s
            )
        return self.req.terms.ttft_s - elapsed_s
