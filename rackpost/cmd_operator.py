"""The program `rackpost`, for operators."""

import dataclasses
import datetime
import getpass
import json
import pathlib
import secrets
import sys
from typing import Annotated
from typing import Any
from typing import Callable
import urllib.error
import urllib.parse
import urllib.request

import cappa

from rackpost import exceptions
from rackpost import program

_TIMEOUT_S = 5.0
_TRIES = 5


@dataclasses.dataclass(kw_only=True)
class Site:
    """Where control is, and as whom to speak to it."""

    control: Annotated[
        str,
        cappa.Arg(
            long="--control",
            default=cappa.Env("RACKPOST_OPERATORS", default=""),
            help="operators' addresses of control, by commas "
            "[RACKPOST_OPERATORS]",
        ),
    ] = ""
    operator_key_file: Annotated[
        str,
        cappa.Arg(
            long="--operator-key-file",
            default=cappa.Env("RACKPOST_OPERATOR_KEY_FILE", default=""),
            help="file with the operators' key "
            "[RACKPOST_OPERATOR_KEY_FILE]",
        ),
    ] = ""
    json: Annotated[
        bool, cappa.Arg(long="--json", help="print JSON for programs")
    ] = False


@cappa.command(name="show", help="Show a node of the settings.")
@dataclasses.dataclass(kw_only=True)
class Show(Site):
    """Show a node of the settings."""

    path: Annotated[str, cappa.Arg(help="path of the node")] = ""
    effective: Annotated[
        bool, cappa.Arg(long="--effective", help="what is in force there")
    ] = False
    why: Annotated[
        bool, cappa.Arg(long="--why", help="where each value comes from")
    ] = False
    service: Annotated[
        str, cappa.Arg(long="--service", help="for this service")
    ] = ""
    kind: Annotated[str, cappa.Arg(long="--kind", help="for this kind")] = ""


@cappa.command(name="set", help="Change a node of the settings.")
@dataclasses.dataclass(kw_only=True)
class Set(Site):
    """Change a node of the settings."""

    path: Annotated[str, cappa.Arg(help="path of the node, '' for the root")]
    assign: Annotated[
        list[str], cappa.Arg(help="key=value, or key= to inherit again")
    ]
    based_on: Annotated[
        int,
        cappa.Arg(long="--based-on", help="revision that you had read"),
    ] = -1
    op: Annotated[
        str, cappa.Arg(long="--op", help="operation id, to resend one")
    ] = ""
    dry_run: Annotated[
        bool, cappa.Arg(long="--dry-run", help="only show the difference")
    ] = False


@cappa.command(name="history", help="Show who changed what.")
@dataclasses.dataclass(kw_only=True)
class History(Site):
    """Show who changed what."""


@cappa.command(name="undo", help="Undo a change, as a new change.")
@dataclasses.dataclass(kw_only=True)
class Undo(Site):
    """Undo a change, as a new change."""

    revision: Annotated[int, cappa.Arg(help="revision of the change")]


@cappa.command(name="settings", help="The settings tree.")
@dataclasses.dataclass(kw_only=True)
class Settings:
    """The settings tree."""

    what: cappa.Subcommands[Show | Set | History | Undo]


@cappa.command(name="apply", help="Apply a file of nodes.")
@dataclasses.dataclass(kw_only=True)
class Apply(Site):
    """Apply a file of nodes: JSON, {path: {key: value}}."""

    file: Annotated[str, cappa.Arg(short="-f", long="--file", help="file")]
    dry_run: Annotated[
        bool, cappa.Arg(long="--dry-run", help="only show the difference")
    ] = False


@cappa.command(name="list", help="List declared events.")
@dataclasses.dataclass(kw_only=True)
class ListEvents(Site):
    """List declared events."""


