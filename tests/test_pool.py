"""The connection pool when an endpoint's connection limit is reached."""

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator

import pytest

from rackpost import exceptions
from rackpost.http1 import client
from rackpost.http1 import pool as pool_mod
from rackpost.testing import virtual
from tests import platform_site
from tests import test_gateway

_ADDRESS = "10.0.0.1:80"


class Connection:
    """A stand-in that is reusable after each exchange."""

    is_open = True
    idle_until = 1e9

    def may_send(self, request_id: bytes | None) -> bool:
        return True

    def release(self) -> bool:
        return True

    def abort(self) -> None:
        self.is_open = False


def pool(monkeypatch: pytest.MonkeyPatch) -> pool_mod.Pool:
    async def connect(self: pool_mod.Pool, address: str) -> Connection:
        return Connection()

    monkeypatch.setattr(pool_mod.Pool, "_connect", connect)
    return pool_mod.Pool(id_header=b"x-request-id")


async def exchange(found: pool_mod.Pool, seconds: float) -> float:
    """Hold a connection; return the time at which it was acquired."""
    async with found.connection(_ADDRESS, limit=2):
        at = asyncio.get_running_loop().time()
        await asyncio.sleep(seconds)
    return at


def test_a_request_over_the_limit_waits_for_a_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Six requests of 75 ms share two connections."""

    async def main() -> None:
        found = pool(monkeypatch)
        began = asyncio.get_running_loop().time()
        tasks = [exchange(found, 0.075) for _ in range(6)]
        acquired_at = [at - began for at in await asyncio.gather(*tasks)]
        assert acquired_at == pytest.approx([0, 0, 0.075, 0.075, 0.15, 0.15])
        assert found._addresses[_ADDRESS].exchanges == 0

    virtual.run(main())


def test_the_wait_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        found = pool(monkeypatch)
        busy = [asyncio.create_task(exchange(found, 5.0)) for _ in range(2)]
        await asyncio.sleep(0.1)
        with pytest.raises(exceptions.ConnectionLimitReached) as caught:
            await exchange(found, 0.1)
        assert not caught.value.sent
        await asyncio.gather(*busy)
        assert found._addresses[_ADDRESS].exchanges == 0
        await exchange(found, 0.1)

    virtual.run(main())


def test_a_cancelled_waiter_takes_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Also one that is cancelled just as it is handed a connection."""

    async def main() -> None:
        found = pool(monkeypatch)
        busy = [asyncio.create_task(exchange(found, 0.1)) for _ in range(2)]
        await asyncio.sleep(0.01)
        gone = asyncio.create_task(exchange(found, 1.0))
        stays = asyncio.create_task(exchange(found, 0.1))
        await asyncio.sleep(0.01)
        gone.cancel()
        await asyncio.gather(*busy, stays)
        late = [asyncio.create_task(exchange(found, 0.1)) for _ in range(2)]
        await asyncio.sleep(0.01)
        gone = asyncio.create_task(exchange(found, 1.0))
        await asyncio.sleep(0.01)
        late[0].cancel()
        late[0].add_done_callback(lambda _: gone.cancel())
        await asyncio.wait([*late, gone])
        assert found._addresses[_ADDRESS].exchanges == 0

    virtual.run(main())


