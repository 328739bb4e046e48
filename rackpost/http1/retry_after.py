"""The value of a Retry-After header: seconds, or a date."""

from email import utils
import math


def seconds(told: bytes | None, date: bytes | None) -> float | None:
    """How long to wait, in seconds, fractions included.

    None where nothing is asked for that can be read.  A date is read by the
    answer's own `date`: our clocks may be wrong.
    """
    if told is None:
        return None
    try:
        found = float(told)
    except ValueError:
        found = _until_s(told, date or b"")
    return found if 0.0 < found < math.inf else None


def _until_s(told: bytes, date: bytes) -> float:
    """Seconds from one date to another; 0 where one of them is none."""
    try:
        at = utils.parsedate_to_datetime(told.decode("latin-1"))
        now = utils.parsedate_to_datetime(date.decode("latin-1"))
        return (at - now).total_seconds()
    except (ValueError, TypeError):
        # Not a date, or one with a zone beside one without.
        return 0.0