@cappa.command(name="declare", help="Declare or change an event.")
@dataclasses.dataclass(kw_only=True)
class Declare(Site):
    """Declare or change an event."""

    name: Annotated[str, cappa.Arg(help="name of the event")]
    start: Annotated[
        str, cappa.Arg(long="--start", help="ISO 8601 with its time zone")
    ]
    length: Annotated[float, cappa.Arg(long="--length", help="seconds")]
    services: Annotated[str, cappa.Arg(long="--services", help="by commas")]
    kinds: Annotated[str, cappa.Arg(long="--kinds", help="by commas")]
    rate: Annotated[float, cappa.Arg(long="--rate", help="requests a second")]
    path: Annotated[str, cappa.Arg(long="--path", help="of the node")] = ""
    values: Annotated[
        str, cappa.Arg(long="--values", help="settings meanwhile, as JSON")
    ] = "{}"


@cappa.command(name="withdraw", help="Withdraw an event.")
@dataclasses.dataclass(kw_only=True)
class Withdraw(Site):
    """Withdraw an event."""

    name: Annotated[str, cappa.Arg(help="name of the event")]


@cappa.command(name="events", help="Declared events.")
@dataclasses.dataclass(kw_only=True)
class Events:
    """Declared events."""

    what: cappa.Subcommands[ListEvents | Declare | Withdraw]


@cappa.command(name="status", help="Show replicas and processes.")
@dataclasses.dataclass(kw_only=True)
class Status(Site):
    """Show replicas and processes, and on which revision they run."""


@cappa.command(name="order", help="Order an agent to do something.")
@dataclasses.dataclass(kw_only=True)
class Order(Site):
    """Order an agent to do something with its endpoint."""

    agent: Annotated[str, cappa.Arg(help="name of the agent")]
    what: Annotated[str, cappa.Arg(help="the order, for example 'leave'")]


@cappa.command(name="replicas", help="Set the control replicas.")
@dataclasses.dataclass(kw_only=True)
class Replicas(Site):
    """Set which control replicas vote, and which learn."""

    voters: Annotated[str, cappa.Arg(long="--voters", help="by commas")]
    learners: Annotated[
        str, cappa.Arg(long="--learners", help="by commas")
    ] = ""


@cappa.command(name="explain", help="Show the steps of a request.")
@dataclasses.dataclass(kw_only=True)
class Explain:
    """Show where a request was placed, why, and what became of it."""

    request_id: Annotated[str, cappa.Arg(help="id that the answer carries")]
    entry: Annotated[
        str,
        cappa.Arg(
            long="--entry",
            default=cappa.Env("RACKPOST_ENTRY"),
            help="address of the entry that served it [RACKPOST_ENTRY]",
        ),
    ]
    caller_key_file: Annotated[
        str, cappa.Arg(long="--caller-key-file", help="the caller's key")
    ]


@cappa.command(name="rackpost")
@dataclasses.dataclass(kw_only=True)
class Operator:
    """Look at a site and change it."""

    what: cappa.Subcommands[
        Settings | Apply | Events | Status | Order | Replicas | Explain
    ]


class Control:
    """The operators' interface, at whichever replica answers."""

    def __init__(self, *, site: Site) -> None:
        self._urls = [
            url if "//" in url else f"http://{url}"
            for url in site.control.split(",")
            if url
        ]
        if not self._urls:
            raise exceptions.ConfigError("--control names no replica")
        try:
            key = pathlib.Path(site.operator_key_file).read_text().strip()
        except OSError as exc:
            raise exceptions.ConfigError(
                f"--operator-key-file: {exc.strerror}"
            ) from exc
        self._headers = {"Authorization": f"Bearer {key}"}

    def get(self, page: str, **query: str) -> Any:
        """The answer to a question."""
        text = urllib.parse.urlencode(query)
        return self._ask(f"{page}?{text}" if text else page, None)

    def post(self, path: str, body: dict[str, Any]) -> Any:
        """The result of a change; it is resent under its operation id."""
        return self._ask(path, json.dumps(body).encode())

    def _ask(self, path: str, data: bytes | None) -> Any:
        last = "no control replica answers"
        for url in self._urls * _TRIES:
            req = urllib.request.Request(
                url + path, data=data, headers=self._headers
            )
            try:
                with urllib.request.urlopen(req, timeout=_TIMEOUT_S) as resp:
                    return json.load(resp)
            except urllib.error.HTTPError as exc:
                text = exc.read().decode(errors="replace")
                if exc.code != 503:
                    raise exceptions.SettingsError(_explain(text)) from exc
                last = _explain(text)
            except OSError as exc:
                last = f"{url}: {exc}"
        raise exceptions.ControlError(last)


