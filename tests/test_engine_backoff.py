"""An agent's endpoint that asks for a time without requests.

The agent was turned away and asked again with the next promise, and with
what it had promised before; entries went on to choose it.
"""

import asyncio
import random

import pytest

from rackpost.agent import engine_http
from rackpost.decide import circuit_breaker
from rackpost.decide import slots
from rackpost import exceptions
from rackpost.http1 import message
from rackpost.http1 import server

_KEY = slots.AttemptKey("r1", 1)
_BODY = b'{"model":"m","prompt":"x"}'


def test_nothing_is_sent_in_the_time_that_was_asked_for() -> None:
    seen = []

    async def turn_away(
        req: message.Request, responder: server.Responder
    ) -> None:
        seen.append(req.path)
        responder.whole(503, [(b"retry-after", b"30")], b"")

    async def main() -> None:
        listening = server.Server(
            handler=turn_away, failed=lambda req, exc: None
        )
        async with listening.serving("127.0.0.1", 0) as port:
            engine = engine_http.HttpEngine(url=f"http://127.0.0.1:{port}")
            try:
                for _ in range(5):
                    with pytest.raises(exceptions.EngineError) as caught:
                        await engine.prefill(key=_KEY, body=_BODY, priority=0)
                    # It has not run, and the agent learns for how long.
                    assert not caught.value.ran
                    assert 25.0 < caught.value.backoff_s <= 30.0
                with pytest.raises(exceptions.EngineError):
                    await engine.events()
            finally:
                await engine.close()

    asyncio.run(main())
    assert seen == [b"/v1/completions"]


def test_an_endpoint_is_not_promised_in_the_time_that_it_asked_for() -> None:
    seen = circuit_breaker.CircuitBreaker(rng=random.Random(1))
    seen.record_backoff(3.0, 10.0)
    assert seen.state(12.9) is circuit_breaker.State.OPEN
    # What it still runs says nothing of what it takes.
    seen.record_success(took_s=1.0, predicted_s=1.0, now=11.0)
    seen.record_backoff(0.5, 11.0)
    assert seen.state(12.9) is circuit_breaker.State.OPEN
    assert seen.state(13.0) is circuit_breaker.State.CLOSED
