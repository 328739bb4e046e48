"""Settings that switch parts of the routing decisions off or on.

They are for comparisons on a test site; production sites keep the defaults.
"""

from typing import Mapping

import msgspec

from rackpost.decide import features
from rackpost import exceptions

SPLIT_VARIABLE = "RACKPOST_SPLIT"
SHARE_VARIABLE = "RACKPOST_SHARE_LOADS"
PARTS_VARIABLE = "RACKPOST_PARTS"
_WORDS = {"yes": True, "no": False}


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of the routing decisions that can be switched off.

    Attributes:
        split: prompts go to prefill endpoints where there are any.
        share: gateways report their load to each other.
        parts: parts of load management that are switched on or off where the
            routing document calls for them.
    """

    split: bool = True
    share: bool = True
    parts: features.Overrides = features.NO_OVERRIDES


def from_environment(environ: Mapping[str, str]) -> Policy:
    """Return the policy set by environment variables.

    An unset switch means `yes`.  Raises ConfigError for any other value than
    `yes` and `no`, and for a part that does not exist.
    """
    return Policy(
        split=_is_on(environ, SPLIT_VARIABLE),
        share=_is_on(environ, SHARE_VARIABLE),
        parts=part_overrides(environ),
    )


def part_overrides(environ: Mapping[str, str]) -> features.Overrides:
    """Return the parts that the environment switches.

    Raises ConfigError, which names the variable.
    """
    try:
        return features.parse(environ.get(PARTS_VARIABLE, ""))
    except exceptions.ConfigError as exc:
        raise exceptions.ConfigError(f"{PARTS_VARIABLE}: {exc}") from exc


def _is_on(environ: Mapping[str, str], name: str) -> bool:
    word = environ.get(name, "yes")
    found = _WORDS.get(word)
    if found is None:
        raise exceptions.ConfigError(f"{name}: {word!r} is not yes or no")
    return found
