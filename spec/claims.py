"""Model of claims: claim, run, seal and resend, with crashes and restarts.

There is one key, with attempts A and B from two entries.  A's agent may
restart once, and control may be restored from a snapshot once.  The caller
may resend at the other entry at any time.  Delays are unbounded, which
covers clock drift: a lease may end at any time.
"""

import minicheck

# States of an attempt at its agent.
NONE, RESERVED, RUNNING, ENDED, LOST = range(5)
# States of the claim.
FREE, HELD_A, HELD_B, UNKNOWN, DONE = range(5)

FIELDS = (
    # Pairs are for A and B.
    "claim",  # state of the claim in control's table
    "at",  # states at the agents
    "wire",  # run messages in flight
    "granted",  # whether the entry knows that it holds the claim
    "alive",  # whether the entry is alive
    "sealed",  # whether the agent remembers the seal
    "fresh",  # whether A's agent is in its first incarnation
    "ran",  # number of runs
    "reported",  # whether the caller received not-run
    "seal_ok",  # whether the other entry received the seal's confirmation
    "snapshot",  # claim in control's snapshot; -1: none, -2: restored
)
INITIAL = (
    FREE,
    (NONE, NONE),
    (0, 0),
    (0, 0),
    (1, 1),
    (0, 0),
    1,
    (0, 0),
    (0, 0),
    (0, 0),
    -1,
)

MUTANTS = {
    "seal-not-remembered": "an agent forgets that it sealed an attempt",
    "claim-after-hand-over": "the run is sent before the claim is granted",
    "restart-counts-as-sealed": "a restarted agent reports 'never ran'",
    "snapshot-drops-claim": "a snapshot leaves the claims out",
    "any-may-settle": "an entry that does not hold the claim frees it",
    "not-run-without-seal": "not-run is reported though an agent is silent",
}


