"""The service level and limits of a caller's requests."""

import msgspec

from rackpost import types


class Terms(msgspec.Struct, frozen=True, kw_only=True):
    """The effective settings of one caller, service and kind.

    Attributes:
        ttft_s: time to the first token, or to a plain answer's head.
        tbt_s: mean time between the tokens of an answer.
        weight: value of an answer; 1 is ordinary.
        repeat: how often a request may run.
        max_open: limit of the caller's open requests at one entry.
        retry_share: limit of retries, as a share of the service's requests.
        whole_s: time to the end of the answer.
    """

    ttft_s: float = 0.59
    tbt_s: float = 0.058
    weight: float = 1.0
    repeat: types.RepeatClass = types.RepeatClass.FREE
    max_open: int = 64
    retry_share: float = 0.1
    whole_s: float = 60.0
