"""Model of schedulers: no place is granted twice over a change of owner.

There are two gateways, two schedulers and one place.  Scheduler 0 is the
better choice; it may restart and then knows nothing.  Links break only with
that restart, and are made again one by one.  Messages on a link arrive in
order, after any delay.

A gateway uses scheduler 0 without being asked for its holdings only once all
gateways are linked to it: it waits for longer than links take to be made
(`scheduler/choice.py`).  Partitions are not modelled: gateways that reach
different schedulers for long check grants by their own knowledge.
"""

import minicheck

GATEWAYS = (0, 1)
SCHEDULERS = (0, 1)
# Bounds the state space.
MAX_RESTARTS = 1
MAX_ASKS = 1

# Messages to a gateway.
QUERY, GRANT = "query", "grant"
# Messages to a scheduler.
ASK, CANCEL, CHOSEN, NOT_CHOSEN = "ask", "cancel", "chosen", "not chosen"
# Complete reports: (REPORT, holds, chosen).
REPORT = "report"

# What a scheduler knows of a gateway: (reported, uses this, holds, asks).
_UNKNOWN = (0, 0, 0, 0)

FIELDS = (
    "linked",  # whether each gateway is linked to scheduler 0
    "choice",  # the scheduler that each gateway uses
    "asked",  # whether each gateway waits for a grant
    "holds",  # whether each gateway holds the place
    "queried",  # for each gateway, whether each scheduler asked for holdings
    "active",  # whether each scheduler is active
    "known",  # what each scheduler knows of each gateway
    "down",  # messages to each gateway from each scheduler
    "up",  # messages from each gateway to each scheduler
    "restarts",
    "asks",  # how often each gateway has asked
)
INITIAL = (
    (1, 1),
    (0, 0),
    (0, 0),
    (0, 0),
    ((0, 0), (0, 0)),
    (0, 0),
    ((_UNKNOWN, _UNKNOWN), (_UNKNOWN, _UNKNOWN)),
    (((), ()), ((), ())),
    (((), ()), ((), ())),
    0,
    (0, 0),
)

MUTANTS = {
    "grants-before-reports": "a scheduler grants before all have reported",
    "late-grant-used": "a gateway uses a grant after it has moved on",
    "no-settling": "a gateway uses a scheduler that others may not reach",
}


def _set(pair: tuple, index: int, value: object) -> tuple:
    return (value, pair[1]) if index == 0 else (pair[0], value)


