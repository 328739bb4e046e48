"""Starts a gateway or a coordinator: `start.py gateway`.

SIGHUP means that the settings file has changed and may come at any moment,
but by default ends the process.  It is ignored before anything else is
imported; the program checks the file for changes once it has read it.  With
`python3 -S` also `site`, whose import may take long, comes later.
"""

# Built in: `signal` takes longer to import.
import _signal
import sys

__all__ = ["coordinator", "gateway"]

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)


def gateway() -> None:
    """Run a gateway."""
    from rackpost import cmd_gateway

    cmd_gateway.main()


def coordinator() -> None:
    """Run a coordinator."""
    from rackpost import cmd_coordinator

    cmd_coordinator.main()


def _find_libraries() -> None:
    """Import `site` where libraries are in its folders, as in a venv."""
    import importlib.util

    if importlib.util.find_spec("msgspec") is None:
        import site

        site.main()


_PROGRAMS = {"gateway": gateway, "coordinator": coordinator}


def _main() -> None:
    import os

    # The folder of the package in place of that of this file, whose modules
    # have names of the standard library.
    sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    _find_libraries()
    program = _PROGRAMS.get(" ".join(sys.argv[1:]))
    if program is None:
        print(f"usage: start.py {'|'.join(_PROGRAMS)}", file=sys.stderr)
        sys.exit(2)
    program()


if __name__ == "__main__":
    _main()
