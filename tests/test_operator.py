"""The operators' command line, against a control replica over HTTP."""

import asyncio
import json
import pathlib

import pytest

from rackpost import cmd_operator
from rackpost.testing import demo_site


async def _with_site(tmp_path: pathlib.Path, steps: list[list[str]]) -> None:
    tmp_path.mkdir()
    async with demo_site.running(tmp_path) as site:
        await site.start_control(1)
        common = [
            f"--control={site.operator_urls[0]}",
            f"--operator-key-file={site.operator_key_file}",
        ]
        for step in steps:
            await asyncio.to_thread(cmd_operator.main, [*step, *common])


def test_settings_events_and_status_commands(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    nodes = tmp_path / "site.json"
    nodes.write_text(json.dumps({"sor": {"weight": 3}}))
    steps = [
        ["settings", "set", "", "tolk.type=model", "tolk/note.weight=2"],
        ["settings", "set", "nord", "tolk/note.weight=5", "--op=x"],
        ["settings", "set", "nord", "tolk/note.weight=5", "--op=x"],
        ["settings", "show", "nord/amk", "--effective", "--why"],
        ["apply", "-f", str(nodes), "--dry-run"],
        ["apply", "-f", str(nodes)],
        ["apply", "-f", str(nodes)],
        ["settings", "undo", "2"],
        ["settings", "history"],
        [
            "events",
            "declare",
            "morgen",
            "--start=2999-01-01T06:00:00+01:00",
            "--length=900",
            "--services=tolk",
            "--kinds=note",
            "--rate=30",
        ],
        ["events", "list"],
        ["events", "withdraw", "morgen"],
        ["status"],
    ]
    asyncio.run(_with_site(tmp_path / "data", steps))
    out = capsys.readouterr().out
    assert out.count("accepted as revision 2\n") == 2
    assert "nothing to change" in out
    assert "weight: None -> 3" in out
    assert "morgen" in out
    assert "leader c0" in out


@pytest.mark.parametrize(
    "step, message",
    [
        (["settings", "set", "nord", "weigth=2"], "no setting 'weigth'"),
        (["settings", "set", "nord", "weight"], "is not key=value"),
        (
            ["settings", "set", "nord", "weight=2", "--based-on=7"],
            "conflict: an older change",
        ),
        (["events", "withdraw", "none"], "no event 'none'"),
        (["order", "a9", "leave"], "no agent 'a9'"),
    ],
)
def test_an_invalid_command_prints_one_line_and_exits_with_2(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    step: list[str],
    message: str,
) -> None:
    with pytest.raises(SystemExit) as caught:
        asyncio.run(_with_site(tmp_path / "data", [step]))
    assert caught.value.code == 2
    err = capsys.readouterr().err
    assert message in err
    assert len(err.strip().splitlines()) == 1