def _set2(pairs: tuple, first: int, second: int, value: object) -> tuple:
    return _set(pairs, first, _set(pairs[first], second, value))


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, fault: str = "") -> None:
        self.fault = fault

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return all steps from a state."""
        now = dict(zip(FIELDS, state))
        found = []
        for gateway in GATEWAYS:
            found += self._gateway_steps(now, gateway)
            for scheduler in SCHEDULERS:
                found += self._down_steps(now, gateway, scheduler)
                found += self._up_steps(now, gateway, scheduler)
        for scheduler in SCHEDULERS:
            found += self._grant_steps(now, scheduler)
        found += self._restart_steps(now)
        return found

    def _step(self, name: str, now: dict, **new: object) -> tuple:
        return (name, tuple({**now, **new}[field] for field in FIELDS))

    def _is_linked(self, now: dict, gateway: int, scheduler: int) -> bool:
        return scheduler == 1 or bool(now["linked"][gateway])

    def _send_up(
        self, now: dict, gateway: int, scheduler: int, *items: object
    ) -> dict:
        if not self._is_linked(now, gateway, scheduler):
            return now
        queue = now["up"][gateway][scheduler] + items
        return {**now, "up": _set2(now["up"], gateway, scheduler, queue)}

    def _choose(self, now: dict, gateway: int, scheduler: int) -> dict:
        """Have a gateway use a scheduler, and ask there what it asked for."""
        before = now["choice"][gateway]
        if before == scheduler:
            return now
        now = {**now, "choice": _set(now["choice"], gateway, scheduler)}
        now = self._send_up(now, gateway, scheduler, CHOSEN)
        if now["queried"][gateway][before]:
            now = self._send_up(now, gateway, before, NOT_CHOSEN)
        if now["asked"][gateway] and self.fault != "late-grant-used":
            now = self._send_up(now, gateway, before, CANCEL)
            now = self._send_up(now, gateway, scheduler, ASK)
        return now

    def _gateway_steps(self, now: dict, gateway: int) -> list:
        found = []
        choice = now["choice"][gateway]
        idle = not now["asked"][gateway] and not now["holds"][gateway]
        asks = now["asks"][gateway]
        may_ask = idle and asks < MAX_ASKS
        if may_ask and self._is_linked(now, gateway, choice):
            new = self._send_up(now, gateway, choice, ASK)
            new = {
                **new,
                "asked": _set(now["asked"], gateway, 1),
                "asks": _set(now["asks"], gateway, asks + 1),
            }
            found.append(self._step(f"{gateway} asks {choice}", new))
        if now["holds"][gateway]:
            new = {**now, "holds": _set(now["holds"], gateway, 0)}
            for scheduler in SCHEDULERS:
                if now["queried"][gateway][scheduler]:
                    new = self._send_up(new, gateway, scheduler, CANCEL)
            found.append(self._step(f"{gateway} releases", new))
        linked = now["linked"]
        settled = all(linked) or self.fault == "no-settling"
        if choice == 1 and linked[gateway] and settled:
            new = self._choose(now, gateway, 0)
            found.append(self._step(f"{gateway} chooses 0", new))
        if choice == 0 and not linked[gateway]:
            new = self._choose(now, gateway, 1)
            found.append(self._step(f"{gateway} chooses 1", new))
        return found

    def _down_steps(self, now: dict, gateway: int, scheduler: int) -> list:
        """A gateway receives a message."""
        queue = now["down"][gateway][scheduler]
        if not queue:
            return []
        msg, rest = queue[0], queue[1:]
        new = {**now, "down": _set2(now["down"], gateway, scheduler, rest)}
        if msg == QUERY:
            queried = _set2(now["queried"], gateway, scheduler, 1)
            new = {**new, "queried": queried}
            if scheduler == 0:
                new = self._choose(new, gateway, 0)
            uses = int(new["choice"][gateway] == scheduler)
            report = (REPORT, new["holds"][gateway], uses)
            new = self._send_up(new, gateway, scheduler, report)
        elif self._uses_grant(now, gateway, scheduler):
            new = {
                **new,
                "asked": _set(now["asked"], gateway, 0),
                "holds": _set(now["holds"], gateway, 1),
            }
            # All schedulers that asked for holdings are told.
            other = 1 - scheduler
            if now["queried"][gateway][other]:
                uses = int(new["choice"][gateway] == other)
                new = self._send_up(new, gateway, other, (REPORT, 1, uses))
        # A grant that is not used was cancelled when the gateway moved.
        return [self._step(f"{gateway} gets {msg} of {scheduler}", new)]

    def _uses_grant(self, now: dict, gateway: int, scheduler: int) -> bool:
        if not now["asked"][gateway]:
            return False
        moved = now["choice"][gateway] != scheduler
        return not moved or self.fault == "late-grant-used"

    def _up_steps(self, now: dict, gateway: int, scheduler: int) -> list:
        """A scheduler receives a message."""
        queue = now["up"][gateway][scheduler]
        if not queue:
            return []
        msg, rest = queue[0], queue[1:]
        new = {**now, "up": _set2(now["up"], gateway, scheduler, rest)}
        if msg in (ASK, CHOSEN) and not now["active"][scheduler]:
            new = self._activate(new, scheduler)
        known = new["known"][scheduler][gateway]
        reported, uses, holds, asks = known
        if msg == ASK:
            asks = 1
        elif msg == CANCEL:
            holds, asks = 0, 0
        elif msg == CHOSEN:
            uses = 1
        elif msg == NOT_CHOSEN:
            uses = 0
        elif new["active"][scheduler]:
            reported, holds, uses = 1, msg[1], msg[2]
        known = (reported, uses, holds, asks)
        new = {
            **new,
            "known": _set2(new["known"], scheduler, gateway, known),
        }
        return [self._step(f"{scheduler} gets {msg} of {gateway}", new)]

    def _activate(self, now: dict, scheduler: int) -> dict:
        """Ask all linked gateways for their holdings."""
        now = {**now, "active": _set(now["active"], scheduler, 1)}
        down = now["down"]
        for gateway in GATEWAYS:
            if self._is_linked(now, gateway, scheduler):
                queue = down[gateway][scheduler] + (QUERY,)
                down = _set2(down, gateway, scheduler, queue)
        return {**now, "down": down}

    def _grant_steps(self, now: dict, scheduler: int) -> list:
        if not now["active"][scheduler]:
            return []
        known = now["known"][scheduler]
        linked = [
            known[gateway]
            for gateway in GATEWAYS
            if self._is_linked(now, gateway, scheduler)
        ]
        ready = all(item[0] for item in linked)
        if not ready and self.fault != "grants-before-reports":
            return []
        chosen = all(item[1] for item in linked)
        if not chosen:
            return []
        if any(item[2] for item in known):
            return []
        found = []
        for gateway in GATEWAYS:
            reported, uses, _, asks = known[gateway]
            if not asks or not self._is_linked(now, gateway, scheduler):
                continue
            queue = now["down"][gateway][scheduler] + (GRANT,)
            new = {
                **now,
                "known": _set2(
                    now["known"], scheduler, gateway, (reported, uses, 1, 0)
                ),
                "down": _set2(now["down"], gateway, scheduler, queue),
            }
            found.append(self._step(f"{scheduler} grants {gateway}", new))
        return found

    def _restart_steps(self, now: dict) -> list:
        found = []
        if now["restarts"] < MAX_RESTARTS:
            new = {
                **now,
                "restarts": now["restarts"] + 1,
                "linked": (0, 0),
                "active": _set(now["active"], 0, 0),
                "known": _set(now["known"], 0, (_UNKNOWN, _UNKNOWN)),
            }
            for gateway in GATEWAYS:
                for field in ("queried", "down", "up"):
                    empty = 0 if field == "queried" else ()
                    new[field] = _set2(new[field], gateway, 0, empty)
            found.append(self._step("0 restarts", new))
        for gateway in GATEWAYS:
            # It has noticed that the link is lost before it makes another.
            if now["linked"][gateway] or now["choice"][gateway] == 0:
                continue
            new = {**now, "linked": _set(now["linked"], gateway, 1)}
            if now["active"][0]:
                queue = now["down"][gateway][0] + (QUERY,)
                new["down"] = _set2(now["down"], gateway, 0, queue)
            found.append(self._step(f"{gateway} links to 0", new))
        return found


def _one_holder(now: dict) -> bool:
    return sum(now["holds"]) <= 1


def protocol(fault: str = "") -> minicheck.Protocol:
    """Return the model, or one of its mutants."""
    return minicheck.Protocol(
        name="scheduler",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(fault=fault),
        invariants={"a place has one holder": _one_holder},
    )


def variants() -> dict[str, minicheck.Protocol]:
    """Return the checked models by name."""
    return {"all": protocol()}
