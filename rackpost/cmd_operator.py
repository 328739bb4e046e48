"""The program `rackpost`, for operators."""

import datetime
import getpass
import json
import pathlib
import secrets
import sys
from typing import Any
from typing import Callable
import urllib.error
import urllib.parse
import urllib.request

import msgspec

from rackpost.coordinator import overview
from rackpost import exceptions
from rackpost import log_story
from rackpost import operator_client
from rackpost import operator_commands
from rackpost.platform import documents
from rackpost import program
from rackpost.routing import model
from rackpost import site_overview

_TIMEOUT_S = 5.0


def _control(asked: operator_commands.Site) -> operator_client.ControlClient:
    return operator_client.ControlClient(
        addresses=asked.control, key_file=asked.operator_key_file
    )


def _value(text: str) -> str | int | float:
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


def _head(who: operator_client.ControlClient, path: str) -> int:
    return int(who.get("/v1/settings", path=path)["revision"])


def show(asked: operator_commands.Show) -> str:
    """A node as text."""
    found = _control(asked).get(
        "/v1/settings",
        path=asked.path,
        service=asked.service,
        kind=asked.kind,
    )
    if asked.json:
        return json.dumps(found, indent=1)
    lines = [f"{asked.path or 'the root'} (revision {found['revision']})"]
    if not asked.effective:
        for key, value in sorted(found["values"].items()):
            lines.append(f"  {key} = {value}")
        return "\n".join(lines)
    for item in found["effective"]:
        line = f"  {item['name']:<16} {item['value']} {item['unit']}"
        if asked.why:
            line += f"  [{_source(item)}]"
        lines.append(line)
    return "\n".join(lines)


def _source(item: dict[str, Any]) -> str:
    if item["event"]:
        return f"event {item['event']}, {item['key']}"
    if item["node"] is None:
        return "default"
    return f"{item['node'] or 'the root'}, {item['key']}"


def change(asked: operator_commands.Set) -> str:
    """Change a node; the result as text."""
    who = _control(asked)
    values: dict[str, Any] = {}
    unset = []
    for item in asked.assign:
        key, equals, text = item.partition("=")
        if not equals:
            raise exceptions.SettingsError(f"{item!r} is not key=value")
        if text:
            values[key] = _value(text)
        else:
            unset.append(key)
    base = asked.based_on
    if base < 0:
        base = _head(who, asked.path)
    body = {
        "op": asked.op or secrets.token_hex(8),
        "who": getpass.getuser(),
        "path": asked.path,
        "based_on": base,
        "values": values,
        "unset": unset,
        "dry_run": asked.dry_run,
    }
    return _written(who.post("/v1/settings", body), asked)


def _written(result: dict[str, Any], asked: operator_commands.Site) -> str:
    if asked.json:
        return json.dumps(result)
    if "changes" in result:
        lines = [
            f"  {key}: {old!r} -> {new!r}"
            for key, (old, new) in sorted(result["changes"].items())
        ]
        return "\n".join(lines) or "  nothing would change"
    return f"accepted as revision {result['revision']}"


def history(asked: operator_commands.History) -> str:
    """The latest changes as text."""
    found = _control(asked).get("/v1/history")
    if asked.json:
        return json.dumps(found, indent=1)
    lines = []
    for item in found:
        what = item.get("path")
        if what is None:
            what = item.get("event_name") or item.get("member_name")
        when = datetime.datetime.fromtimestamp(
            item["at"], tz=datetime.timezone.utc
        )
        lines.append(
            f"{item['revision']:>6}  {when:%Y-%m-%d %H:%M:%S}Z  "
            f"{item['who'] or '-':<12} {what or 'the root'}"
        )
    return "\n".join(lines)


def undo(asked: operator_commands.Undo) -> str:
    """Put a node back to what it was before a change."""
    who = _control(asked)
    found = [
        item
        for item in who.get("/v1/history")
        if item["revision"] == asked.revision and item.get("node")
    ]
    if not found:
        raise exceptions.SettingsError(
            f"no change of a node has revision {asked.revision}"
        )
    item = found[0]
    before = (item.get("before") or {"values": {}})["values"]
    after = item["node"]["values"]
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "path": item["path"],
        "based_on": asked.revision,
        "values": before,
        "unset": [key for key in after if key not in before],
    }
    return _written(who.post("/v1/settings", body), asked)