def _explain(text: str) -> str:
    try:
        body = json.loads(text)
    except ValueError:
        return text
    if body.get("type") == "conflict":
        return (
            f"conflict: {body['theirs']} (revision {body['revision']}); "
            "read it again, then change what it is now"
        )
    return str(body.get("detail", text))


def _value(text: str) -> str | int | float:
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


def _head(who: Control, path: str) -> int:
    return int(who.get("/v1/settings", path=path)["revision"])


def show(asked: Show) -> str:
    """A node as text."""
    found = Control(site=asked).get(
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


def change(asked: Set) -> str:
    """Change a node; the result as text."""
    who = Control(site=asked)
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


def _written(result: dict[str, Any], asked: Site) -> str:
    if asked.json:
        return json.dumps(result)
    if "changes" in result:
        lines = [
            f"  {key}: {old!r} -> {new!r}"
            for key, (old, new) in sorted(result["changes"].items())
        ]
        return "\n".join(lines) or "  nothing would change"
    return f"accepted as revision {result['revision']}"


def history(asked: History) -> str:
    """The latest changes as text."""
    found = Control(site=asked).get("/v1/history")
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


def undo(asked: Undo) -> str:
    """Put a node back to what it was before a change."""
    who = Control(site=asked)
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


def apply_file(asked: Apply) -> str:
    """Apply a file; one change for each node that differs."""
    who = Control(site=asked)
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


def list_events(asked: ListEvents) -> str:
    """Declared events as a table."""
    found = Control(site=asked).get("/v1/events")
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


def _event_revision(who: Control, name: str) -> int:
    for item in who.get("/v1/events"):
        if item["event"]["name"] == name:
            return int(item["revision"])
    return 0


def declare(asked: Declare) -> str:
    """Declare an event."""
    who = Control(site=asked)
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


def withdraw(asked: Withdraw) -> str:
    """Withdraw an event."""
    who = Control(site=asked)
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "based_on": _event_revision(who, asked.name),
        "name": asked.name,
    }
    return _written(who.post("/v1/events/withdraw", body), asked)


def status(asked: Status) -> str:
    """Replicas and processes as a table."""
    found = Control(site=asked).get("/v1/status")
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


def order(asked: Order) -> str:
    """Give an order."""
    body = {
        "op": secrets.token_hex(8),
        "who": getpass.getuser(),
        "agent": asked.agent,
        "what": asked.what,
    }
    return _written(Control(site=asked).post("/v1/orders", body), asked)


def replicas(asked: Replicas) -> str:
    """Change the replicas."""
    body = {
        "voters": [item for item in asked.voters.split(",") if item],
        "learners": [item for item in asked.learners.split(",") if item],
    }
    return json.dumps(Control(site=asked).post("/v1/replicas", body))


def explain(asked: Explain) -> str:
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
        raise exceptions.SettingsError(_explain(text)) from exc
    except OSError as exc:
        raise exceptions.ControlError(f"{base}: {exc}") from exc
    lines = [f"{found['req']}: {found['service']}, {found['kind']}"]
    for step in found["steps"]:
        lines.append(
            f"  {step['at_s']:>9.4f} s  {step['what']:<10} "
            f"{step['agent']:<16} {step['detail']}"
        )
    return "\n".join(lines)


_ACTIONS: dict[type, Callable[[Any], str]] = {
    Show: show,
    Set: change,
    History: history,
    Undo: undo,
    Apply: apply_file,
    ListEvents: list_events,
    Declare: declare,
    Withdraw: withdraw,
    Status: status,
    Order: order,
    Replicas: replicas,
    Explain: explain,
}


def main(argv: list[str] | None = None) -> None:
    """Run the program."""
    asked: Any = program.parse(Operator, argv).what
    if isinstance(asked, (Settings, Events)):
        asked = asked.what
    try:
        print(_ACTIONS[type(asked)](asked))
    except exceptions.UserError as exc:
        program.die(str(exc))
    except exceptions.ControlError as exc:
        program.die(str(exc), code=1)
    except BrokenPipeError:
        sys.exit(0)
