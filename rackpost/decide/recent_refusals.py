"""Which requests were refused lately and may come back.  Pure.

A request that comes back carries a new id, and may come to another
gateway; it is known again by its prompt.
"""

import zlib

# Whoever comes back does so within a third of its time; this is more than
# that for the longest time that a client has (14 s), in seconds.
_KEEP_S = 6.0
# Told to other gateways with each change, so that it must stay small: for
# as long as it takes that one of several datagrams arrives, in seconds.
_TELL_S = 1.0
_MOST = 64


class RefusalTable:
    """Prompts that were refused, here and at other gateways."""

    def __init__(self) -> None:
        self._own: dict[int, float] = {}
        self._told: dict[int, float] = {}

    @staticmethod
    def key(route: str, part: bytes, body: bytes) -> int:
        """What a request is known by: route, a name of its own, body."""
        start = zlib.crc32(route.encode())
        return zlib.crc32(body, zlib.crc32(part, start))

    def add(self, key: int, now: float) -> None:
        """A request was refused here."""
        self._own.pop(key, None)
        self._own[key] = now
        _trim(self._own, now)

    def receive(self, keys: tuple[int, ...], now: float) -> None:
        """Another gateway has refused these lately.

        It tells each of them many times; the first time counts.
        """
        _trim(self._told, now)
        for key in keys:
            self._told.setdefault(key, now)

    def was_refused(self, key: int, now: float) -> bool:
        """Whether a request was refused before."""
        at = max(self._own.get(key, -_KEEP_S), self._told.get(key, -_KEEP_S))
        return now - at < _KEEP_S

    def recent(self, now: float) -> tuple[int, ...]:
        """What other gateways may not have been told yet."""
        _trim(self._own, now)
        fresh = [key for key, at in self._own.items() if now - at < _TELL_S]
        return tuple(fresh[-_MOST:])


def _trim(book: dict[int, float], now: float) -> None:
    for key, at in list(book.items()):
        if now - at < _KEEP_S:
            return
        del book[key]
