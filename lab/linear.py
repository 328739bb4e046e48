"""Checks histories of settings and of claims.

Accepted writes are numbered by their revisions.  A history is linearizable
if these numbers agree with real time, so no search is needed.
"""

from typing import NamedTuple


class WriteRecord(NamedTuple):
    """A write: the times of its request and reply, and its revision.

    `end` and `revision` are None if the result is unknown.
    """

    path: str
    value: float
    based_on: int
    start: float
    end: float | None
    revision: int | None


class ReadRecord(NamedTuple):
    """A confirmed read of a node: its revision (0: none) and value."""

    path: str
    start: float
    end: float
    revision: int
    value: float | None


class ClaimRecord(NamedTuple):
    """A change of a claim (granted, sealed or answered) in real time."""

    key: str
    holder: str
    what: str
    start: float
    end: float


def check_writes(
    writes: list[WriteRecord], reads: list[ReadRecord]
) -> list[str]:
    """Return the violations in a history of settings."""
    known = [item for item in writes if item.revision is not None]
    faults = []
    revisions = [item.revision for item in known]
    if len(set(revisions)) != len(revisions):
        faults.append("two writes have one revision")
    faults += _check_order(known)
    faults += _check_chain(known)
    for read in reads:
        faults += _check_read(read, writes)
    return faults


def _check_order(known: list[WriteRecord]) -> list[str]:
    faults = []
    for one in known:
        for two in known:
            assert one.revision is not None and two.revision is not None
            if one.end is not None and one.end < two.start:
                if one.revision > two.revision:
                    faults.append(
                        f"{one.revision} was accepted before "
                        f"{two.revision} was requested"
                    )
    return faults


def _check_chain(known: list[WriteRecord]) -> list[str]:
    """Report writes of one node that succeeded on the same revision."""
    seen: dict[tuple[str, int], int] = {}
    faults = []
    for item in known:
        key = (item.path, item.based_on)
        if key in seen:
            faults.append(f"two writes won on {key}")
        seen[key] = item.revision or 0
    return faults


def _check_read(read: ReadRecord, writes: list[WriteRecord]) -> list[str]:
    mine = [item for item in writes if item.path == read.path]
    before = [
        item.revision or 0
        for item in mine
        if item.end is not None
        and item.revision is not None
        and item.end < read.start
    ]
    if before and read.revision < max(before):
        return [f"a read saw {read.revision} after {max(before)}"]
    if read.revision == 0:
        return []
    source = [item for item in mine if item.revision == read.revision]
    if source:
        item = source[0]
        if item.value != read.value:
            return [f"a read saw {read.value} at {read.revision}"]
        if item.start > read.end:
            return [f"a read saw {read.revision} before it was requested"]
        return []
    unknown = [
        item
        for item in mine
        if item.revision is None and item.value == read.value
    ]
    if not unknown:
        return [f"a read saw {read.value}, which was never written"]
    return []


def check_claims(events: list[ClaimRecord]) -> list[str]:
    """Return the violations in a history of claims."""
    faults = []
    by_key: dict[str, list[ClaimRecord]] = {}
    for item in events:
        by_key.setdefault(item.key, []).append(item)
    for key, items in by_key.items():
        answered = [item for item in items if item.what == "answered"]
        if len(answered) > 1:
            faults.append(f"{key} was answered {len(answered)} times")
        granted = [item for item in items if item.what == "granted"]
        for one in granted:
            for two in granted:
                if one.holder == two.holder or one.end > two.start:
                    continue
                freed = any(
                    item.what == "sealed"
                    and item.holder == one.holder
                    and item.start < two.end
                    for item in items
                )
                if not freed:
                    faults.append(
                        f"{key} granted to {two.holder} while "
                        f"{one.holder} held it"
                    )
    return faults
