"""Subcommands and options of the `rackpost` command line."""

import dataclasses
from typing import Annotated

import cappa


@dataclasses.dataclass(kw_only=True)
class Site:
    """Options for access to the control service."""

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
    """Show replicas and processes, and the revision each uses."""


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
    """Show where a request was placed, why, and its outcome."""

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


@cappa.command(name="story", help="Show a request's log lines in order.")
@dataclasses.dataclass(kw_only=True)
class Story:
    """Show the log lines of gateways and coordinators about a request."""

    request_id: Annotated[str, cappa.Arg(help="id that the client sent")]
    files: Annotated[
        list[str], cappa.Arg(help="log files; standard input if none")
    ] = dataclasses.field(default_factory=list)
    json: Annotated[
        bool, cappa.Arg(long="--json", help="one object a line")
    ] = False


@cappa.command(name="check-config", help="Check a routing document.")
@dataclasses.dataclass(kw_only=True)
class CheckConfig:
    """Validate a routing document as coordinators do."""

    file: Annotated[str, cappa.Arg(help="the document, JSON")]


@dataclasses.dataclass(kw_only=True)
class Coordinators:
    """Options for access to the coordinators of a site."""

    coordinators: Annotated[
        str,
        cappa.Arg(
            long="--coordinators",
            default=cappa.Env("RACKPOST_COORDINATORS", default=""),
            help="metrics addresses of coordinators, by commas "
            "[RACKPOST_COORDINATORS]",
        ),
    ] = ""
    json: Annotated[
        bool, cappa.Arg(long="--json", help="print JSON for programs")
    ] = False


@cappa.command(name="status", help="Show leader, replicas and gateways.")
@dataclasses.dataclass(kw_only=True)
class SiteStatus(Coordinators):
    """Show leader, replicas, gateways and the document's version."""


@cappa.command(name="routes", help="Show the routes in force.")
@dataclasses.dataclass(kw_only=True)
class SiteRoutes(Coordinators):
    """Show the routes in force."""


@cappa.command(name="endpoints", help="Show endpoints and their states.")
@dataclasses.dataclass(kw_only=True)
class SiteEndpoints(Coordinators):
    """Show endpoints, their roles and states."""


@cappa.command(name="quotas", help="Show organisations' quotas and use.")
@dataclasses.dataclass(kw_only=True)
class SiteQuotas(Coordinators):
    """Show the quotas of organisations and their use."""


@cappa.command(name="waiting", help="Show who waits for capacity.")
@dataclasses.dataclass(kw_only=True)
class SiteWaiting(Coordinators):
    """Show the generations that wait, by kind and organisation."""


@cappa.command(name="held", help="Show requests that are held back.")
@dataclasses.dataclass(kw_only=True)
class SiteHeld(Coordinators):
    """Show quarantined requests and the time until their release."""


@cappa.command(name="site", help="A site of gateways and coordinators.")
@dataclasses.dataclass(kw_only=True)
class SiteCommands:
    """Inspect a site of gateways and coordinators."""

    what: cappa.Subcommands[
        SiteStatus
        | SiteRoutes
        | SiteEndpoints
        | SiteQuotas
        | SiteWaiting
        | SiteHeld
    ]


@cappa.command(name="rackpost")
@dataclasses.dataclass(kw_only=True)
class Operator:
    """Inspect and change a site."""

    what: cappa.Subcommands[
        Settings
        | Apply
        | Events
        | Status
        | Order
        | Replicas
        | Explain
        | Story
        | CheckConfig
        | SiteCommands
    ]
