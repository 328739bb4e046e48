"""A gateway sends late reads to a second endpoint, and cancels the loser."""

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator

import pytest

from rackpost.decide import features
from rackpost.decide.pace import second_reads
from rackpost.gateway import second_read
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost import types
from tests import platform_site
from tests import test_gateway


@pytest.fixture(autouse=True)
def _released(monkeypatch: pytest.MonkeyPatch) -> None:
    """Release all parts that the document calls for."""
    monkeypatch.setattr(features, "_HELD_BACK", frozenset())


PLAIN = types.ServiceName("plain")


@contextlib.asynccontextmanager
async def site_with_second_reads(
    root: pathlib.Path,
) -> AsyncIterator[platform_site.Site]:
    """Run a site whose document turns second reads on: three kinds."""
    async with platform_site.small_site(root) as site:
        doc = platform_site.document(2)
        third = dict(doc["routes"][-1], name="third", pathPrefix="/third/")
        doc["routes"].append(third)
        await site.operator.put_until_accepted(11, doc)
        await platform_site.until(lambda: site.gateway.site.version == 2)
        yield site


class Loss:
    """The next request gets no answer, at whichever endpoint."""

    def __init__(self, *, site: platform_site.Site) -> None:
        self._has_lost = False
        self.closed = 0
        for endpoint in site.plain:
            endpoint.requests.clear()
            endpoint.answer = self._answer_of(endpoint)

    def _answer_of(
        self, endpoint: platform_site.Endpoint
    ) -> platform_site.Answer:
        async def answer(
            req: message.Request, responder: server.Responder
        ) -> None:
            if self._has_lost:
                await endpoint.default_answer(req, responder)
                return
            self._has_lost = True
            try:
                await asyncio.Event().wait()
            finally:
                self.closed += 1

        return answer


def arrivals(site: platform_site.Site) -> int:
    return sum(len(endpoint.requests) for endpoint in site.plain)


async def ask(site: platform_site.Site, path: str) -> int:
    """Send a request with a short deadline; return the status."""
    data = test_gateway.request(path).replace(b": 3000", b": 600")
    return test_gateway.status(await site.raw(data))


def set_history(site: platform_site.Site) -> None:
    """Let 21 reads have taken up to 50 ms; one second read is allowed."""
    reads = second_reads.SecondReads(phase=0.5)
    for _ in range(21):
        reads.record_read()
        reads.record_answer(types.KindName("safe"), 0.05)
    site.gateway.site._second_reads[PLAIN] = reads


def test_a_lost_read_is_answered_by_a_second_endpoint(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with site_with_second_reads(tmp_path) as site:
            set_history(site)
            loss = Loss(site=site)
            assert await ask(site, "/safe/x") == 200
            assert [len(item.requests) for item in site.plain] == [1, 1]
            # The loser's connection is closed at once.
            await platform_site.until(lambda: loss.closed == 1)
            gateway = site.gateway.site
            won = second_read.SecondReadEnd.WON
            assert gateway.metrics.counted("second_reads", won) == 1
            budget = gateway.retry_budget(PLAIN)
            assert len(budget._retries) == 1
            # The share of second reads is used up.
            loss = Loss(site=site)
            assert await ask(site, "/safe/x") == 504
            assert arrivals(site) == 1

    asyncio.run(main())


def test_the_first_answer_counts_and_the_second_attempt_is_cancelled(
    tmp_path: pathlib.Path,
) -> None:
    """The first endpoint answers while the second one has the read."""

    async def main() -> None:
        async with site_with_second_reads(tmp_path) as site:
            set_history(site)
            go_on = asyncio.Event()
            for endpoint in site.plain:
                endpoint.requests.clear()
                endpoint.answer = test_gateway.answer_after(go_on, endpoint)
            asked = asyncio.create_task(ask(site, "/safe/x"))
            await platform_site.until(lambda: arrivals(site) == 2)
            # Both answer in the same moment.
            go_on.set()
            assert await asked == 200
            loads = site.gateway.site.loads
            await platform_site.until(lambda: not loads.own)
            assert await ask(site, "/safe/x") == 200

    asyncio.run(main())


def test_an_unsafe_request_is_never_sent_twice(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with site_with_second_reads(tmp_path) as site:
            set_history(site)
            Loss(site=site)
            assert await ask(site, "/unsafe/x") == 504
            assert arrivals(site) == 1

    asyncio.run(main())


def test_without_the_part_a_late_read_waits_for_its_endpoint(
    tmp_path: pathlib.Path,
) -> None:
    """The document has two kinds of streams."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            set_history(site)
            Loss(site=site)
            assert await ask(site, "/safe/x") == 504
            assert arrivals(site) == 1

    asyncio.run(main())