def apply_file(asked: operator_commands.Apply) -> str:
    """Apply a file; one change for each node that differs."""
    who = _control(asked)
    try:
        nodes = json.loads(pathlib.Path(asked.file).read_text())
    except (OSError, ValueError) as exc:
        raise exceptions.SettingsError(f"{asked.file}: {exc}") from exc
    lines = []
    for path, values in nodes.items():
        now = who.get("/v1/settings", path=path)
        if now["values"] == values:
            continue
        body = {
            "op": secrets.token_hex(8),
            "who": getpass.getuser(),
            "path": path,
            "based_on": now["revision"],
            "values": values,
            "unset": [key for key in now["values"] if key not in values],
            "dry_run": asked.dry_run,
        }
        lines.append(path or "the root")
        lines.append(_written(who.post("/v1/settings", body), asked))
    return "\n".join(lines) or "nothing to change"


def list_events(asked: operator_commands.ListEvents) -> str:
    """Declared events as a table."""
    found = _control(asked).get("/v1/events")
    if asked.json:
        return json.dumps(found, indent=1)
    lines = [f"{'event':<20} {'start':<21} {'s':>6} {'rate':>7}  kinds"]
    for item in found:
        event = item["event"]
        when = datetime.datetime.fromtimestamp(
            event["start"], tz=datetime.timezone.utc
        )
        lines.append(
            f"{event['name']:<20} {when:%Y-%m-%d %H:%M:%S}Z "
            f"{event['length_s']:>6.0f} {event['rate']:>7.1f}  "
            f"{','.join(event['kinds'])}"
        )
    return "\n".join(lines)


def _event_revision(who: operator_client.ControlClient, name: str) -> int:
    for item in who.get("/v1/events"):
        if item["event"]["name"] == name:
            return int(item["revision"])
    return 0


def declare(asked: operator_commands.Declare) -> str:
    """Declare an event."""
    who = _control(asked)
    try:
        start = datetime.datetime.fromisoformat(asked.start)
        values = json.loads(asked.values)
    except ValueError as exc:
        raise exceptions.SettingsError(f"--start or --values: {exc}") from exc
    if start.tzinfo is None:
        raise exceptions.SettingsError("--start needs a time zone")
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "based_on": _event_revision(who, asked.name),
        "event": {
            "name": asked.name,
            "path": asked.path,
            "start": start.timestamp(),
            "length_s": asked.length,
            "services": asked.services.split(","),
            "kinds": asked.kinds.split(","),
            "rate": asked.rate,
            "values": values,
        },
    }
    return _written(who.post("/v1/events", body), asked)


def withdraw(asked: operator_commands.Withdraw) -> str:
    """Withdraw an event."""
    who = _control(asked)
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "based_on": _event_revision(who, asked.name),
        "name": asked.name,
    }
    return _written(who.post("/v1/events/withdraw", body), asked)


def status(asked: operator_commands.Status) -> str:
    """Replicas and processes as a table."""
    found = _control(asked).get("/v1/status")
    if asked.json:
        return json.dumps(found, indent=1)
    lines = [
        f"revision {found['revision']}, term {found['term']}, "
        f"leader {found['leader']}, voters {','.join(found['voters'])}, "
        f"{found['claims']} claims",
        f"{'process':<20} {'role':<8} {'data centre':<12} "
        f"{'runs on':>8} {'silent s':>9}",
    ]
    for item in found["members"]:
        member = item["member"]
        role = member["role"] if member["service"] else "entry"
        runs_on = item["revision"]
        lines.append(
            f"{member['name']:<20} {role:<8} {member['data_centre']:<12} "
            f"{'?' if runs_on is None else runs_on:>8} "
            f"{'?' if item['silent_s'] is None else item['silent_s']:>9}"
        )
    return "\n".join(lines)


def order(asked: operator_commands.Order) -> str:
    """Give an order."""
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "agent": asked.agent,
        "what": asked.what,
    }
    return _written(_control(asked).post("/v1/orders", body), asked)


def replicas(asked: operator_commands.Replicas) -> str:
    """Change the replicas."""
    body = {
        "voters": [item for item in asked.voters.split(",") if item],
        "learners": [item for item in asked.learners.split(",") if item],
    }
    return json.dumps(_control(asked).post("/v1/replicas", body))


