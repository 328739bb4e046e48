"""The operators' program `rackpost`."""

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


def _client(args: operator_commands.Site) -> operator_client.ControlClient:
    return operator_client.ControlClient(
        addresses=args.control, key_file=args.operator_key_file
    )


def _parse_value(text: str) -> str | int | float:
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


def _revision(control: operator_client.ControlClient, path: str) -> int:
    return int(control.get("/v1/settings", path=path)["revision"])


def show(args: operator_commands.Show) -> str:
    """Return a node of the settings as text."""
    found = _client(args).get(
        "/v1/settings",
        path=args.path,
        service=args.service,
        kind=args.kind,
    )
    if args.json:
        return json.dumps(found, indent=1)
    lines = [f"{args.path or 'the root'} (revision {found['revision']})"]
    if not args.effective:
        for key, value in sorted(found["values"].items()):
            lines.append(f"  {key} = {value}")
        return "\n".join(lines)
    for item in found["effective"]:
        line = f"  {item['name']:<16} {item['value']} {item['unit']}"
        if args.why:
            line += f"  [{_source(item)}]"
        lines.append(line)
    return "\n".join(lines)


def _source(item: dict[str, Any]) -> str:
    if item["event"]:
        return f"event {item['event']}, {item['key']}"
    if item["node"] is None:
        return "default"
    return f"{item['node'] or 'the root'}, {item['key']}"


def change(args: operator_commands.Set) -> str:
    """Change a node of the settings."""
    control = _client(args)
    values: dict[str, Any] = {}
    unset = []
    for item in args.assign:
        key, equals, text = item.partition("=")
        if not equals:
            raise exceptions.SettingsError(f"{item!r} is not key=value")
        if text:
            values[key] = _parse_value(text)
        else:
            unset.append(key)
    base = args.based_on
    if base < 0:
        base = _revision(control, args.path)
    body = {
        "op": args.op or secrets.token_hex(8),
        "who": getpass.getuser(),
        "path": args.path,
        "based_on": base,
        "values": values,
        "unset": unset,
        "dry_run": args.dry_run,
    }
    return _format_result(control.post("/v1/settings", body), args)


def _format_result(
    result: dict[str, Any], args: operator_commands.Site
) -> str:
    if args.json:
        return json.dumps(result)
    if "changes" in result:
        lines = [
            f"  {key}: {old!r} -> {new!r}"
            for key, (old, new) in sorted(result["changes"].items())
        ]
        return "\n".join(lines) or "  nothing would change"
    return f"accepted as revision {result['revision']}"


def history(args: operator_commands.History) -> str:
    """Return the latest changes as text."""
    found = _client(args).get("/v1/history")
    if args.json:
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


def undo(args: operator_commands.Undo) -> str:
    """Restore the values that a node had before a change."""
    control = _client(args)
    found = [
        item
        for item in control.get("/v1/history")
        if item["revision"] == args.revision and item.get("node")
    ]
    if not found:
        raise exceptions.SettingsError(
            f"no change of a node has revision {args.revision}"
        )
    item = found[0]
    before = (item.get("before") or {"values": {}})["values"]
    after = item["node"]["values"]
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "path": item["path"],
        "based_on": args.revision,
        "values": before,
        "unset": [key for key in after if key not in before],
    }
    return _format_result(control.post("/v1/settings", body), args)


def apply_file(args: operator_commands.Apply) -> str:
    """Apply a file, with one change for each node that differs."""
    control = _client(args)
    try:
        nodes = json.loads(pathlib.Path(args.file).read_text())
    except (OSError, ValueError) as exc:
        raise exceptions.SettingsError(f"{args.file}: {exc}") from exc
    lines = []
    for path, values in nodes.items():
        now = control.get("/v1/settings", path=path)
        if now["values"] == values:
            continue
        body = {
            "op": secrets.token_hex(8),
            "who": getpass.getuser(),
            "path": path,
            "based_on": now["revision"],
            "values": values,
            "unset": [key for key in now["values"] if key not in values],
            "dry_run": args.dry_run,
        }
        lines.append(path or "the root")
        lines.append(_format_result(control.post("/v1/settings", body), args))
    return "\n".join(lines) or "nothing to change"


def list_events(args: operator_commands.ListEvents) -> str:
    """Return the declared events as a table."""
    found = _client(args).get("/v1/events")
    if args.json:
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


def _event_revision(control: operator_client.ControlClient, name: str) -> int:
    for item in control.get("/v1/events"):
        if item["event"]["name"] == name:
            return int(item["revision"])
    return 0


def declare(args: operator_commands.Declare) -> str:
    """Declare an event."""
    control = _client(args)
    try:
        start = datetime.datetime.fromisoformat(args.start)
        values = json.loads(args.values)
    except ValueError as exc:
        raise exceptions.SettingsError(f"--start or --values: {exc}") from exc
    if start.tzinfo is None:
        raise exceptions.SettingsError("--start needs a time zone")
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "based_on": _event_revision(control, args.name),
        "event": {
            "name": args.name,
            "path": args.path,
            "start": start.timestamp(),
            "length_s": args.length,
            "services": args.services.split(","),
            "kinds": args.kinds.split(","),
            "rate": args.rate,
            "values": values,
        },
    }
    return _format_result(control.post("/v1/events", body), args)


