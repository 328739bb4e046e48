"""Decodes the platform's settings file."""

import os
import pathlib

import msgspec

from rackpost import exceptions
from rackpost.http1 import address
from rackpost import types

# Environment variable with the file's path, set for each process.
PATH_VARIABLE = "RACKPOST_BOOT"
_MAX_PORT = (1 << 16) - 1


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """VMs with a disk that may be lost at once without loss of data."""

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
    """Service levels that the deployment promises or requires.

    Attributes:
        retry_ratio, retry_slack: the retry budget of a service in any
            `retry_window_s` is ratio x its requests + slack.
        grace_s: time from SIGTERM to SIGKILL.
        lease_ms: minimum time between orders of two holders.
        drain_ms: time after which a draining endpoint gets no new requests.
        in_force_ms: time from a change's acknowledgement to its effect.
        quota_window_s, quota_overshoot, quota_slack: an organisation may
            spend its limit x (1 + overshoot) + slack in any window.
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
    """Resources of this VM; a link rate of 0 is unknown."""

    memory_mb: float = msgspec.field(default=256, name="memoryMb")
    link_mbps: float = msgspec.field(default=0.0, name="linkMbps")
    descriptors: int = msgspec.field(default=1024, name="maxFds")
    disk_mb: float = msgspec.field(default=0, name="diskMb")

    def memory_bytes(self, share: float) -> int:
        """Return a share of the memory in bytes."""
        return int(share * self.memory_mb * (1 << 20))


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """`host:port` of each interface that this process serves."""

    clients: str = msgspec.field(default="", name="front")
    ready: str = ""
    control: str = ""


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process: its VM and its site.

    Attributes:
        first_start: the whole site starts for the first time.
        seeds: control addresses of some coordinators, possibly stale.
        internal_ports: first and last port for links within the site.
        heartbeat_ms: interval of the endpoints' heartbeats.
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
    """Decode the file's text; raises ConfigError with the reason."""
    try:
        return msgspec.json.decode(text, type=HostSettings)
    except exceptions.DECODE_ERRORS as exc:
        raise exceptions.ConfigError(f"{PATH_VARIABLE}: {exc}") from exc


def path() -> pathlib.Path:
    """Return the file's path; raises ConfigError if it is not set."""
    found = os.environ.get(PATH_VARIABLE)
    if not found:
        raise exceptions.ConfigError(f"{PATH_VARIABLE} is not set")
    return pathlib.Path(found)


def load() -> HostSettings:
    """Read and decode the file; raises ConfigError."""
    where = path()
    try:
        return decode(where.read_bytes())
    except OSError as exc:
        raise exceptions.ConfigError(f"{where}: {exc.strerror}") from exc


def check_gateway(host: HostSettings) -> None:
    """Raise ConfigError if a gateway can't run with these settings."""
    _check_address("front", host.listen.clients)
    _check_address("ready", host.listen.ready)


def check_coordinator(host: HostSettings) -> None:
    """Raise ConfigError if a coordinator can't run with these settings."""
    _check_address("control", host.listen.control)
    if host.data_dir is None:
        raise exceptions.ConfigError("dataDir: a coordinator needs one")


def _check_address(name: str, text: str) -> None:
    try:
        found = address.split(text)
    except ValueError:
        found = address.Address(host="", port=0)
    if not found.host or not 0 < found.port <= _MAX_PORT:
        raise exceptions.ConfigError(f"{name}: {text!r} is not host:port")
