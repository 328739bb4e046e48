"""Whole answers of claimed attempts, held for a resend.

A caller whose answer was lost on its last steps sends the same key again
and is given what was answered, without the endpoint running anything.
"""

from collections import OrderedDict
from typing import NamedTuple

from rackpost.agent import attempts
from rackpost.decide import slots
from rackpost.link import messages

# Bytes of answers that an agent holds, and of one of them.
_MAX_BYTES = 4 << 20
_MAX_ONE = 256 << 10


class _Held(NamedTuple):
    """An answer, its size and when it was given."""

    answer: messages.Held
    size: int
    at: float


class Collector:
    """Collects the parts of one answer while it is sent."""

    def __init__(self) -> None:
        self._pieces: list[str] = []
        self._head: messages.Head | None = None
        self._body: list[bytes] = []
        self._size = 0

    def piece(self, text: str) -> None:
        """The next piece of a model's answer."""
        self._size += len(text)
        if self._size <= _MAX_ONE:
            self._pieces.append(text)

    def head(self, head: messages.Head) -> None:
        """The head of a plain answer."""
        self._head = head

    def part(self, data: bytes) -> None:
        """The next part of a plain answer's body."""
        self._size += len(data)
        if self._size <= _MAX_ONE:
            self._body.append(data)

    def whole(self, key: slots.AttemptKey) -> messages.Held | None:
        """The answer; None if it was too large to hold."""
        if self._size > _MAX_ONE:
            return None
        return messages.Held(
            req=key.req,
            attempt=key.attempt,
            found=True,
            pieces=tuple(self._pieces),
            status=self._head.status if self._head else 0,
            headers=self._head.headers if self._head else (),
            body=b"".join(self._body),
        )


class HeldAnswers:
    """The latest answers, bounded in bytes and in age."""

    def __init__(self) -> None:
        self._held: OrderedDict[slots.AttemptKey, _Held] = OrderedDict()
        self._size = 0

    def hold(
        self, key: slots.AttemptKey, collected: Collector, now: float
    ) -> None:
        """Hold a whole answer, dropping the oldest for room."""
        answer = collected.whole(key)
        if answer is None:
            return
        size = len(answer.body) + sum(len(text) for text in answer.pieces)
        self._held[key] = _Held(answer, size, now)
        self._size += size
        while self._held and self._must_drop(now):
            _, old = self._held.popitem(last=False)
            self._size -= old.size

    def _must_drop(self, now: float) -> bool:
        oldest = next(iter(self._held.values()))
        return (
            self._size > _MAX_BYTES or oldest.at < now - attempts.RETENTION_S
        )

    def get(self, key: slots.AttemptKey) -> messages.Held:
        """The answer, or the word that it is not held."""
        found = self._held.get(key)
        if found is not None:
            return found.answer
        return messages.Held(req=key.req, attempt=key.attempt, found=False)