def withdraw(args: operator_commands.Withdraw) -> str:
    """Withdraw an event."""
    control = _client(args)
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "based_on": _event_revision(control, args.name),
        "name": args.name,
    }
    return _format_result(control.post("/v1/events/withdraw", body), args)


def status(args: operator_commands.Status) -> str:
    """Return replicas and processes as a table."""
    found = _client(args).get("/v1/status")
    if args.json:
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


def order(args: operator_commands.Order) -> str:
    """Send an order to an agent."""
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "agent": args.agent,
        "what": args.what,
    }
    return _format_result(_client(args).post("/v1/orders", body), args)


def replicas(args: operator_commands.Replicas) -> str:
    """Set the voters and learners."""
    body = {
        "voters": [item for item in args.voters.split(",") if item],
        "learners": [item for item in args.learners.split(",") if item],
    }
    return json.dumps(_client(args).post("/v1/replicas", body))


def explain(args: operator_commands.Explain) -> str:
    """Return the steps of a request as text."""
    try:
        key = pathlib.Path(args.caller_key_file).read_text().strip()
    except OSError as exc:
        raise exceptions.ConfigError(
            f"--caller-key-file: {exc.strerror}"
        ) from exc
    base = args.entry if "//" in args.entry else f"http://{args.entry}"
    req = urllib.request.Request(
        f"{base}/v1/requests/{urllib.parse.quote(args.request_id)}",
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


def story(args: operator_commands.Story) -> str:
    """Return a request's log lines from all files, in order."""
    found: list[log_story.Step] = []
    for name in args.files or ["-"]:
        try:
            file = sys.stdin if name == "-" else open(name, encoding="utf-8")
        except OSError as exc:
            raise exceptions.ConfigError(f"{name}: {exc.strerror}") from exc
        with file:
            found += log_story.steps(file, args.request_id)
    merged = log_story.merge(found)
    if args.json:
        return "\n".join(
            json.dumps(msgspec.to_builtins(step)) for step in merged
        )
    return log_story.text(merged)


def check_config(args: operator_commands.CheckConfig) -> str:
    """Validate a routing document; return a summary of its contents."""
    try:
        text = pathlib.Path(args.file).read_bytes()
    except OSError as exc:
        raise exceptions.ConfigError(f"{args.file}: {exc.strerror}") from exc
    doc = documents.decode(text)
    return (
        f"version {doc.version}: {len(doc.routes)} routes, "
        f"{len(doc.services)} services, {_describe_callers(doc)}, valid"
    )


def _describe_callers(doc: model.Document) -> str:
    if not doc.keys_required:
        return "no keys"
    keys = sum(len(item.keys) for item in doc.organisations)
    return f"{len(doc.organisations)} organisations with {keys} keys"


def _site_view(
    args: operator_commands.Coordinators,
    show: Callable[[overview.Overview], str],
) -> str:
    found = site_overview.fetch(args.coordinators)
    return site_overview.to_json(found) if args.json else show(found)


def site_status(args: operator_commands.SiteStatus) -> str:
    """Return leader, replicas, gateways and version."""
    return _site_view(args, site_overview.status)


def site_routes(args: operator_commands.SiteRoutes) -> str:
    """Return the routes in force."""
    return _site_view(args, site_overview.routes)


def site_endpoints(args: operator_commands.SiteEndpoints) -> str:
    """Return the endpoints and their states."""
    return _site_view(args, site_overview.endpoints)


def site_waiting(args: operator_commands.SiteWaiting) -> str:
    """Return the generations that wait for capacity."""
    return _site_view(args, site_overview.waiting)


def site_quotas(args: operator_commands.SiteQuotas) -> str:
    """Return the organisations' quotas and their use."""
    return _site_view(args, site_overview.quotas)


def site_held(args: operator_commands.SiteHeld) -> str:
    """Return the quarantined requests."""
    return _site_view(args, site_overview.quarantined)


_HANDLERS: dict[type, Callable[[Any], str]] = {
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
    operator_commands.SiteWaiting: site_waiting,
    operator_commands.SiteHeld: site_held,
    operator_commands.SiteRoutes: site_routes,
    operator_commands.SiteEndpoints: site_endpoints,
}


def main(argv: list[str] | None = None) -> None:
    """Run the program."""
    args: Any = program.parse(operator_commands.Operator, argv).what
    if isinstance(
        args,
        (
            operator_commands.Settings,
            operator_commands.Events,
            operator_commands.SiteCommands,
        ),
    ):
        args = args.what
    try:
        print(_HANDLERS[type(args)](args))
    except exceptions.UserError as exc:
        program.die(str(exc))
    except exceptions.ControlError as exc:
        program.die(str(exc), code=1)
    except BrokenPipeError:
        sys.exit(0)
