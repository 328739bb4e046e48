"""An endpoint's answer that comes a second time, late, on its connection.

Guards against an unsafe request that runs twice: sent again under its id on
the connection where it was turned away, it is answered by the old answer.
"""

import asyncio
import collections
import pathlib

import pytest

from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site
from tests import test_gateway

_REQUESTS = 8
_BACKOFF_S = 0.1


class _Endpoint:
    """Turns each request away once, and says so again where it comes back."""

    def __init__(self, *, site: platform_site.Site) -> None:
        self._site = site
        self._rejected: dict[bytes, set[int]] = {}
        self.runs: list[bytes] = []

    async def answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        ident = message.find(req.headers, b"x-request-id") or b""
        conn = responder._conn
        rejected_on = self._rejected.setdefault(ident, set())
        if not rejected_on:
            rejected_on.add(id(conn))
            responder.send(503, self._rejection(req), b"")
            return
        self.runs.append(ident)
        if id(conn) in rejected_on:
            # The answer of before, where the next one is due.
            late = server.Responder(conn=conn, is_http10=False)
            late.send(503, self._rejection(req), b"")
        await self._site.plain[0].default_answer(req, responder)

    def _rejection(self, req: message.Request) -> list[message.Header]:
        return platform_site.vouching_headers(req) + [
            (b"x-not-executed", b"1"),
            (b"retry-after", b"%.2f" % _BACKOFF_S),
        ]


