"""Complete answers of claimed attempts, kept for a resend.

A caller that did not receive its answer resends the same key and gets
the kept answer; the endpoint runs nothing.
"""

from collections import OrderedDict
from typing import NamedTuple

from rackpost.agent import attempts
from rackpost.decide import slots
from rackpost.link import messages

_MAX_TOTAL_BYTES = 4 << 20
_MAX_ANSWER_BYTES = 256 << 10


class _CachedAnswer(NamedTuple):
    """An answer, its size and when it ended."""

    answer: messages.StoredAnswer
    size: int
    at: float


class AnswerCollector:
    """Collects the chunks of one answer while it is sent."""

    def __init__(self) -> None:
        self._pieces: list[str] = []
        self._head: messages.Head | None = None
        self._body: list[bytes] = []
        self._size = 0

    def add_text(self, text: str) -> None:
        """Add a chunk of a model's answer."""
        self._size += len(text)
        if self._size <= _MAX_ANSWER_BYTES:
            self._pieces.append(text)

    def set_head(self, head: messages.Head) -> None:
        """Set the head of a plain answer."""
        self._head = head

    def add_body(self, data: bytes) -> None:
        """Add a chunk of a plain answer's body."""
        self._size += len(data)
        if self._size <= _MAX_ANSWER_BYTES:
            self._body.append(data)

    def answer(self, key: slots.AttemptKey) -> messages.StoredAnswer | None:
        """Return the answer; None if it is too large to keep."""
        if self._size > _MAX_ANSWER_BYTES:
            return None
        return messages.StoredAnswer(
            req=key.req,
            attempt=key.attempt,
            found=True,
            pieces=tuple(self._pieces),
            status=self._head.status if self._head else 0,
            headers=self._head.headers if self._head else (),
            body=b"".join(self._body),
        )


class AnswerCache:
    """The latest complete answers, bounded in bytes and in age."""

    def __init__(self) -> None:
        self._answers: OrderedDict[slots.AttemptKey, _CachedAnswer] = (
            OrderedDict()
        )
        self._size = 0

    def add(
        self, key: slots.AttemptKey, collected: AnswerCollector, now: float
    ) -> None:
        """Keep an answer, evicting the oldest ones if necessary."""
        answer = collected.answer(key)
        if answer is None:
            return
        size = len(answer.body) + sum(len(text) for text in answer.pieces)
        self._answers[key] = _CachedAnswer(answer, size, now)
        self._size += size
        while self._answers and self._must_evict(now):
            _, old = self._answers.popitem(last=False)
            self._size -= old.size

    def _must_evict(self, now: float) -> bool:
        oldest = next(iter(self._answers.values()))
        return (
            self._size > _MAX_TOTAL_BYTES
            or oldest.at < now - attempts.RETENTION_S
        )

    def get(self, key: slots.AttemptKey) -> messages.StoredAnswer:
        """Return the answer, or a message that it is not kept."""
        cached = self._answers.get(key)
        if cached is not None:
            return cached.answer
        return messages.StoredAnswer(
            req=key.req, attempt=key.attempt, found=False
        )
