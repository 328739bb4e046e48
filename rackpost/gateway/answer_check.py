"""Checks of the head of an endpoint's answer.

The connection has passed it on only if it echoes the request's id.
"""

from rackpost.http1 import message
from rackpost.platform import headers

# Statuses that tell a client that its request has not run; an endpoint has to
# say so explicitly.
_PROMISES = (408, 421, 429, 503)


def is_not_run(head: message.Head) -> bool:
    """Whether the endpoint says that it did not run the request."""
    if message.find(head.headers, headers.NOT_RUN) is not None:
        return True
    return head.status == 421


def is_stream(head: message.Head) -> bool:
    """Whether an answer's body is a stream of events."""
    kind = message.find(head.headers, b"content-type") or b""
    return head.status == 200 and kind.startswith(b"text/event-stream")


def needs_body(head: message.Head) -> bool:
    """Whether an empty body would show that the answer was cut.

    A success whose end is that of its connection: an endpoint that stops just
    after the head closes it alike.
    """
    return head.status < 300 and head.framing is message.Framing.CLOSE


def why_unsound(head: message.Head) -> str:
    """Return why an answer may not be passed on; "" if it may."""
    found = head.headers
    if head.status < 300:
        if message.find(found, headers.SIGNATURE) is None:
            return "not signed"
        if message.find(found, b"content-encoding") is not None:
            return "encoded"
    elif head.status in _PROMISES:
        return f"a {head.status} that promises nothing"
    return ""
