"""Model of a prompt part that crashes endpoints, and one that all share.

Requests of two gateways have the shared part first; bad ones have the bad
part too, and otherwise nothing in common.  Each bad one that is sent on ends
an endpoint's incarnation, and endpoints also end by themselves under a sound
request.  A sound request that runs well speaks for the shared part.
`decide.quarantine` decides what is quarantined.

A report takes one step: links take milliseconds, requests come in seconds.
What is lost with processes and disks is the subject of `spec/quarantine.py`.
"""

import functools

import minicheck

from rackpost.decide import quarantine
from rackpost import types

_GATEWAYS = 2
# Bounds the state space; more than either part may take.
_MAX_ENDED = 7

_SHARED = types.Fingerprint(b"\x5a")
_BAD = types.Fingerprint(b"\xbd")
_PLACES = {_SHARED: 0, _BAD: 1}
# Reading of the clock at which the quarantine is looked at, in seconds; all
# ends were at 0.
_NOW = 10.0

# Evidence known to each gateway, and what it has not reported; incarnations
# that ended, and how many of them under the bad part; whether a request ran
# well, and ends since then.
FIELDS = ("gateways", "unreported", "ended", "bad", "sound", "since_sound")
# An item of evidence: subject, incarnation, cleared, known to run well.
_Item = tuple[types.Fingerprint, int, bool, bool]
_Evidence = frozenset[_Item]
_NONE: _Evidence = frozenset()
INITIAL = ((_NONE,) * _GATEWAYS, (_NONE,) * _GATEWAYS, 0, 0, False, 0)

MUTANTS = {
    "requests-only": "parts of prompts are not suspected",
    "all-alike": "parts that run well need no more ends than others",
    "not-cleared": "a request that runs well clears nothing",
}


@functools.cache
def _held(evidence: _Evidence) -> frozenset[types.Fingerprint]:
    """Return the parts that are quarantined on this evidence."""
    table = quarantine.Quarantine()
    for subject, incarnation, cleared, sound in sorted(evidence):
        item = quarantine.Suspicion(
            subject=subject,
            endpoint=types.EndpointId("e"),
            born=incarnation + 1,
            place=_PLACES[subject],
            cleared=cleared,
            sound=sound,
        )
        table.add([item], 0.0)
    return frozenset(item.subject for item in table.quarantined(_NOW))


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, fault: str = "") -> None:
        self.fault = fault

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return all steps from a state."""
        if any(state[1]):
            return self._report(state)
        found = []
        for at, evidence in enumerate(state[0]):
            held = _held(evidence)
            if _SHARED in held:
                continue
            if state[2] < _MAX_ENDED:
                found.append(self._end(state, at, (_SHARED,)))
                if _BAD not in held:
                    found.append(self._end(state, at, (_SHARED, _BAD)))
            found.append(self._run_well(state, at))
        return found

    def _end(
        self, state: tuple, at: int, parts: tuple[types.Fingerprint, ...]
    ) -> tuple[str, tuple]:
        """End an incarnation under a request at a gateway."""
        gateways, unreported, ended, bad, sound, since = state
        known = any(item[3] for item in gateways[at]) or sound
        new = frozenset(
            (part, ended, False, part == _SHARED and known) for part in parts
        )
        if self.fault == "requests-only":
            new = _NONE
        elif self.fault == "all-alike":
            new = frozenset((*item[:3], False) for item in new)
        is_bad = _BAD in parts
        return (
            f"an end at gateway {at}, {'bad' if is_bad else 'sound'}",
            (
                _with(gateways, at, gateways[at] | new),
                _with(unreported, at, new),
                ended + 1,
                bad + is_bad,
                sound,
                since + 1,
            ),
        )

    def _run_well(self, state: tuple, at: int) -> tuple[str, tuple]:
        """Run a sound request that began after all ends."""
        gateways, unreported, ended, bad, _, _ = state
        new = frozenset(
            (subject, incarnation, True, self.fault != "all-alike")
            for subject, incarnation, cleared, _ in gateways[at]
            if subject == _SHARED and not cleared
        )
        if self.fault == "not-cleared":
            new = frozenset((*item[:2], False, True) for item in new)
        return (
            f"a request runs well at gateway {at}",
            (
                _with(gateways, at, gateways[at] | new),
                _with(unreported, at, new),
                ended,
                bad,
                True,
                0,
            ),
        )

    def _report(self, state: tuple) -> list[tuple[str, tuple]]:
        gateways, unreported = state[:2]
        news = frozenset().union(*unreported)
        new = (
            tuple(evidence | news for evidence in gateways),
            (_NONE,) * _GATEWAYS,
            *state[2:],
        )
        return [("gateways are told", new)]


def _with(items: tuple, at: int, new: object) -> tuple:
    return (*items[:at], new, *items[at + 1 :])


def _is_bounded(now: dict) -> bool:
    """Whether few endpoints end under the bad part."""
    return now["bad"] <= quarantine.MIN_ENDED_TO_QUARANTINE + 1


def _is_spared(now: dict) -> bool:
    """Whether the shared part is held back only after enough ends.

    Only those count after which no request has run well.
    """
    needed = quarantine.MIN_ENDED_TO_QUARANTINE
    if now["sound"]:
        needed = quarantine.MIN_ENDED_IF_SOUND
    return now["since_sound"] >= needed or not any(
        _SHARED in _held(evidence) for evidence in now["gateways"]
    )


def _is_agreed(now: dict) -> bool:
    """Whether gateways agree once everything has been reported."""
    if any(now["unreported"]):
        return True
    return len({_held(evidence) for evidence in now["gateways"]}) == 1


def protocol(fault: str = "") -> minicheck.Protocol:
    """Return the model, or one of its mutants."""
    return minicheck.Protocol(
        name="prompt_parts",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(fault=fault),
        invariants={
            "few endpoints end under the bad part": _is_bounded,
            "the shared part is spared": _is_spared,
            "gateways agree on the quarantine": _is_agreed,
        },
    )


def variants() -> dict[str, minicheck.Protocol]:
    """Return the checked models by name."""
    return {"two gateways": protocol()}
