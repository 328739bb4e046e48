"""One message of chats crashes engines, in chats that are never alike.

Without sockets, at one entry.
"""

import asyncio
import json

import msgspec

from rackpost.entry import openai
from rackpost.entry import request
from rackpost.testing import virtual
from rackpost import types
from tests import driver

# Engines that may crash before the message has to be held back.
_MAX_CRASHES = 5
_SENDS = 12


def _chat(number: int, *shared: str) -> request.Request:
    """Return a chat of which only the last message is its own."""
    texts = [*shared, f"question {number}"]
    data = {
        "model": driver.SERVICE,
        "messages": [{"role": "user", "content": text} for text in texts],
        "max_tokens": 20,
    }
    parsed = openai.parse(
        json.dumps(data).encode(), chat=True, default_tokens=lambda model: 20
    )
    return msgspec.structs.replace(
        driver.ask(f"r{number}", words=50),
        body=parsed.body,
        parts=parsed.parts,
    )


# Guards against: each chat with the message counts by itself, and sound chats
# that share the others are refused with it.
def test_a_message_that_crashes_engines_is_held_back() -> None:
    crashes: list[str] = []

    async def main() -> None:
        site = driver.small_site()
        for name, engine in site.engines.items():
            if name.startswith("t"):
                driver.crash_on(engine, b"fatal", crashes)
        entry = site.entries[0]
        await asyncio.sleep(0.1)
        for number in range(_SENDS):
            sound = await driver.take(
                entry, _chat(2 * number, "system", "document")
            )
            assert sound.end.outcome is types.Outcome.ANSWERED
            bad = await driver.take(
                entry, _chat(2 * number + 1, "system", "fatal", "document")
            )
            await asyncio.sleep(2.0)
        assert 0 < len(crashes) <= _MAX_CRASHES
        assert bad.end.reason is types.Refusal.ENDS_ENGINES
        assert bad.end.outcome is types.Outcome.NOT_RUN
        site.close()

    virtual.run(main())


def test_the_last_message_is_no_shared_part() -> None:
    assert len(_chat(1, "system", "document").parts) == 2
    assert not _chat(1).parts
    assert _chat(1, "system").parts == _chat(2, "system").parts
