"""Logs: short sentences, with a fixed prefix for each part."""

import enum
import sys
from typing import TextIO

import eliot


class Part(enum.Enum):
    """The parts that write logs; the value is the prefix."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


def to_stream(stream: TextIO | None = None) -> None:
    """Write logs as lines of JSON, to standard error by default."""
    eliot.to_file(stream or sys.stderr)


def say(part: Part, sentence: str, **fields: str | int | float) -> None:
    """Log a sentence, with its facts as fields."""
    eliot.log_message(
        message_type=f"rackpost:{part.value}",
        text=f"{part.value}: {sentence}",
        **fields,
    )
