"""Truncated prompts, and prefill in chunks."""

import asyncio
import json
from typing import Any

from rackpost.agent import prompt_chunks
from rackpost.decide import prefix
from rackpost import exceptions
from rackpost.testing import engine
from rackpost.testing import virtual
from rackpost import types
from tests import driver


def test_a_truncated_prompt_shares_the_blocks_of_the_full_one() -> None:
    texts = ["a" * 700, "b" * 3000, "cé" * 900]
    body = json.dumps(
        {"messages": [{"role": "user", "content": text} for text in texts]}
    ).encode()
    full = prefix.block_hashes(engine.prompt_of(body))
    for tokens in (64, 128, 500, 1024):
        cut = engine.prompt_of(prompt_chunks.truncate_prompt(body, tokens))
        found = prefix.block_hashes(cut)
        assert len(found) >= tokens // prefix.BLOCK_TOKENS - 1
        assert found == full[: len(found)]
        assert len(cut) <= tokens * prefix.BYTES_PER_TOKEN + 1


def test_a_short_prompt_runs_between_the_chunks_of_a_long_one() -> None:
    async def main() -> None:
        site = driver.small_site(prefills=1, decodes=1)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        # About 1.1 s of prefill, in nine chunks.
        long = asyncio.create_task(
            driver.take(entry, driver.ask("long", words=7000, ttft_s=4.0))
        )
        await asyncio.sleep(0.05)
        short = await driver.take(entry, driver.ask("short"))
        assert short.end.outcome is types.Outcome.ANSWERED
        assert not long.done()
        assert (await long).whole
        prefilled = site.ledger.prefilled_for(types.RequestId("long"))
        # No chunk prefills again what an earlier one did.
        assert sum(prefilled) <= 8800
        assert not site.held()
        site.close()

    virtual.run(main())


def test_a_prefill_that_fails_after_its_first_chunk_may_have_run() -> None:
    # Guards against reporting the attempt as not run because the engine
    # rejected only a later chunk.
    async def main() -> None:
        site = driver.small_site(prefills=1, decodes=1)
        await asyncio.sleep(0.1)
        node = site.nodes["t0"]
        warm = node.engine.warm
        calls = []

        async def busy(**chunk: Any) -> None:
            calls.append(chunk)
            if len(calls) > 1:
                raise exceptions.EngineError("429: busy", ran=False)
            await warm(**chunk)

        node.engine.warm = busy  # type: ignore[method-assign]
        req = driver.ask(
            "long", words=7000, ttft_s=4.0, repeat=types.RepeatClass.ONCE
        )
        result = await driver.take(site.entries[0], req)
        assert len(calls) == 2 and site.ledger.prefilled
        assert result.end.outcome is types.Outcome.UNKNOWN
        assert node.agent.open_attempts == 0
        site.close()

    virtual.run(main())
