"""Parsing of the Retry-After header, a number of seconds or a date."""

from email import utils
import math


def seconds(value: bytes | None, date: bytes | None) -> float | None:
    """Return the time to wait in seconds, or None if absent or invalid.

    A date is compared with the answer's own `date` header, because the local
    clock may be wrong.
    """
    if value is None:
        return None
    try:
        wait_s = float(value)
    except ValueError:
        wait_s = _difference_s(value, date or b"")
    return wait_s if 0.0 < wait_s < math.inf else None


def _difference_s(value: bytes, date: bytes) -> float:
    """Return the seconds from `date` to `value`; 0 if either is invalid."""
    try:
        at = utils.parsedate_to_datetime(value.decode("latin-1"))
        now = utils.parsedate_to_datetime(date.decode("latin-1"))
        return (at - now).total_seconds()
    except (ValueError, TypeError):
        # Not a date, or only one of them has a time zone.
        return 0.0
