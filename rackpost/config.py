"""The settings of each program, from flags and environment variables.

Every flag `--some-name` has the environment variable RACKPOST_SOME_NAME;
the flag has precedence.  An invalid value raises ConfigError, which names
the flag.
"""

import dataclasses
import pathlib
import ssl
from typing import Annotated
from typing import Any

import cappa

from rackpost import exceptions
from rackpost.link import websocket
from rackpost import types

_MIN_KEY_SIZE = 16
_WILDCARD_HOSTS = ("0.0.0.0", "::")


def _opt(name: str, help_text: str, default: Any) -> Any:
    flag = name.replace("_", "-")
    env = "RACKPOST_" + name.upper()
    return cappa.Arg(
        long=f"--{flag}",
        default=cappa.Env(env, default=default),
        help=f"{help_text} [{env}]",
    )


@dataclasses.dataclass(kw_only=True)
class LinkOptions:
    """Settings of links, shared by all processes of a site."""

    key_file: Annotated[
        str, _opt("key_file", "file with the site's key", "")
    ] = ""
    tls_cert: Annotated[
        str, _opt("tls_cert", "this process's certificate (PEM)", "")
    ] = ""
    tls_key: Annotated[str, _opt("tls_key", "its private key (PEM)", "")] = ""
    tls_ca: Annotated[
        str, _opt("tls_ca", "the site's certificate authority (PEM)", "")
    ] = ""
    vm: Annotated[str, _opt("vm", "name of this VM", "vm")] = "vm"
    data_centre: Annotated[
        str, _opt("data_centre", "data centre of this VM", "here")
    ] = "here"
    listen: Annotated[
        str, _opt("listen", "IP number and port to listen on", "127.0.0.1:0")
    ] = "127.0.0.1:0"
    advertise: Annotated[
        str, _opt("advertise", "host:port told to others, if another", "")
    ] = ""
    control: Annotated[
        str, _opt("control", "control replicas, host:port by commas", "")
    ] = ""

    def security(self) -> websocket.Security:
        """Load the key and TLS contexts; ConfigError if that fails."""
        key = self._read_key()
        given = [self.tls_cert, self.tls_key, self.tls_ca]
        if not any(given):
            return websocket.Security(key=key)
        if not all(given):
            raise exceptions.ConfigError(
                "--tls-cert, --tls-key and --tls-ca go together"
            )
        return websocket.Security(
            key=key,
            client_tls=self._context(ssl.Purpose.SERVER_AUTH),
            server_tls=self._context(ssl.Purpose.CLIENT_AUTH),
        )

    def _read_key(self) -> bytes:
        if not self.key_file:
            raise exceptions.ConfigError("--key-file is missing")
        try:
            key = pathlib.Path(self.key_file).read_bytes().strip()
        except OSError as exc:
            raise exceptions.ConfigError(
                f"--key-file {self.key_file}: {exc.strerror}"
            ) from exc
        if len(key) < _MIN_KEY_SIZE:
            raise exceptions.ConfigError(
                f"--key-file: the key must have {_MIN_KEY_SIZE} bytes or more"
            )
        return key

    def _context(self, purpose: ssl.Purpose) -> ssl.SSLContext:
        try:
            context = ssl.create_default_context(purpose, cafile=self.tls_ca)
            context.load_cert_chain(self.tls_cert, self.tls_key)
        except (OSError, ssl.SSLError) as exc:
            raise exceptions.ConfigError(
                f"--tls-cert, --tls-key or --tls-ca: {exc}"
            ) from exc
        # Peers are addressed by IP number; any certificate that the site's
        # authority signed is accepted.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        return context

    def bind(self) -> tuple[str, int]:
        """Return the host and port to listen on."""
        return address(self.listen, "--listen")

    def control_addresses(self) -> list[str]:
        """Return the addresses of control replicas; ConfigError if none."""
        addresses = [item for item in self.control.split(",") if item]
        if not addresses:
            raise exceptions.ConfigError("--control names no replica")
        for item in addresses:
            address(item, "--control")
        return addresses


