"""The deploy file: what it builds, and when it builds again."""

import os
import pathlib
import subprocess
import tomllib

import pytest

from tests import programs

_REQUIREMENTS = "deploy/requirements.txt"
# In place of the interpreter: answers its version, and "installs".
_PYTHON = """#!/bin/sh
[ "$1" = -VV ] && { cat version; exit; }
echo installed >> calls
while [ "$1" != --target ]; do shift; done
mkdir -p $2/some
[ -f fails ] && exit 1
echo content > $2/some/file
"""


class _Checkout:
    """A checkout whose build calls a stand-in for Python."""

    def __init__(self, *, root: pathlib.Path) -> None:
        self.root = root
        for name in ("bin", "deploy"):
            (root / name).mkdir()
        python = root / "bin" / "python3"
        python.write_text(_PYTHON)
        python.chmod(0o755)
        (root / "version").write_text("3.11")
        (root / _REQUIREMENTS).write_text("a==1")

    def build(self) -> int:
        """Run the build; return how often it has installed so far."""
        deploy = (programs.ROOT / "deploy" / "system.toml").read_text()
        path = f"{self.root / 'bin'}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", "-c", tomllib.loads(deploy)["build"]],
            cwd=self.root,
            env={"PATH": path},
            check=False,
        )
        return len((self.root / "calls").read_text().splitlines())


@pytest.fixture
def checkout(tmp_path: pathlib.Path) -> _Checkout:
    return _Checkout(root=tmp_path)


def test_an_installation_that_stands_is_kept(checkout: _Checkout) -> None:
    assert [checkout.build() for _ in range(2)] == [1, 1]


@pytest.mark.parametrize("name", ["version", _REQUIREMENTS])
def test_an_installation_for_something_else_is_replaced(
    checkout: _Checkout, name: str
) -> None:
    """Dependencies of another kind of machine were kept for ever."""
    assert checkout.build() == 1
    (checkout.root / "target/deps/stale").touch()
    (checkout.root / name).write_text("other")
    assert checkout.build() == 2
    assert not (checkout.root / "target/deps/stale").exists()


def test_an_installation_that_failed_is_not_kept(checkout: _Checkout) -> None:
    """The half that was installed was taken for all of it."""
    (checkout.root / "fails").touch()
    assert checkout.build() == 1
    (checkout.root / "fails").unlink()
    assert checkout.build() == 2
    assert (checkout.root / "target/deps/some/file").exists()


def test_an_installation_without_a_mark_is_replaced(
    checkout: _Checkout,
) -> None:
    """As one that was carried over from before the mark was kept."""
    (checkout.root / "target/deps").mkdir(parents=True)
    assert checkout.build() == 1
