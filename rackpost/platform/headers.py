"""The platform's headers: names in lower case, and parsers of values."""

import re
from typing import NamedTuple
from typing import Sequence

from rackpost.decide import endpoint_rates
from rackpost.http1 import message
from rackpost.http1 import retry_after
from rackpost.platform import keys
from rackpost import types

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
ENDPOINT_ID = b"x-expect-instance"
# The endpoint that sent an answer; `ENDPOINT_ID` selects one in a request.
ANSWERED_BY = b"x-instance-id"
STAGE = b"x-serving-stage"
KV_SOURCE = b"x-kv-source"
# The id of capacity set aside for the request.
KV_HOLD = b"x-kv-hold"
PRIORITY = b"x-request-priority"
RESUME_AFTER = b"last-event-id"
# The request that brought the first event of a stream which is resumed.
RESUMES = b"resumes"
# The organisation of a request, where callers have keys.
ORGANISATION = b"x-tenant-id"
_KEY = b"authorization"
_KEY_SCHEME = b"bearer"
SIGNATURE = b"x-response-seal"
NOT_RUN = b"x-not-executed"
_RETRY_AFTER = b"retry-after"
_LEAVING = b"server-leaving"
# Requests a second that an endpoint accepts from all gateways together.
_RATE = b"server-limit"
_DECIMAL = re.compile(rb"\d{1,12}(\.\d{1,12})?|\.\d{1,12}")
_TOKENS = b"x-token-usage"
# ID:TOKENS of each part of the prompt, separated by commas.
_PROMPT_PARTS = b"x-prompt-prefix"
# Bounds the work for one request; further parts in the middle are ignored.
_MAX_PROMPT_PARTS = 64
_LENGTH_GUESS = b"x-length-hint"

PREFILL = b"prefill"

# Statuses with which an endpoint rejects a request.
_TURNED_AWAY = (429, 503)

# Headers that control how an endpoint runs a request.  Only gateways set
# them: a client could otherwise reserve memory that gateways do not count.
GATEWAY_ONLY = frozenset(
    (
        DEADLINE_MS,
        ENDPOINT_ID,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        PRIORITY,
        b"x-expect-version",
        b"x-kv-backup",
        b"x-pin-ms",
        b"kv-fetch",
    )
)

# Headers with a caller's key and its organisation.
CALLER_KEY_HEADERS = frozenset((_KEY, ORGANISATION))
# Sent to a client without a key or with an unknown one.
AUTH_CHALLENGE = (b"www-authenticate", b"Bearer")


class RequestSizes(NamedTuple):
    """Sizes of a request in tokens: prompt, longest and expected answer."""

    prompt: int
    max_output: int
    expected_output: int


def parse_int(value: bytes | None) -> int | None:
    """Parse a header's whole number; None if missing or malformed."""
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


def request_sizes(headers: Sequence[message.Header]) -> RequestSizes | None:
    """Return the sizes of a model request; None if it names none."""
    usage = message.find(headers, _TOKENS)
    if usage is None:
        return None
    parts = usage.split(b",")
    prompt = parse_int(parts[0]) or 0
    max_output = (parse_int(parts[1]) or 0) if len(parts) > 1 else 0
    expected_output = parse_int(message.find(headers, _LENGTH_GUESS))
    return RequestSizes(
        prompt=prompt,
        max_output=max_output,
        expected_output=expected_output or max_output,
    )


def is_rejection(head: message.Head) -> bool:
    """Whether an endpoint rejected the request for lack of capacity."""
    return head.status in _TURNED_AWAY


def backoff_s(head: message.Head) -> float | None:
    """Return the back-off that a rejection requests, in seconds.

    None if the answer is no rejection or names no readable time.
    """
    if not is_rejection(head):
        return None
    return retry_after.seconds(
        message.find(head.headers, _RETRY_AFTER),
        message.find(head.headers, b"date"),
    )


def announces_leaving(head: message.Head) -> bool:
    """Whether an endpoint announces in its answer that it is leaving."""
    return message.find(head.headers, _LEAVING) == b"1"


def named_rate(head: message.Head) -> endpoint_rates.AnswerRate:
    """Return the rate of requests that an endpoint names in an answer."""
    values = [value for name, value in head.headers if name == _RATE]
    if not values:
        return endpoint_rates.AnswerRate()
    number = values[0].strip()
    if len(values) > 1 or not _DECIMAL.fullmatch(number):
        return endpoint_rates.AnswerRate(unreadable=True)
    return endpoint_rates.AnswerRate(per_s=float(number))


def prompt_parts(headers: Sequence[message.Header]) -> tuple[bytes, ...]:
    """Return the ids of the prompt's parts in order, of a bounded number.

    The last part belongs to the request alone, or to its session; the others
    are shared between requests.
    """
    value = b",".join(
        value for name, value in headers if name == _PROMPT_PARTS
    )
    items = value.split(b",")
    if len(items) > _MAX_PROMPT_PARTS:
        items = [*items[: _MAX_PROMPT_PARTS - 1], items[-1]]
    ids = (item.partition(b":")[0].strip().lower() for item in items)
    return tuple(ident for ident in ids if ident)


def own_prompt_part(headers: Sequence[message.Header]) -> bytes:
    """Return the id of the prompt's last part, b"" if there is none."""
    return (prompt_parts(headers) or (b"",))[-1]


def key_digest(headers: Sequence[message.Header]) -> types.KeyDigest | None:
    """Return the digest of a request's key.

    None unless the request has exactly one key.
    """
    values = [value for name, value in headers if name == _KEY]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    if scheme.lower() != _KEY_SCHEME:
        return None
    return keys.digest(key.strip()) or None