def test_a_request_is_not_sent_twice_on_one_connection(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            endpoints = [_Endpoint(site=site) for _ in site.plain]
            for one, endpoint in zip(endpoints, site.plain, strict=True):
                endpoint.answer = one.answer
            for number in range(_REQUESTS):
                got = await site.raw(
                    test_gateway.request("/unsafe/x", b"b", f"r{number}")
                )
                assert test_gateway.status(got) == 200
            runs = [ident for one in endpoints for ident in one.runs]
            assert sorted(runs) == sorted(set(runs))
            assert len(runs) == _REQUESTS

    asyncio.run(main())


def test_a_skipped_answer_is_counted(tmp_path: pathlib.Path) -> None:
    """Without a count, late answers can't be seen at a gateway."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for endpoint in site.plain:
                endpoint.answer = _after_another(endpoint)
            got = await site.raw(test_gateway.request("/unsafe/x"))
            assert test_gateway.status(got) == 200
            counts = site.gateway.site.metrics.totals("skipped_answers")
            assert counts == {"other-id": 1}

    asyncio.run(main())


def _after_another(endpoint: platform_site.Endpoint) -> platform_site.Answer:
    """Return the default answer, behind one to another request."""

    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        late = server.Responder(conn=responder._conn, is_http10=False)
        late.send(503, [(b"x-request-id", b"other")], b"")
        await endpoint.default_answer(req, responder)

    return answer


class _Repeating:
    """Endpoints that send each answer again before the next to its id.

    The first answer comes once more where the request's id arrives again on
    the same connection.
    """

    def __init__(self, *, site: platform_site.Site) -> None:
        self._heads: dict[tuple[int, bytes], bytes] = {}
        # How often each id arrived on each connection.
        self.arrivals: collections.Counter[tuple[int, bytes]] = (
            collections.Counter()
        )
        for endpoint in site.endpoints:
            endpoint.answer = self._answer_of(endpoint, endpoint.answer)

    def _answer_of(
        self, endpoint: platform_site.Endpoint, answer: platform_site.Answer
    ) -> platform_site.Answer:
        async def repeat(
            req: message.Request, responder: server.Responder
        ) -> None:
            ident = message.find(req.headers, b"x-request-id")
            if ident is None:
                responder.send(200, [], b"")
                return
            conn = responder._conn
            key = (id(conn), ident)
            self.arrivals[key] += 1
            if key in self._heads:
                conn.write(self._heads[key])
                await answer(req, responder)
                return
            written: list[bytes] = []
            write = conn.write

            def record(data: bytes) -> None:
                written.append(data)
                write(data)

            conn.write = record  # type: ignore[method-assign]
            try:
                await answer(req, responder)
            finally:
                conn.write = write  # type: ignore[method-assign]
            self._heads[key] = b"".join(written)

        return repeat


async def _fail(req: message.Request, responder: server.Responder) -> None:
    responder.send(500, platform_site.vouching_headers(req), b"")


def test_a_prompt_is_not_prefilled_twice_on_one_connection(
    tmp_path: pathlib.Path,
) -> None:
    """The first prefill's late answer was taken for the second one's.

    Its KV cache is gone by then, and the true answer came to nobody.
    """

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            handles: list[bytes] = []

            async def prefill(
                req: message.Request, responder: server.Responder
            ) -> None:
                handles.append(b"h%d" % len(handles))
                responder.send(
                    200,
                    platform_site.vouching_headers(req),
                    b'{"kvHandle":"%b","tokens":10,"version":1}' % handles[-1],
                )

            site.prefill.answer = prefill
            # The stream goes on elsewhere, for which it is prefilled anew.
            site.decode[0].answer = _fail
            repeating = _Repeating(site=site)
            for number in range(_REQUESTS):
                got = await site.raw(
                    test_gateway.generation("/res/x", f"r{number}")
                )
                assert test_gateway.status(got) == 200
                (ran,) = [
                    message.find(req.headers, b"x-kv-source") or b""
                    for req in site.decode[1].requests
                    if message.find(req.headers, b"x-request-id")
                    == b"r%d" % number
                ]
                assert ran.endswith(b"/" + handles[-1])
            assert len(handles) > _REQUESTS
            assert set(repeating.arrivals.values()) == {1}

    asyncio.run(main())


def test_a_client_that_uses_an_id_twice_gets_each_answer(
    tmp_path: pathlib.Path,
) -> None:
    """The first attempt's late answer was taken for the second one's."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            repeating = _Repeating(site=site)
            for number in range(_REQUESTS):
                body = b"b%d" % number
                got = await site.raw(test_gateway.request("/unsafe/x", body))
                assert test_gateway.status(got) == 200
                assert got.endswith(b"from " + body)
            assert set(repeating.arrivals.values()) == {1}

    asyncio.run(main())


# Answers without an id, as of calls that carry none.
_WITHOUT_ID = {
    "rejected": b"HTTP/1.1 503 -\r\nX-Not-Executed: 1\r\nRetry-After: 0.1\r\n",
    "replaced": b"HTTP/1.1 421 -\r\n",
    "failed": b"HTTP/1.1 500 -\r\nX-Response-Seal: seal\r\n",
    "unknown": b"HTTP/1.1 404 -\r\nX-Response-Seal: seal\r\n",
    "served": b"HTTP/1.1 200 -\r\nX-Response-Seal: seal\r\n",
}
_EMPTY = b"Content-Length: 0\r\n\r\n"


def _after_one_without_id(
    endpoint: platform_site.Endpoint, late: bytes, runs: list[bytes]
) -> platform_site.Answer:
    """Return the default answer, behind one without an id."""

    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        runs.append(message.find(req.headers, b"x-request-id") or b"")
        responder._conn.write(late + _EMPTY)
        await endpoint.default_answer(req, responder)

    return answer


@pytest.mark.parametrize("kind", list(_WITHOUT_ID))
@pytest.mark.parametrize("path", ["/unsafe/x", "/gen/x"])
def test_an_answer_without_the_id_is_not_the_requests(
    tmp_path: pathlib.Path, path: str, kind: str
) -> None:
    """A late rejection without an id let unsafe requests run twice."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            runs: list[bytes] = []
            for endpoint in [*site.plain, *site.decode]:
                endpoint.answer = _after_one_without_id(
                    endpoint, _WITHOUT_ID[kind], runs
                )
            for number in range(_REQUESTS):
                got = await site.raw(
                    test_gateway.request(path, b"b", f"r{number}")
                )
                assert test_gateway.status(got) == 200
            assert sorted(runs) == sorted(set(runs))
            counts = site.gateway.site.metrics.totals("skipped_answers")
            assert counts == {"no-id": _REQUESTS}

    asyncio.run(main())


def test_a_rejection_without_the_id_proves_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """The request may still run, so that it is neither resent nor refused."""

    async def reject(
        req: message.Request, responder: server.Responder
    ) -> None:
        responder._conn.write(_WITHOUT_ID["rejected"] + _EMPTY)
        await asyncio.Event().wait()

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            test_gateway.all_answer(site, reject)
            got = await site.raw(
                b"POST /unsafe/x HTTP/1.1\r\nHost: site.example\r\n"
                b"X-Request-Id: r1\r\nX-Deadline-Ms: 300\r\n"
                b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            )
            assert test_gateway.status(got) == 504
            assert sum(len(one.requests) for one in site.plain) == 1

    asyncio.run(main())
