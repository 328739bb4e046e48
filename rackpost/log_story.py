"""Merging of the log lines about one request from many processes.

Clocks of VMs differ and may jump: lines of one process keep their order
whatever their timestamps, and only different processes are merged by time.
"""

import heapq
import json
from typing import Iterable
from typing import Iterator

import msgspec

# Fields that are not specific to the request.
_COMMON_FIELDS = frozenset(
    (
        "text",
        "timestamp",
        "task_uuid",
        "task_level",
        "message_type",
        "program",
        "vm",
        "request",
    )
)


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One log line about a request."""

    at: float
    program: str
    vm: str
    text: str
    facts: dict[str, object]


def _record(line: str) -> dict | None:
    # Log collectors may prefix the JSON object.
    start = line.find("{")
    if start < 0:
        return None
    try:
        found = json.loads(line[start:])
    except ValueError:
        return None
    return found if isinstance(found, dict) else None


def steps(lines: Iterable[str], request: str) -> Iterator[Step]:
    """Yield the lines about a request; skips lines that are not records."""
    for line in lines:
        if request not in line:
            continue
        found = _record(line)
        if found is None or found.get("request") != request:
            continue
        yield Step(
            at=float(found.get("timestamp", 0.0)),
            program=str(found.get("program", "")),
            vm=str(found.get("vm", "")),
            text=str(found.get("text", "")),
            facts={
                key: value
                for key, value in found.items()
                if key not in _COMMON_FIELDS
            },
        )


def merge(found: Iterable[Step]) -> list[Step]:
    """Merge steps by time, keeping the order within each process."""
    by_process: dict[tuple[str, str], list[Step]] = {}
    for step in found:
        by_process.setdefault((step.vm, step.program), []).append(step)
    return list(heapq.merge(*by_process.values(), key=lambda step: step.at))


def text(story: list[Step]) -> str:
    """Format steps as human-readable text."""
    if not story:
        return "no line about this request"
    first = story[0].at
    lines = []
    for step in story:
        facts = " ".join(f"{key}={val}" for key, val in step.facts.items())
        lines.append(
            f"{step.at - first:>9.4f} s  {step.vm:<18} {step.text}  {facts}"
        )
    return "\n".join(lines)
