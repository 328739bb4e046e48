"""Prompts cut short, to prefill a long one in parts.

A part is prefilled as a request of its own for one token; the next one,
which begins with the same text, finds it in the engine's prefix cache.
So a more urgent prompt waits for a part and not for the whole, without
the engine knowing of it.  Pure.
"""

from typing import Any

import msgspec

from rackpost.decide import prefix


def truncate_prompt(body: bytes, tokens: int) -> bytes:
    """The request with only about the first `tokens` of its prompt."""
    room = tokens * prefix.BYTES_PER_TOKEN
    req: dict[str, Any] = msgspec.json.decode(body)
    if "messages" not in req:
        req["prompt"] = _cut(str(req.get("prompt", "")), room)
        return msgspec.json.encode(req)
    kept = []
    for msg in req["messages"]:
        text = msg.get("content")
        if not isinstance(text, str):
            # Content in several parts is left whole.
            kept.append(msg)
            continue
        kept.append({**msg, "content": _cut(text, room)})
        # Messages are joined by one character each.
        room -= len(text.encode()) + 1
        if room <= 0:
            break
    req["messages"] = kept
    return msgspec.json.encode(req)


def _cut(text: str, room: int) -> str:
    # A character that is cut through is left out.
    return text.encode()[:room].decode(errors="ignore")
