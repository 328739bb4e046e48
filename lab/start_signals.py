"""Which moments of a program's start SIGHUP ends.

`python -m lab.start_signals`: each program as deployed, one start for each
moment, in milliseconds after the start.
"""

import pathlib
import signal
import tempfile
import time

from tests import programs

_MOMENTS_MS = (0, 2, 5, 10, 15, 20, 30, *range(50, 800, 50))
# Imports and the event loop's start are over by then.
_SETTLED_S = 1.0


def _survives(role: str, moment_ms: int) -> bool:
    """Whether a program still runs after SIGHUP at a moment of its start."""
    with tempfile.TemporaryDirectory() as folder:
        with programs.program(role, pathlib.Path(folder)) as one:
            one.start()
            time.sleep(moment_ms / 1000)
            one.signal(signal.SIGHUP)
            time.sleep(_SETTLED_S)
            return one.exit_status() is None


def main() -> None:
    """Print the moments at which each program ended."""
    for role in programs.NUMBERS:
        ended = [ms for ms in _MOMENTS_MS if not _survives(role, ms)]
        print(f"{role}: {len(ended)} of {len(_MOMENTS_MS)} ended, at {ended}")


if __name__ == "__main__":
    main()
