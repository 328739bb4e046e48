"""Truncates prompts, to prefill a long one in chunks.

Each chunk is sent as a request for one token, with all of the prompt up to
the chunk's end; the engine finds what came before in its prefix cache.
More urgent prompts can run between chunks, without support of the engine.
"""

from typing import Any

import msgspec

from rackpost.decide import prefix


def truncate_prompt(body: bytes, tokens: int) -> bytes:
    """Return the request with about the first `tokens` of its prompt."""
    left = tokens * prefix.BYTES_PER_TOKEN
    req: dict[str, Any] = msgspec.json.decode(body)
    if "messages" not in req:
        req["prompt"] = _truncate(str(req.get("prompt", "")), left)
        return msgspec.json.encode(req)
    kept = []
    for msg in req["messages"]:
        text = msg.get("content")
        if not isinstance(text, str):
            # Multi-part content is not truncated.
            kept.append(msg)
            continue
        kept.append({**msg, "content": _truncate(text, left)})
        # Messages are joined by one character each.
        left -= len(text.encode()) + 1
        if left <= 0:
            break
    req["messages"] = kept
    return msgspec.json.encode(req)


def _truncate(text: str, max_bytes: int) -> str:
    # Drops a character that the limit would split.
    return text.encode()[:max_bytes].decode(errors="ignore")
