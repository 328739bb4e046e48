"""Clients that read slowly: bounded in memory, without harm to others."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from rackpost.decide import slow_readers
from rackpost.http1 import message
from rackpost.http1 import server

_ANSWER_BYTES = 16 << 10
# Much more than the kernel holds for a loopback connection.
_LARGE_ANSWER_BYTES = 8 << 20


def _reader(
    key: str, held_bytes: int, bytes_per_s: float
) -> slow_readers.Reader:
    return slow_readers.Reader(key, held_bytes, bytes_per_s)


def test_many_slow_readers_of_small_answers_are_kept() -> None:
    """400 readers of 16 KB stalled at once fit an eighth of 88 MB."""
    budget = slow_readers.ReaderBudget(max_bytes=(88 << 20) // 8)
    readers = [_reader(str(i), _ANSWER_BYTES, 0.0) for i in range(400)]
    assert budget.to_disconnect(readers) == []


def test_the_slowest_reader_is_disconnected_first() -> None:
    """A large answer that drains in time stays, a stalled one goes."""
    budget = slow_readers.ReaderBudget(max_bytes=1000)
    fast = _reader("fast", 900, 900.0)
    slow = _reader("slow", 300, 10.0)
    stalled = _reader("stalled", 100, 0.0)
    found = budget.to_disconnect([fast, slow, stalled])
    assert [item.key for item in found] == ["stalled", "slow"]


def test_fast_readers_are_never_disconnected() -> None:
    """Beyond the budget their answers wait at the endpoints."""
    budget = slow_readers.ReaderBudget(max_bytes=1000)
    readers = [_reader(str(i), 900, 900.0) for i in range(5)]
    assert budget.to_disconnect(readers) == []
    assert not budget.has_room(0, 4500)


def test_one_reader_gets_a_share_of_the_budget() -> None:
    """One client that stalls cannot use what others need."""
    budget = slow_readers.ReaderBudget(max_bytes=1000)
    assert budget.has_room(99, 500)
    assert not budget.has_room(100, 500)


def _sampled(
    rate: slow_readers.ReadRate, samples: list[tuple[int, int]], start: float
) -> slow_readers.Reader:
    """Sample (read, held) bytes each 0.25 s; return the last reader."""
    held_bytes, held_s = 0, 0.0
    for tick, (read_bytes, held_bytes) in enumerate(samples):
        held_s = rate.sample(read_bytes, held_bytes, start + 0.25 * tick)
    return slow_readers.Reader("a", held_bytes, rate.bytes_per_s, held_s)


def test_a_client_that_just_got_a_large_answer_stays() -> None:
    """At the first samples nothing is known of how fast it reads."""
    budget = slow_readers.ReaderBudget(max_bytes=1000)
    rate = slow_readers.ReadRate()
    assert not budget.to_disconnect([_sampled(rate, [(0, 2000)], 0.0)])
    # It reads all, waits for long, and gets the next answer.
    _sampled(rate, [(2000, 0)] * 40, 0.25)
    found = _sampled(rate, [(2000, 2000), (2500, 1500)], 10.25)
    assert not budget.to_disconnect([found])
    assert found.bytes_per_s == 2000.0


def test_a_client_that_pauses_between_reads_stays() -> None:
    """It reads 4,000 bytes once a second, with up to 6,000 bytes held."""
    budget = slow_readers.ReaderBudget(max_bytes=1000)
    rate = slow_readers.ReadRate()
    samples = [(4000 * (tick // 4), 6000) for tick in range(17, 40)]
    for count in range(1, len(samples)):
        found = _sampled(slow_readers.ReadRate(), samples[:count], 0.0)
        assert not budget.to_disconnect([found])
    stalled = _sampled(rate, [(4000, 6000)] * 9, 0.0)
    assert budget.to_disconnect([stalled]) == [stalled]


@given(
    st.lists(
        st.tuples(st.integers(0, 1 << 20), st.floats(0, 1e6, allow_nan=False)),
        max_size=40,
    ),
    st.integers(1, 1 << 21),
)
def test_what_stays_fits_or_is_read_in_time(
    found: list[tuple[int, float]], max_bytes: int
) -> None:
    """No more readers are disconnected than the budget asks for."""
    readers = [
        _reader(str(index), held, rate)
        for index, (held, rate) in enumerate(found)
    ]
    budget = slow_readers.ReaderBudget(max_bytes=max_bytes)
    gone = budget.to_disconnect(readers)
    keys = {item.key for item in gone}
    rest = [item for item in readers if item.key not in keys]
    held = sum(item.held_bytes for item in rest)
    assert held <= max_bytes or not budget.to_disconnect(rest)
    if gone:
        assert held + gone[-1].held_bytes > max_bytes


def test_a_stalled_reader_loses_its_connection_and_others_do_not() -> None:
    """The server disconnects the client that does not read, logged once."""
    ended: list[tuple[bytes, int]] = []

    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        size = _LARGE_ANSWER_BYTES if req.path == b"/large" else 4
        responder.send(200, [], b"x" * size)

    async def main() -> None:
        served = server.Server(
            handler=answer,
            failed=lambda req, exc: None,
            reader_budget=slow_readers.ReaderBudget(max_bytes=1 << 20),
            disconnected=lambda req, reader: ended.append(
                (req.path, reader.held_bytes)
            ),
        )
        async with served.serving("127.0.0.1", 0) as port:
            stalled = await asyncio.open_connection("127.0.0.1", port)
            stalled[1].write(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while not ended:
                writer.write(b"GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
                assert b"200" in await reader.readline()
                assert (await reader.readuntil(b"xxxx")).endswith(b"xxxx")
            writer.close()
            stalled[1].close()
            while served.connections:
                await asyncio.sleep(0)
            assert served.held_bytes == 0
        assert [path for path, _ in ended] == [b"/large"]
        assert ended[0][1] > 1 << 20

    asyncio.run(asyncio.wait_for(main(), 30.0))


def test_a_stream_is_taken_while_the_budget_has_room() -> None:
    """A stalled client's stream is taken from the endpoint to its end."""
    chunk = b"x" * 4096
    count = 200

    async def main() -> None:
        done = asyncio.Event()

        async def answer(
            req: message.Request, responder: server.Responder
        ) -> None:
            responder.start(200, [])
            for _ in range(count):
                await responder.send_chunk(chunk)
            responder.finish()
            done.set()

        served = server.Server(
            handler=answer,
            failed=lambda req, exc: None,
            reader_budget=slow_readers.ReaderBudget(max_bytes=64 << 20),
        )
        async with served.serving("127.0.0.1", 0) as port:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=4096
            )
            sock = writer.get_extra_info("socket")
            assert sock is not None
            writer.transport.pause_reading()
            writer.write(b"GET /s HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.wait_for(done.wait(), 10.0)
            writer.transport.resume_reading()
            body = 0
            while body < count * len(chunk):
                body += len(await reader.read(1 << 16))
            writer.close()

    asyncio.run(asyncio.wait_for(main(), 30.0))


def test_a_stream_goes_on_when_the_budget_frees_up() -> None:
    """Its client stalls, and fits the budget once another has ended."""

    async def main() -> None:
        done = asyncio.Event()

        async def answer(
            req: message.Request, responder: server.Responder
        ) -> None:
            responder.start(200, [])
            for _ in range(8):
                await responder.send_chunk(b"x" * (1 << 20))
            responder.finish()
            done.set()

        served = server.Server(
            handler=answer,
            failed=lambda req, exc: None,
            reader_budget=slow_readers.ReaderBudget(max_bytes=100 << 20),
        )
        async with served.serving("127.0.0.1", 0) as port:
            # Held for others, as far as the budget knows.
            served.held_bytes += 100 << 20
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.transport.pause_reading()
            writer.write(b"GET /s HTTP/1.1\r\nHost: h\r\n\r\n")
            while not any(
                conn.held_bytes > 64 << 10 for conn in served.connections
            ):
                await asyncio.sleep(0)
            assert not done.is_set()
            served.held_bytes -= 100 << 20
            await asyncio.wait_for(done.wait(), 10.0)
            writer.close()

    asyncio.run(asyncio.wait_for(main(), 30.0))


def test_a_client_that_goes_away_leaves_nothing_counted() -> None:
    """It resets its connection while an answer is held for it."""

    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        responder.send(200, [], b"x" * _LARGE_ANSWER_BYTES)

    async def main() -> None:
        served = server.Server(
            handler=answer,
            failed=lambda req, exc: None,
            reader_budget=slow_readers.ReaderBudget(max_bytes=64 << 20),
        )
        async with served.serving("127.0.0.1", 0) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.transport.pause_reading()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            while not served.held_bytes:
                await asyncio.sleep(0)
            writer.transport.abort()
            while served.connections:
                await asyncio.sleep(0)
            assert served.held_bytes == 0

    asyncio.run(asyncio.wait_for(main(), 30.0))