def explain(asked: operator_commands.Explain) -> str:
    """The steps of a request as text."""
    try:
        key = pathlib.Path(asked.caller_key_file).read_text().strip()
    except OSError as exc:
        raise exceptions.ConfigError(
            f"--caller-key-file: {exc.strerror}"
        ) from exc
    base = asked.entry if "//" in asked.entry else f"http://{asked.entry}"
    req = urllib.request.Request(
        f"{base}/v1/requests/{urllib.parse.quote(asked.request_id)}",
        headers={"Authorization": f"Bearer {key}"},
    )
    try:
        with urllib.request.urlopen(req, timeout=_TIMEOUT_S) as resp:
            found = json.load(resp)
    except urllib.error.HTTPError as exc:
        text = exc.read().decode(errors="replace")
        raise exceptions.SettingsError(operator_client.explain(text)) from exc
    except OSError as exc:
        raise exceptions.ControlError(f"{base}: {exc}") from exc
    lines = [f"{found['req']}: {found['service']}, {found['kind']}"]
    for step in found["steps"]:
        lines.append(
            f"  {step['at_s']:>9.4f} s  {step['what']:<10} "
            f"{step['agent']:<16} {step['detail']}"
        )
    return "\n".join(lines)


def story(asked: operator_commands.Story) -> str:
    """A request's log lines, from all files, in order."""
    found: list[log_story.Step] = []
    for name in asked.files or ["-"]:
        try:
            file = sys.stdin if name == "-" else open(name, encoding="utf-8")
        except OSError as exc:
            raise exceptions.ConfigError(f"{name}: {exc.strerror}") from exc
        with file:
            found += log_story.steps(file, asked.request_id)
    merged = log_story.merge(found)
    if asked.json:
        return "\n".join(
            json.dumps(msgspec.to_builtins(step)) for step in merged
        )
    return log_story.text(merged)


def check_config(asked: operator_commands.CheckConfig) -> str:
    """What is wrong with a routing document, or what it holds."""
    try:
        text = pathlib.Path(asked.file).read_bytes()
    except OSError as exc:
        raise exceptions.ConfigError(f"{asked.file}: {exc.strerror}") from exc
    doc = documents.decode(text)
    return (
        f"version {doc.version}: {len(doc.routes)} routes, "
        f"{len(doc.services)} services, {_callers(doc)}, valid"
    )


def _callers(doc: model.Document) -> str:
    if not doc.keys_required:
        return "no keys"
    keys = sum(len(item.keys) for item in doc.organisations)
    return f"{len(doc.organisations)} organisations with {keys} keys"


def _shown(
    asked: operator_commands.Coordinators,
    show: Callable[[overview.Overview], str],
) -> str:
    found = site_overview.fetch(asked.coordinators)
    return site_overview.to_json(found) if asked.json else show(found)


def site_status(asked: operator_commands.SiteStatus) -> str:
    """Leader, replicas, gateways and version."""
    return _shown(asked, site_overview.status)


def site_routes(asked: operator_commands.SiteRoutes) -> str:
    """The routes in force."""
    return _shown(asked, site_overview.routes)


def site_endpoints(asked: operator_commands.SiteEndpoints) -> str:
    """The endpoints and their states."""
    return _shown(asked, site_overview.endpoints)


def site_quotas(asked: operator_commands.SiteQuotas) -> str:
    """Organisations' quotas and their use."""
    return _shown(asked, site_overview.quotas)


def site_held(asked: operator_commands.SiteHeld) -> str:
    """Requests that are held back."""
    return _shown(asked, site_overview.quarantined)


_ACTIONS: dict[type, Callable[[Any], str]] = {
    operator_commands.Show: show,
    operator_commands.Set: change,
    operator_commands.History: history,
    operator_commands.Undo: undo,
    operator_commands.Apply: apply_file,
    operator_commands.ListEvents: list_events,
    operator_commands.Declare: declare,
    operator_commands.Withdraw: withdraw,
    operator_commands.Status: status,
    operator_commands.Order: order,
    operator_commands.Replicas: replicas,
    operator_commands.Explain: explain,
    operator_commands.Story: story,
    operator_commands.CheckConfig: check_config,
    operator_commands.SiteStatus: site_status,
    operator_commands.SiteQuotas: site_quotas,
    operator_commands.SiteHeld: site_held,
    operator_commands.SiteRoutes: site_routes,
    operator_commands.SiteEndpoints: site_endpoints,
}


def main(argv: list[str] | None = None) -> None:
    """Run the program."""
    asked: Any = program.parse(operator_commands.Operator, argv).what
    if isinstance(
        asked,
        (
            operator_commands.Settings,
            operator_commands.Events,
            operator_commands.SiteCommands,
        ),
    ):
        asked = asked.what
    try:
        print(_ACTIONS[type(asked)](asked))
    except exceptions.UserError as exc:
        program.die(str(exc))
    except exceptions.ControlError as exc:
        program.die(str(exc), code=1)
    except BrokenPipeError:
        sys.exit(0)
