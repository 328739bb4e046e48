"""An agent sends nothing while its endpoint's back-off lasts."""

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


def test_nothing_is_sent_during_a_requested_backoff() -> None:
    paths = []

    async def reject(
        req: message.Request, responder: server.Responder
    ) -> None:
        paths.append(req.path)
        responder.send(503, [(b"retry-after", b"30")], b"")

    async def main() -> None:
        listening = server.Server(handler=reject, failed=lambda req, exc: None)
        async with listening.serving("127.0.0.1", 0) as port:
            engine = engine_http.HttpEngine(url=f"http://127.0.0.1:{port}")
            try:
                for _ in range(5):
                    with pytest.raises(exceptions.EngineError) as caught:
                        await engine.prefill(key=_KEY, body=_BODY, priority=0)
                    # The agent learns how long the back-off lasts.
                    assert not caught.value.ran
                    assert 25.0 < caught.value.backoff_s <= 30.0
                with pytest.raises(exceptions.EngineError):
                    await engine.events()
            finally:
                await engine.close()

    asyncio.run(main())
    assert paths == [b"/v1/completions"]


def test_the_breaker_is_open_during_a_requested_backoff() -> None:
    breaker = circuit_breaker.CircuitBreaker(rng=random.Random(1))
    breaker.record_backoff(3.0, 10.0)
    assert breaker.state(12.9) is circuit_breaker.State.OPEN
    # A success of earlier work does not end the back-off.
    breaker.record_success(took_s=1.0, predicted_s=1.0, now=11.0)
    breaker.record_backoff(0.5, 11.0)
    assert breaker.state(12.9) is circuit_breaker.State.OPEN
    assert breaker.state(13.0) is circuit_breaker.State.CLOSED
