"""Settings that switch off parts of the routing decisions.

They are for comparisons on a test site; production sites keep the defaults.
"""

from typing import Mapping

import msgspec

from rackpost import exceptions

SPLIT_VARIABLE = "RACKPOST_SPLIT"
SHARE_VARIABLE = "RACKPOST_SHARE_LOADS"
_WORDS = {"yes": True, "no": False}


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of the routing decisions that can be switched off.

    Attributes:
        split: prompts go to prefill endpoints where there are any.
        share: gateways report their load to each other.
    """

    split: bool = True
    share: bool = True


def from_environment(environ: Mapping[str, str]) -> Policy:
    """Return the policy set by environment variables; unset means `yes`.

    Raises ConfigError for any other value than `yes` and `no`.
    """
    return Policy(
        split=_is_on(environ, SPLIT_VARIABLE),
        share=_is_on(environ, SHARE_VARIABLE),
    )


def _is_on(environ: Mapping[str, str], name: str) -> bool:
    word = environ.get(name, "yes")
    found = _WORDS.get(word)
    if found is None:
        raise exceptions.ConfigError(f"{name}: {word!r} is not yes or no")
    return found
