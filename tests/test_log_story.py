"""Merging of a request's log lines from VMs whose clocks differ."""

import json
import pathlib

import pytest

from rackpost import cmd_operator
from rackpost import log_story
from tests import platform_site


def line(vm: str, at: float, text: str, request: str = "r1") -> str:
    record = {
        "text": text,
        "timestamp": at,
        "program": "gateway",
        "vm": vm,
        "request": request,
        "status": 503,
    }
    return json.dumps(record)


def test_lines_of_one_process_keep_their_order_when_its_clock_jumps() -> None:
    lines = [
        line("a", 10.0, "one"),
        line("b", 10.5, "two"),
        line("a", 9.0, "three"),
        line("a", 11.0, "other", request="r2"),
        "not a record, but of r1",
        "12.3 prefix " + line("b", 10.6, "four"),
    ]
    merged = log_story.merge(log_story.steps(lines, "r1"))
    texts = [step.text for step in merged]
    assert sorted(texts) == ["four", "one", "three", "two"]
    assert texts.index("one") < texts.index("three")
    assert texts.index("two") < texts.index("four")
    assert merged[0].facts == {"status": 503}


def test_the_command_merges_several_files(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    names = []
    for vm, at in (("a", 1.0), ("b", 2.5)):
        path = tmp_path / vm
        path.write_text(line(vm, at, f"of {vm}") + "\n")
        names.append(str(path))
    cmd_operator.main(["story", "r1", *names])
    out = capsys.readouterr().out.splitlines()
    assert "of a" in out[0] and "of b" in out[1] and "1.5000 s" in out[1]
    cmd_operator.main(["story", "r1", "--json", *names])
    out = capsys.readouterr().out.splitlines()
    assert json.loads(out[1])["vm"] == "b"
    cmd_operator.main(["story", "unknown", *names])
    assert "no line" in capsys.readouterr().out


def test_check_config_reports_an_invalid_routing_document(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "doc.json"
    path.write_text(json.dumps(platform_site.document(4)))
    cmd_operator.main(["check-config", str(path)])
    assert "version 4: 4 routes" in capsys.readouterr().out
    bad = platform_site.document(5, services=[])
    path.write_text(json.dumps(bad))
    with pytest.raises(SystemExit) as caught:
        cmd_operator.main(["check-config", str(path)])
    assert caught.value.code == 2
    assert "no service" in capsys.readouterr().err