def address(text: str, flag: str) -> tuple[str, int]:
    """Parse `host:port`; ConfigError names the flag."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise exceptions.ConfigError(f"{flag}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


@dataclasses.dataclass(kw_only=True)
class EntryOptions(LinkOptions):
    """The settings of `rackpost-entry`."""

    name: Annotated[str, _opt("name", "name of this entry", "entry")] = "entry"
    subset: Annotated[
        int, _opt("subset", "endpoints of each pool to keep to", 16)
    ] = 16
    caller_cert: Annotated[
        str, _opt("caller_cert", "certificate shown to callers (PEM)", "")
    ] = ""
    caller_key: Annotated[
        str, _opt("caller_key", "its private key (PEM)", "")
    ] = ""

    def check(self) -> None:
        """Raise ConfigError if a value is not valid."""
        self.bind()
        self.control_addresses()
        if not 1 <= self.subset <= 1024:
            raise exceptions.ConfigError("--subset must be 1 to 1024")
        if bool(self.caller_cert) != bool(self.caller_key):
            raise exceptions.ConfigError(
                "--caller-cert and --caller-key go together"
            )


@dataclasses.dataclass(kw_only=True)
class AgentOptions(LinkOptions):
    """The settings of `rackpost-agent`."""

    name: Annotated[str, _opt("name", "name of this agent", "agent")] = "agent"
    service: Annotated[
        str, _opt("service", "service that the endpoint serves", "")
    ] = ""
    role: Annotated[str, _opt("role", "prefill, decode or plain", "plain")] = (
        "plain"
    )
    endpoint: Annotated[
        str, _opt("endpoint", "base URL of the endpoint", "")
    ] = ""
    slots: Annotated[
        int, _opt("slots", "requests that it takes at once", 20)
    ] = 20
    prefill_rate: Annotated[
        float, _opt("prefill_rate", "tokens prefilled in a second", 8000.0)
    ] = 8000.0
    step: Annotated[
        float, _opt("step", "seconds between tokens of a full batch", 0.03)
    ] = 0.03
    link_rate: Annotated[
        float, _opt("link_rate", "bytes a second of its link", 2e9)
    ] = 2e9

    def check(self) -> None:
        """Raise ConfigError if a value is not valid."""
        host, _ = self.bind()
        self.control_addresses()
        self.parsed_role()
        if host in _WILDCARD_HOSTS and not self.advertise:
            raise exceptions.ConfigError(
                f"--listen {self.listen} needs --advertise: others can't "
                "link to it"
            )
        if not self.service:
            raise exceptions.ConfigError("--service is missing")
        if not self.endpoint.startswith(("http://", "https://")):
            raise exceptions.ConfigError("--endpoint must be an http URL")
        if not 1 <= self.slots <= 10_000:
            raise exceptions.ConfigError("--slots must be 1 to 10000")
        for flag, value in (
            ("--prefill-rate", self.prefill_rate),
            ("--step", self.step),
            ("--link-rate", self.link_rate),
        ):
            if value <= 0.0:
                raise exceptions.ConfigError(f"{flag} must be above 0")

    def parsed_role(self) -> types.Role:
        """Return the role; ConfigError if it is not a valid one."""
        try:
            return types.Role(self.role)
        except ValueError:
            raise exceptions.ConfigError(
                "--role must be prefill, decode or plain"
            ) from None


@dataclasses.dataclass(kw_only=True)
class ControlOptions(LinkOptions):
    """The settings of `rackpost-control`."""

    data: Annotated[str, _opt("data", "the data folder", "")] = ""
    peers: Annotated[
        str,
        _opt("peers", "all replicas, as id=host:port by commas", ""),
    ] = ""
    operators: Annotated[
        str,
        _opt("operators", "IP number and port for operators", "127.0.0.1:0"),
    ] = "127.0.0.1:0"
    platform_list: Annotated[
        str,
        _opt("platform_list", "URL of the platform's list of VMs", ""),
    ] = ""
    operator_key_file: Annotated[
        str,
        _opt("operator_key_file", "file with the operators' bearer key", ""),
    ] = ""

    def check(self) -> None:
        """Raise ConfigError if a value is not valid."""
        self.bind()
        address(self.operators, "--operators")
        self.peer_addresses()
        if not self.data:
            raise exceptions.ConfigError("--data is missing")
        self.operator_key()

    def peer_addresses(self) -> dict[str, str]:
        """Return the address of each replica by its id."""
        addresses = {}
        for item in self.peers.split(","):
            if not item:
                continue
            name, equals, peer_address = item.partition("=")
            if not equals or not name:
                raise exceptions.ConfigError(
                    f"--peers: {item!r} is not id=host:port"
                )
            address(peer_address, "--peers")
            addresses[name] = peer_address
        return addresses

    def operator_key(self) -> str:
        """Read the operators' bearer key; ConfigError if it is not usable."""
        try:
            text = pathlib.Path(self.operator_key_file).read_text()
        except OSError as exc:
            raise exceptions.ConfigError(
                f"--operator-key-file: {exc.strerror}"
            ) from exc
        if len(text.strip()) < _MIN_KEY_SIZE:
            raise exceptions.ConfigError(
                f"--operator-key-file: {_MIN_KEY_SIZE} characters or more"
            )
        return text.strip()
