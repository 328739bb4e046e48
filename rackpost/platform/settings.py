"""The platform's settings file, decoded into a type of our own."""

import os
import pathlib

import msgspec

from rackpost import exceptions
from rackpost import types

# Names the file; set by the platform for each process.
PATH_VARIABLE = "RACKPOST_BOOT"


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """VMs with a disk that may be lost at once with every promise kept."""

    vms: int = msgspec.field(default=0, name="machines")


class Bounds(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "retry_ratio": "retryBudgetRatio",
        "retry_window_s": "budgetWindowS",
        "retry_slack": "budgetSlack",
        "grace_s": "graceS",
        "lease_ms": "leaseMs",
        "drain_ms": "drainMs",
        "in_force_ms": "configApplyMs",
        "quota_window_s": "quotaWindowS",
        "quota_overshoot": "quotaOvershoot",
        "quota_slack": "quotaSlack",
    },
):
    """Figures that the deployment promises or asks for.

    Attributes:
        retry_ratio, retry_slack: repeats that a service may get within
            any `retry_window_s`: ratio x its requests + slack.
        grace_s: from SIGTERM to SIGKILL.
        lease_ms: orders of two holders are at least so far apart.
        drain_ms: an endpoint that said it leaves gets nothing new after.
        in_force_ms: from a change's acknowledgement to its effect.
        quota_window_s, quota_overshoot, quota_slack: what organisations may
            spend, in any window: their limit x (1 + overshoot) + slack.
    """

    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_slack: float = 10.0
    grace_s: float = 8.0
    lease_ms: float = 3000.0
    drain_ms: float = 2000.0
    in_force_ms: float = 2000.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0


class VmLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What this VM has."""

    memory_mb: float = msgspec.field(default=256, name="memoryMb")
    descriptors: int = msgspec.field(default=1024, name="maxFds")
    disk_mb: float = msgspec.field(default=0, name="diskMb")


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """`host:port` of each interface that this process serves."""

    clients: str = msgspec.field(default="", name="front")
    ready: str = ""
    control: str = ""


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a process is told of its VM and its site.

    Attributes:
        first_start: the whole site starts for the first time.
        seeds: control addresses of some coordinators, perhaps stale.
        internal_ports: first and last port for our own links.
        heartbeat_ms: how often endpoints tell that they live.
    """

    vm: types.VmId = msgspec.field(name="node")
    ip: str
    data_centre: types.DataCentre = msgspec.field(name="zone")
    listen: Listen = Listen()
    internal_ports: tuple[int, int] = msgspec.field(
        default=(7660, 7675), name="internalPorts"
    )
    seeds: tuple[str, ...] = ()
    first_start: bool = msgspec.field(default=False, name="bootstrap")
    data_dir: str | None = msgspec.field(default=None, name="dataDir")
    heartbeat_ms: float = msgspec.field(default=1000, name="heartbeatMs")
    limits: VmLimits = VmLimits()
    tolerance: Tolerance = msgspec.field(
        default=Tolerance(), name="faultTolerance"
    )
    bounds: Bounds = Bounds()


def decode(text: bytes) -> HostSettings:
    """Settings from the file's text; ConfigError says what is wrong."""
    try:
        return msgspec.json.decode(text, type=HostSettings)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise exceptions.ConfigError(f"{PATH_VARIABLE}: {exc}") from exc


def path() -> pathlib.Path:
    """Where the file lies; ConfigError if nobody says."""
    found = os.environ.get(PATH_VARIABLE)
    if not found:
        raise exceptions.ConfigError(f"{PATH_VARIABLE} is not set")
    return pathlib.Path(found)


def load() -> HostSettings:
    """Read the file; ConfigError where it can't be read or is bad."""
    where = path()
    try:
        return decode(where.read_bytes())
    except OSError as exc:
        raise exceptions.ConfigError(f"{where}: {exc.strerror}") from exc
