"""The settings, with type, unit, bounds and meaning.

A key in the tree is `[service[/kind].]name`, for example `weight`,
`tolk.ttft_s` or `tolk/dispatch.ttft_s`.
"""

import re
from typing import NamedTuple
from typing import Union

from rackpost import exceptions
from rackpost import types

Value = Union[float, int, str]

_WORD = r"[a-z0-9][a-z0-9_.-]{0,62}"
_KEY = re.compile(
    rf"^(?:(?P<service>{_WORD}?)(?:/(?P<kind>{_WORD}?))?\.)?"
    r"(?P<name>[a-z0-9_]+)$"
)
_PATH = re.compile(rf"^(?:{_WORD}(?:/{_WORD}){{0,15}})?$")
_HEX64 = re.compile(r"^[0-9a-f]{64}$")


class Scope(NamedTuple):
    """The parts of a key: a setting, perhaps of one service or kind."""

    service: str
    kind: str
    name: str


class Setting(NamedTuple):
    """One setting; `words` lists the values of an enumerated one."""

    name: str
    default: Value
    unit: str
    low: float = 0.0
    high: float = 0.0
    words: tuple[str, ...] = ()
    inherited: bool = True
    help: str = ""


_SETTINGS = (
    Setting("ttft_s", 0.59, "s", 0.001, 600.0, help="time to first token"),
    Setting("tbt_s", 0.058, "s", 0.001, 60.0, help="time between tokens"),
    Setting("whole_s", 60.0, "s", 0.01, 3600.0, help="whole answer"),
    Setting("weight", 1.0, "", 0.001, 1000.0, help="worth of an answer"),
    Setting(
        "repeat",
        "free",
        "",
        words=tuple(item.value for item in types.RepeatClass),
        help="how often a request may run",
    ),
    Setting("max_open", 64, "requests", 1, 100_000, help="open per entry"),
    Setting("max_tokens", 256, "tokens", 1, 100_000, help="answer limit"),
    Setting("max_prompt", 32_000, "tokens", 1, 1_000_000, help="prompt limit"),
    Setting("kv_token_bytes", 100_000, "bytes", 1, 10**7, help="KV cache"),
    Setting(
        "type", "model", "", words=("model", "plain"), help="of a service"
    ),
    Setting("default_kind", "default", "", help="kind if none is named"),
    Setting("retry_share", 0.1, "", 0.0, 1.0, help="retries per request"),
    Setting("claim_keep_s", 600.0, "s", 10.0, 86_400.0, help="claim kept"),
    Setting(
        "caller_key",
        "",
        "SHA-256 in hex",
        inherited=False,
        help="hash of the bearer key of the caller at this node",
    ),
)
SETTINGS = {item.name: item for item in _SETTINGS}


def parse_key(key: str) -> Scope:
    """Return the parts of a key; raises SettingsError if it is unknown."""
    found = _KEY.match(key)
    if found is None or found["name"] not in SETTINGS:
        names = ", ".join(sorted(SETTINGS))
        raise exceptions.SettingsError(
            f"no setting {key!r}; the settings are {names}"
        )
    return Scope(found["service"] or "", found["kind"] or "", found["name"])


def check_path(path: str) -> None:
    """Raise SettingsError if `path` is not a valid name of a node."""
    if not _PATH.match(path):
        raise exceptions.SettingsError(
            f"bad path {path!r}: lower-case words joined by '/'"
        )


def check_value(key: str, value: Value) -> None:
    """Raise SettingsError if a value does not fit its setting."""
    spec = SETTINGS[parse_key(key).name]
    if spec.words:
        if value not in spec.words:
            words = " or ".join(spec.words)
            raise exceptions.SettingsError(f"{key} must be {words}")
    elif isinstance(spec.default, str):
        _check_text(key, spec, value)
    else:
        _check_number(key, spec, value)


def _check_text(key: str, spec: Setting, value: Value) -> None:
    if not isinstance(value, str) or len(value) > 256:
        raise exceptions.SettingsError(f"{key} must be a short text")
    if spec.name == "caller_key" and not _HEX64.match(value):
        raise exceptions.SettingsError(
            f"{key} must be the SHA-256 of the bearer key, 64 hex digits"
        )


def _check_number(key: str, spec: Setting, value: Value) -> None:
    whole = isinstance(spec.default, int)
    good = isinstance(value, int if whole else (int, float))
    if not good or isinstance(value, bool):
        kind = "a whole number" if whole else "a number"
        raise exceptions.SettingsError(f"{key} must be {kind}")
    if not spec.low <= float(value) <= spec.high:
        unit = f" {spec.unit}" if spec.unit else ""
        raise exceptions.SettingsError(
            f"{key} must be from {spec.low:g} to {spec.high:g}{unit}"
        )