def test_an_endpoint_at_its_connection_limit_is_not_marked_failed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Other gateways would avoid an endpoint that has not failed."""

    async def fail_to_acquire(self: pool_mod.Pool, found: object) -> None:
        raise exceptions.ConnectionLimitReached

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            monkeypatch.setattr(
                pool_mod.Pool, "_acquire_slot", fail_to_acquire
            )
            for path in ("/unsafe/x", "/gen/x"):
                got = await site.raw(test_gateway.request(path))
                assert test_gateway.status(got) == 503
            here = site.gateway.site
            assert not here.health.failed_endpoints(here.loop_time())

    asyncio.run(main())


class _Rejecting:
    """An endpoint that rejects each request and keeps its connections."""

    def __init__(self) -> None:
        self.address = ""
        self._open = 0
        # The connections that were open as each request arrived.
        self.open_counts: list[int] = []
        # The ids that arrived on each connection.
        self.arrivals: list[list[bytes]] = []

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["_Rejecting"]:
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            yield self

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open += 1
        arrived: list[bytes] = []
        self.arrivals.append(arrived)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.open_counts.append(self._open)
                ident = head.partition(b"X-Id: ")[2].partition(b"\r\n")[0]
                arrived.append(ident)
                writer.write(
                    b"HTTP/1.1 503 -\r\nX-Id: %b\r\nContent-Length: 0\r\n"
                    b"Keep-Alive: timeout=60\r\n\r\n" % ident
                )
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._open -= 1
            writer.close()


async def _reject(
    found: pool_mod.Pool, address: str, ident: bytes, *, limit: int
) -> None:
    """Send a request that the endpoint rejects."""
    async with found.connection(
        address, limit=limit, request_id=ident
    ) as conn:
        await conn.request(
            head=b"GET / HTTP/1.1\r\nX-Id: %b\r\n\r\n" % ident,
            body=b"",
            request_id=ident,
        )
        await conn.read_whole(100)


@pytest.mark.parametrize("limit", [1, 4])
def test_idle_connections_count_against_the_limit(limit: int) -> None:
    """An endpoint resets connections beyond its limit, with their requests.

    The idle ones, on which the request was rejected before, stayed open.
    """

    async def main() -> None:
        async with _Rejecting().running() as endpoint:
            found = pool_mod.Pool(id_header=b"x-id")
            for _ in range(6):
                for number in range(limit):
                    await _reject(
                        found, endpoint.address, b"r%d" % number, limit=limit
                    )
            # Several at once, each where no idle connection may carry it.
            for _ in range(6):
                async with asyncio.TaskGroup() as group:
                    for number in range(limit):
                        group.create_task(
                            _reject(
                                found,
                                endpoint.address,
                                b"r%d" % number,
                                limit=limit,
                            )
                        )
            assert len(endpoint.open_counts) == 12 * limit
            assert max(endpoint.open_counts) <= limit
            found.close()

    asyncio.run(main())


def test_a_lower_limit_closes_connections() -> None:
    """The limit is shared, and falls as gateways are added."""

    async def main() -> None:
        async with _Rejecting().running() as endpoint:
            found = pool_mod.Pool(id_header=b"x-id")
            async with asyncio.TaskGroup() as group:
                for number in range(6):
                    group.create_task(
                        _reject(
                            found, endpoint.address, b"a%d" % number, limit=6
                        )
                    )
            assert max(endpoint.open_counts) == 6
            for number in range(6):
                await _reject(
                    found, endpoint.address, b"b%d" % number, limit=2
                )
            assert endpoint.open_counts[-1] <= 2
            found.close()

    asyncio.run(main())


def test_a_connection_opened_for_one_exchange_is_not_kept() -> None:
    """It takes room at the endpoint, and nothing uses it again."""

    async def main() -> None:
        async with _Rejecting().running() as endpoint:
            found = pool_mod.Pool(id_header=b"x-id")
            for _ in range(3):
                async with found.connection(
                    endpoint.address, limit=2, fresh=True
                ) as conn:
                    await conn.request(
                        head=b"GET / HTTP/1.1\r\n\r\n",
                        body=b"",
                        request_id=None,
                    )
                    await conn.read_whole(100)
            assert endpoint.open_counts == [1, 1, 1]
            found.close()

    asyncio.run(main())


def test_an_id_is_not_forgotten_while_its_connection_is_open() -> None:
    """Only the newest 128 were, of a busy connection's rejected requests."""

    async def main() -> None:
        async with _Rejecting().running() as endpoint:
            found = pool_mod.Pool(id_header=b"x-id")
            count = 2 * client.MAX_REQUESTS + 10
            for gap in (0, 1, 130, 200, client.MAX_REQUESTS, count - 1):
                # The request returns after `gap` others.
                for number in [*range(gap + 1), 0]:
                    await _reject(
                        found,
                        endpoint.address,
                        b"%d-%d" % (gap, number),
                        limit=1,
                    )
            for arrived in endpoint.arrivals:
                assert len(set(arrived)) == len(arrived)
                assert len(arrived) <= client.MAX_REQUESTS
            assert max(endpoint.open_counts) == 1
            # Connections carry many requests all the same.
            requests = len(endpoint.open_counts)
            assert found.opened <= requests / client.MAX_REQUESTS + 7
            found.close()

    asyncio.run(main())
