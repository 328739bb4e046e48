"""The HTTP APIs for callers and operators, over real sockets."""

import asyncio
import contextlib
import hashlib
import pathlib
import tempfile
from typing import Any
from typing import AsyncIterator

import aiohttp
import openai

from rackpost.control import messages as control
from rackpost import exceptions
from rackpost.link import websocket
from rackpost.testing import demo_site
from rackpost.testing import engine
from rackpost.testing import plain
from rackpost import types

MODEL = "tolk"
PLAIN = "register"
BEARER = {"Authorization": f"Bearer {demo_site.CALLER_KEY}"}
CHAT: Any = [{"role": "user", "content": "Storgata 1, handwritten"}]


@contextlib.asynccontextmanager
async def small_site() -> AsyncIterator[demo_site.DemoSite]:
    spec = engine.EngineSpec()
    with tempfile.TemporaryDirectory() as folder:
        async with demo_site.running(pathlib.Path(folder)) as site:
            await site.start_control(1)
            await site.add_endpoint("t0", MODEL, types.Role.PREFILL, spec)
            await site.add_endpoint("t1", MODEL, types.Role.DECODE, spec)
            await site.add_endpoint("p0", PLAIN, types.Role.PLAIN, spec)
            await site.add_entry("e0")
            values = {
                f"{MODEL}.type": "model",
                f"{MODEL}/note.ttft_s": 60.0,
                f"{MODEL}/deed.repeat": "once",
                f"{MODEL}/deed.ttft_s": 60.0,
                f"{MODEL}.default_kind": "note",
                f"{MODEL}.max_tokens": 7,
                f"{PLAIN}.type": "plain",
                "ttft_s": 60.0,
            }
            await site.write("", values)
            key_hash = hashlib.sha256(demo_site.CALLER_KEY.encode())
            await site.write("nord", {"caller_key": key_hash.hexdigest()})
            await wait_until_ready(site)
            yield site


async def wait_until_ready(site: demo_site.DemoSite) -> None:
    entry = site.entries[0]
    while True:
        linked = len(list(entry.entry.pool.peers()))
        if linked == 3 and "nord" in entry.client.in_force.tree.nodes:
            return
        await asyncio.sleep(0.01)


def expected_text(messages: Any, limit: int) -> str:
    import json

    body = json.dumps({"messages": messages, "max_tokens": limit})
    return "".join(engine.answer_to(body.encode()))


def test_an_ordinary_client_library_streams_and_does_not_stream() -> None:
    async def main() -> None:
        async with small_site() as site:
            client = openai.AsyncOpenAI(
                api_key=demo_site.CALLER_KEY,
                base_url=site.entry_urls[0] + "/v1",
                max_retries=0,
            )
            models = [item.id async for item in client.models.list()]
            assert models == [MODEL]
            whole = await client.chat.completions.create(
                model=MODEL, messages=CHAT, max_tokens=12
            )
            expected_answer = expected_text(CHAT, 12)
            assert whole.choices[0].message.content == expected_answer
            assert whole.usage is not None
            stream = await client.chat.completions.create(
                model=MODEL,
                messages=CHAT,
                max_tokens=12,
                stream=True,
                stream_options={"include_usage": True},
            )
            texts = []
            usage = None
            async for chunk in stream:
                usage = chunk.usage or usage
                for choice in chunk.choices:
                    texts.append(choice.delta.content or "")
            assert "".join(texts) == expected_answer
            assert usage is not None
            assert usage.completion_tokens == whole.usage.completion_tokens
            # The service's max_tokens applies, not the built-in 256.
            default_length = await client.chat.completions.create(
                model=MODEL, messages=CHAT
            )
            found = default_length.choices[0].message.content
            assert found == expected_text(CHAT, 7)
            text = await client.completions.create(
                model=MODEL, prompt="x", max_tokens=5
            )
            assert text.choices[0].text
            await client.close()

    asyncio.run(main())


def test_plain_calls_pass_through_and_refusals_are_problems() -> None:
    async def main() -> None:
        async with small_site() as site:
            url = site.entry_urls[0]
            async with aiohttp.ClientSession() as session:
                await check_plain_call(session, url)
                await check_refusals(session, url)
                await check_resend_runs_once(session, url, site)

    asyncio.run(main())


