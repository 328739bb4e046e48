"""What a gateway may be told to leave out, to see what it is worth.

These are for comparisons on a test site; a site that serves callers
leaves them as they are.
"""

from typing import Mapping

import msgspec

from rackpost import exceptions

SPLIT_VARIABLE = "RACKPOST_SPLIT"
SHARE_VARIABLE = "RACKPOST_SHARE_LOADS"
_WORDS = {"yes": True, "no": False}


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of the decisions that can be left out.

    Attributes:
        split: prompts are read at prefill endpoints where there are any.
        share: gateways tell each other what they have under way.
    """

    split: bool = True
    share: bool = True


def from_environment(environ: Mapping[str, str]) -> Policy:
    """The policy that environment variables ask for; `yes` if unset."""
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
