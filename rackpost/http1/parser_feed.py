"""Feeds received bytes to a parser, and bounds what it keeps.

A parser hands a header over once it is whole, and reports nothing for line
ends, chunk extensions and reason phrases.  Without a bound, a peer that sends
one of these without end would be read until it stops.
"""

from typing import Callable

import httptools

__all__ = ["ParserFeed"]

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser

# Bytes parsed at once; bounds what is parsed of a peer that is refused.
_SLICE_BYTES = 16 << 10


class ParserFeed:
    """Counts the bytes since a parser last handed something over."""

    def __init__(self) -> None:
        self._handed_over = False
        self.kept_bytes = 0

    def record_progress(self) -> None:
        """Record that the parser has handed something over."""
        self._handed_over = True

    def feed(
        self,
        parser: Parser,
        data: bytes,
        *,
        max_kept: int,
        is_ended: Callable[[], bool],
    ) -> bool:
        """Parse bytes; return whether the parser keeps `max_kept` at most.

        Stops where `is_ended`: further bytes are of no use.  Raises the
        parser's errors.
        """
        if len(data) <= _SLICE_BYTES:
            return self._feed(parser, data) <= max_kept
        for at in range(0, len(data), _SLICE_BYTES):
            if is_ended():
                break
            if self._feed(parser, data[at : at + _SLICE_BYTES]) > max_kept:
                return False
        return True

    def _feed(self, parser: Parser, data: bytes) -> int:
        """Parse bytes; return how many the parser keeps."""
        self._handed_over = False
        parser.feed_data(data)
        if self._handed_over:
            self.kept_bytes = 0
        else:
            self.kept_bytes += len(data)
        return self.kept_bytes
