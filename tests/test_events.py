"""Splitting of streams into events, whatever ends their lines."""

import asyncio
import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from rackpost.http1 import events
from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site
from tests import test_gateway

_ENDS = (b"\n", b"\r\n", b"\r")


def _split(text: bytes, sizes: list[int]) -> list[events.Event]:
    """Return the events of a whole stream that comes in such pieces."""
    splitter = events.Splitter()
    found = []
    at = 0
    while at < len(text):
        size = sizes[len(found) % len(sizes)]
        found += splitter.feed(text[at : at + size])
        at += size
    assert splitter.is_between_events
    assert b"".join(event.data for event in found) + splitter.rest == text
    return found


@hypothesis.given(
    strategies.lists(strategies.sampled_from(_ENDS), min_size=3, max_size=3),
    strategies.lists(strategies.integers(1, 9), min_size=1, max_size=6),
)
def test_events_are_split_whatever_ends_their_lines(
    ends: list[bytes], sizes: list[int]
) -> None:
    """Streams with CR LF reached clients without a single event."""
    first, second, empty = ends
    if second == b"\r" and empty == b"\n":
        # Together they end one line.
        empty = b"\r"
    text = b"".join(
        b"id: %d%bdata: x%d%b%b" % (number, first, number, second, empty)
        for number in range(1, 5)
    )
    assert [event.id for event in _split(text, sizes)] == [1, 2, 3, 4]


@pytest.mark.parametrize("end", _ENDS)
def test_a_line_end_is_no_end_of_an_event(end: bytes) -> None:
    splitter = events.Splitter()
    assert splitter.feed(b"id: 1" + end) == []
    assert splitter.feed(b"data: x") == []
    assert not splitter.is_between_events
    assert len(splitter.feed(end + end)) == 1
    assert splitter.is_between_events


@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("path", ["/gen/x", "/res/x"])
def test_clients_get_streams_with_such_line_ends_whole(
    path: str, end: bytes, tmp_path: pathlib.Path
) -> None:
    """The answer ended incomplete, and the endpoint's work was lost."""

    async def stream(
        req: message.Request, responder: server.Responder
    ) -> None:
        lines = platform_site.vouching_headers(req)
        lines.append((b"content-type", b"text/event-stream"))
        responder.start(200, lines)
        for number in range(1, 4):
            text = b"id: %d%bdata: x%b%b" % (number, end, end, end)
            # Each byte in a segment of its own.
            for at in range(len(text)):
                await responder.send_chunk(text[at : at + 1])
        responder.finish()

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for one in site.decode:
                one.answer = stream
            got = await site.raw(test_gateway.generation(path))
            assert test_gateway.status(got) == 200
            assert got.endswith(b"0\r\n\r\n")
            assert got.count(b"data: x") == 3
            assert sum(len(one.requests) for one in site.decode) == 1

    asyncio.run(main())