def _set(pair: tuple, who: int, value: int) -> tuple:
    return (value, pair[1]) if who == 0 else (pair[0], value)


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, fault: str = "") -> None:
        self.fault = fault

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return all steps from a state."""
        found: list[tuple[str, tuple]] = []
        for who in (0, 1):
            found += self._entry_steps(dict(zip(FIELDS, state)), who)
            found += self._agent_steps(dict(zip(FIELDS, state)), who)
        found += self._control_steps(dict(zip(FIELDS, state)))
        return found

    def _step(self, name: str, now: dict, **new: object) -> tuple:
        return (name, tuple({**now, **new}[field] for field in FIELDS))

    def _entry_steps(self, now: dict, who: int) -> list:
        label = "AB"[who]
        mine = HELD_A if who == 0 else HELD_B
        other = HELD_B if who == 0 else HELD_A
        found = []
        if not now["alive"][who]:
            return found
        reserved = now["at"][who] == RESERVED
        if now["at"][who] == NONE and not now["sealed"][who]:
            at = _set(now["at"], who, RESERVED)
            found.append(self._step(f"reserve {label}", now, at=at))
        if reserved and now["claim"] == FREE and not now["granted"][who]:
            granted = _set(now["granted"], who, 1)
            found.append(
                self._step(f"claim {label}", now, claim=mine, granted=granted)
            )
        may_send = now["granted"][who] or (
            self.fault == "claim-after-hand-over"
        )
        if reserved and may_send and not now["wire"][who]:
            wire = _set(now["wire"], who, 1)
            found.append(self._step(f"send run {label}", now, wire=wire))
        found += self._resend_steps(now, who, other, label)
        found += self._report_not_run_steps(now, who, label)
        dead = _set(now["alive"], who, 0)
        found.append(self._step(f"entry of {label} dies", now, alive=dead))
        return found

    def _resend_steps(
        self, now: dict, who: int, other: int, label: str
    ) -> list:
        """Have the agent of the claim's holder seal it, then free it."""
        held = now["claim"] == other
        them = 1 - who
        found = []
        if held and not now["seal_ok"][them]:
            fresh = them == 1 or now["fresh"]
            state = now["at"][them]
            if fresh and state in (NONE, RESERVED, LOST):
                never = now["ran"][them] == 0
                at = _set(now["at"], them, ENDED)
                sealed = now["sealed"]
                if self.fault != "seal-not-remembered":
                    sealed = _set(sealed, them, 1)
                else:
                    at = now["at"]
                if never:
                    ok = _set(now["seal_ok"], them, 1)
                    found.append(
                        self._step(
                            f"{label} has the other sealed",
                            now,
                            at=at,
                            sealed=sealed,
                            seal_ok=ok,
                        )
                    )
            if not fresh:
                if self.fault == "restart-counts-as-sealed":
                    ok = _set(now["seal_ok"], them, 1)
                    found.append(
                        self._step(
                            f"{label} trusts a restart", now, seal_ok=ok
                        )
                    )
                else:
                    found.append(
                        self._step(
                            f"{label} settles unknown", now, claim=UNKNOWN
                        )
                    )
        freed = held and now["seal_ok"][them]
        if self.fault == "any-may-settle" and held:
            freed = True
        if freed:
            found.append(
                self._step(f"{label} frees the claim", now, claim=FREE)
            )
        return found

    def _report_not_run_steps(self, now: dict, who: int, label: str) -> list:
        """Report not-run to the caller if nothing was handed over."""
        if now["reported"][who]:
            return []
        handed = now["wire"][who] or now["at"][who] in (RUNNING, ENDED, LOST)
        sealed = now["sealed"][who] and now["ran"][who] == 0
        silent = self.fault == "not-run-without-seal"
        if handed and not sealed and not silent:
            return []
        reported = _set(now["reported"], who, 1)
        # The entry sends nothing after it has reported not-run.
        at = now["at"]
        if at[who] == RESERVED and not handed:
            at = _set(at, who, ENDED)
        sealed_by_release = now["sealed"]
        if not handed:
            sealed_by_release = _set(now["sealed"], who, 1)
        return [
            self._step(
                f"tell not-run {label}",
                now,
                reported=reported,
                at=at,
                sealed=sealed_by_release,
            )
        ]

    def _agent_steps(self, now: dict, who: int) -> list:
        label = "AB"[who]
        found = []
        state = now["at"][who]
        if now["wire"][who]:
            wire = _set(now["wire"], who, 0)
            if state == RESERVED and not now["sealed"][who]:
                found.append(
                    self._step(
                        f"run {label}",
                        now,
                        wire=wire,
                        at=_set(now["at"], who, RUNNING),
                        ran=_set(now["ran"], who, now["ran"][who] + 1),
                    )
                )
            else:
                found.append(self._step(f"drop run {label}", now, wire=wire))
        gone = not now["alive"][who] and not now["wire"][who]
        if state == RESERVED and gone:
            # The link has ended after all of its messages were delivered.
            found.append(
                self._step(
                    f"reservation of {label} ends with its link",
                    now,
                    at=_set(now["at"], who, ENDED),
                    sealed=_set(now["sealed"], who, 1),
                )
            )
        if state == RUNNING:
            mine = HELD_A if who == 0 else HELD_B
            claim = DONE if now["claim"] == mine else now["claim"]
            found.append(
                self._step(
                    f"answer {label}",
                    now,
                    at=_set(now["at"], who, ENDED),
                    claim=claim,
                )
            )
        if who == 0 and now["fresh"]:
            found.append(
                self._step(
                    "agent of A restarts",
                    now,
                    fresh=0,
                    at=_set(now["at"], 0, LOST),
                    sealed=_set(now["sealed"], 0, 0),
                )
            )
        return found

    def _control_steps(self, now: dict) -> list:
        found = []
        if now["snapshot"] == -1 and now["claim"] != FREE:
            kept = now["claim"]
            if self.fault == "snapshot-drops-claim":
                kept = FREE
            found.append(self._step("snapshot", now, snapshot=kept))
        if now["snapshot"] >= 0 and now["snapshot"] != now["claim"]:
            # Replaying the log restores the claim, unless the snapshot
            # dropped it and the log is compacted.
            if self.fault == "snapshot-drops-claim":
                found.append(
                    self._step(
                        "restore", now, claim=now["snapshot"], snapshot=-2
                    )
                )
        return found


def _at_most_once(now: dict) -> bool:
    return sum(now["ran"]) <= 1


def _not_run_is_true(now: dict) -> bool:
    return all(
        not (reported and ran)
        for reported, ran in zip(now["reported"], now["ran"])
    )


def protocol(fault: str = "") -> minicheck.Protocol:
    """Return the model, or one of its mutants."""
    return minicheck.Protocol(
        name="claims",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(fault=fault),
        invariants={
            "at most one run": _at_most_once,
            "not-run did not run": _not_run_is_true,
        },
    )


def variants() -> dict[str, minicheck.Protocol]:
    """Return the checked models by name."""
    return {"all": protocol()}