async def check_plain_call(session: aiohttp.ClientSession, url: str) -> None:
    target = f"{url}/services/{PLAIN}/a/b?q=1"
    async with session.put(target, data=b"body", headers=BEARER) as resp:
        assert resp.status == 200
        expected_answer = plain.answer_to("PUT", "/a/b", "q=1", b"body")
        assert await resp.read() == expected_answer


async def check_refusals(session: aiohttp.ClientSession, url: str) -> None:
    good = {"model": MODEL, "messages": CHAT}
    cases: list[tuple[dict, Any, int, str]] = [
        ({}, good, 401, "no-key"),
        ({"Authorization": "Bearer x"}, good, 401, "bad-key"),
        (BEARER, {**good, "model": "none"}, 404, "unknown-model"),
        (BEARER, {**good, "model": PLAIN}, 404, "unknown-model"),
        (BEARER, {"model": MODEL}, 400, "no-messages"),
        ({**BEARER, "X-Rackpost-Kind": "x"}, good, 400, "unknown-kind"),
        (
            {**BEARER, "X-Rackpost-Kind": "deed"},
            good,
            400,
            "no-idempotency-key",
        ),
    ]
    for headers, body, status, reason in cases:
        async with session.post(
            f"{url}/v1/chat/completions", json=body, headers=headers
        ) as resp:
            assert resp.status == status, reason
            assert resp.content_type == "application/problem+json"
            found = await resp.json()
            assert found["reason"] == reason
            assert found["outcome"] == "not-run"
            assert found["request_id"] == resp.headers["x-request-id"]


async def check_resend_runs_once(
    session: aiohttp.ClientSession, url: str, site: demo_site.DemoSite
) -> None:
    headers = {
        **BEARER,
        "X-Rackpost-Kind": "deed",
        "Idempotency-Key": "plot 7",
    }
    body = {"model": MODEL, "messages": CHAT, "max_tokens": 8}
    runs_before = sum(site.ledger.runs.values())
    statuses = []
    for _ in range(2):
        async with session.post(
            f"{url}/v1/chat/completions", json=body, headers=headers
        ) as resp:
            statuses.append((resp.status, (await resp.json()).get("reason")))
    assert statuses == [(200, None), (200, None)]
    assert sum(site.ledger.runs.values()) == runs_before + 1


def test_a_caller_that_leaves_holds_nothing() -> None:
    async def main() -> None:
        async with small_site() as site:
            url = site.entry_urls[0] + "/v1/chat/completions"
            body = {
                "model": MODEL,
                "messages": CHAT,
                "max_tokens": 2000,
                "stream": True,
            }
            async with aiohttp.ClientSession() as session:
                resp = await session.post(url, json=body, headers=BEARER)
                await resp.content.readline()
                assert any(item.held() for item in site.engines.values())
                resp.close()
                while site.entries[0].entry.open_requests:
                    await asyncio.sleep(0.01)
                while any(item.held() for item in site.engines.values()):
                    await asyncio.sleep(0.01)

    asyncio.run(main())


def test_a_peer_without_the_sites_key_is_refused_and_counted() -> None:
    async def main() -> None:
        async with small_site() as site:
            entry = site.entries[0]
            address = entry.client.in_force.members["t1"].address
            wrong_key = websocket.Security(key=b"not the site's key")
            try:
                async with websocket.connected(
                    address, security=wrong_key, kinds=control.FromControl
                ):
                    raise AssertionError("the link came up")
            except exceptions.LinkError:
                pass
            agent = site.agents["t1"]
            reason = types.Refusal.NOT_OF_THE_SITE
            while not agent.metrics.counted("refused_peer", reason):
                await asyncio.sleep(0.01)

    asyncio.run(main())


def test_operators_race_and_resend_over_http() -> None:
    async def main() -> None:
        async with small_site() as site:
            first = await site.write("sor", {"weight": 2.0}, op="a")
            second = await site.write("sor", {"weight": 3.0}, op="b")
            again = await site.write("sor", {"weight": 2.0}, op="a")
            assert first["type"] == "accepted"
            assert second["type"] == "conflict"
            assert again == first
            rejected = await site.write("sor", {"weigth": 2.0})
            assert "no setting 'weigth'" in rejected["detail"]
            status = await site.operate("/v1/status", None)
            assert status["leader"] == "c0"

    asyncio.run(main())
