"""The programs: imports, help, and errors on invalid settings."""

import pathlib
import subprocess
import sys

import pytest

BIN = pathlib.Path(sys.executable).parent
PROGRAMS = (
    "rackpost",
    "rackpost-agent",
    "rackpost-control",
    "rackpost-demo",
    "rackpost-entry",
)


def run(*args: str, **env: str) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        args, capture_output=True, text=True, env=env, check=False
    )


def test_the_agent_imports_no_http_server() -> None:
    code = (
        "import rackpost.cmd_agent, sys;"
        "print(sorted({'uvicorn', 'starlette', 'aiohttp.web'}"
        " & set(sys.modules)))"
    )
    done = run(sys.executable, "-c", code)
    assert done.stdout.strip() == "[]", done.stderr


@pytest.mark.parametrize("program", PROGRAMS)
def test_every_program_has_help(program: str) -> None:
    done = run(str(BIN / program), "--help")
    assert done.returncode == 0
    assert "Usage:" in done.stdout


@pytest.mark.parametrize(
    "args, env, message",
    [
        (("rackpost-entry",), {}, "--control names no replica"),
        (
            ("rackpost-entry", "--control", "1.2.3.4:x"),
            {},
            "--control: '1.2.3.4:x' is not host:port",
        ),
        (
            ("rackpost-entry",),
            {"RACKPOST_CONTROL": "1.2.3.4:5"},
            "--key-file is missing",
        ),
        (
            ("rackpost-agent", "--control", "1.2.3.4:5", "--role", "x"),
            {},
            "--role must be prefill, decode or plain",
        ),
        (
            ("rackpost-agent", "--control", "1.2.3.4:5", "--service", "s"),
            {"RACKPOST_ENDPOINT": "ftp://x"},
            "--endpoint must be an http URL",
        ),
        (
            ("rackpost-agent", "--control", "1.2.3.4:5"),
            {"RACKPOST_LISTEN": "0.0.0.0:7300"},
            "needs --advertise",
        ),
        (("rackpost-control", "run"), {}, "--data is missing"),
        (
            ("rackpost-control", "init", "--data", "x", "--replica", "c0"),
            {},
            "give either --first or --join",
        ),
        (("rackpost", "status"), {}, "--control names no replica"),
    ],
)
def test_an_invalid_setting_prints_one_line_that_names_it(
    args: tuple[str, ...], env: dict[str, str], message: str
) -> None:
    done = run(str(BIN / args[0]), *args[1:], **env)
    assert done.returncode == 2
    assert message in done.stderr
    assert len(done.stderr.strip().splitlines()) == 1
