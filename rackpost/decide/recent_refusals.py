"""Recognise requests that were refused lately and are retried.

A retry has a new request id and may arrive at another gateway.  It is
recognised by its content.
"""

import zlib

# Clients retry within a third of their remaining time, which is 14 s at most.
_KEEP_S = 6.0
# Each refusal is repeated in the reports of this period, so that one of them
# arrives.
_REPORT_S = 1.0
# Bounds the size of a report.
_MAX_REPORTED = 64


class RefusalTable:
    """Keys of requests refused here and at other gateways."""

    def __init__(self) -> None:
        self._own: dict[int, float] = {}
        self._reported: dict[int, float] = {}

    @staticmethod
    def key(route: str, content_id: bytes, body: bytes) -> int:
        """Return a checksum of a request's route, content id and body.

        The content id is the request target, or for a generation the id of
        the last part of its prompt.
        """
        start = zlib.crc32(route.encode())
        return zlib.crc32(body, zlib.crc32(content_id, start))

    def add(self, key: int, now: float) -> None:
        """Record a request that this gateway refused."""
        self._own.pop(key, None)
        self._own[key] = now
        _drop_expired(self._own, now)

    def receive(self, keys: tuple[int, ...], now: float) -> None:
        """Record the recent refusals that another gateway reports.

        A refusal is reported repeatedly; its first report counts.
        """
        _drop_expired(self._reported, now)
        for key in keys:
            self._reported.setdefault(key, now)

    def was_refused(self, key: int, now: float) -> bool:
        """Whether a request was refused lately at any gateway."""
        at = max(
            self._own.get(key, -_KEEP_S), self._reported.get(key, -_KEEP_S)
        )
        return now - at < _KEEP_S

    def recent(self, now: float) -> tuple[int, ...]:
        """Return the refusals to report to other gateways."""
        _drop_expired(self._own, now)
        fresh = [key for key, at in self._own.items() if now - at < _REPORT_S]
        return tuple(fresh[-_MAX_REPORTED:])


def _drop_expired(refused_at: dict[int, float], now: float) -> None:
    for key, at in list(refused_at.items()):
        if now - at < _KEEP_S:
            return
        del refused_at[key]
