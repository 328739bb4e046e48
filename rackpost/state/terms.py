"""What a caller is promised for a kind of request of a service."""

import msgspec

from rackpost import types


class Terms(msgspec.Struct, frozen=True, kw_only=True):
    """The effective settings of one caller, service and kind.

    Attributes:
        ttft_s: time to the first token, or to a plain answer's head.
        tbt_s: mean time between tokens over an answer.
        weight: how much an answer counts; 1 is ordinary.
        repeat: how often such a request may run.
        max_open: open requests of the caller at one entry.
        retry_share: retries of the service, as a share of its requests.
        whole_s: time in which the whole answer must have ended.
    """

    ttft_s: float = 0.59
    tbt_s: float = 0.058
    weight: float = 1.0
    repeat: types.RepeatClass = types.RepeatClass.FREE
    max_open: int = 64
    retry_share: float = 0.1
    whole_s: float = 60.0
