"""Model of schedulers: no place is granted twice over a change of owner.

There are two gateways, two schedulers and one place.  Scheduler 0 is the
better choice; it may restart and then knows nothing.  Gateway 1 may restart
and then holds nothing and uses no scheduler.  Links break only with these
restarts, and are made again one by one; the scheduler does not restart while
a gateway still has to make a link to the other one.  Messages on a link arrive
in order, after any delay that is shorter than a gateway's start.

A gateway uses a scheduler without being asked for its holdings only once
links have settled: it waits for longer than links take to be made
(`scheduler/choice.py`), so that all gateways are linked to scheduler 0, or
none can be.  Partitions are not modelled: gateways that reach different
schedulers for long check grants by their own knowledge.
"""

import minicheck

GATEWAYS = (0, 1)
SCHEDULERS = (0, 1)
# Bounds the state space.
MAX_ASKS = 1

# Which scheduler a gateway uses, as one of them knows it.
THIS, OTHER, NONE = "this", "other", "none"
# The choice of a gateway that uses no scheduler.
NOBODY = 2

# Messages to a gateway.
QUERY, GRANT = "query", "grant"
# Messages to a scheduler.
ASK, CANCEL = "ask", "cancel"
# Choices: (USE, use).  Reports: (REPORT, holds, use).
USE, REPORT = "use", "report"

# What a scheduler knows of a gateway: (reported, use, holds, asks, awaited).
# A scheduler awaits the report of those that were linked when it began.
_UNKNOWN = (0, NONE, 0, 0, 0)

FIELDS = (
    "linked",  # whether each gateway is linked to each scheduler
    "choice",  # the scheduler that each gateway uses
    "asked",  # whether each gateway waits for a grant
    "holds",  # whether each gateway holds the place
    "queried",  # for each gateway, whether each scheduler asked for holdings
    "active",  # whether each scheduler is active
    "known",  # what each scheduler knows of each gateway
    "down",  # messages to each gateway from each scheduler
    "up",  # messages from each gateway to each scheduler
    "restarts",  # of scheduler 0
    "gateway_restarts",
    "asks",  # how often each gateway has asked
)
INITIAL = (
    ((1, 1), (1, 1)),
    (0, 0),
    (0, 0),
    (0, 0),
    ((0, 0), (0, 0)),
    (0, 0),
    ((_UNKNOWN, _UNKNOWN), (_UNKNOWN, _UNKNOWN)),
    (((), ()), ((), ())),
    (((), ()), ((), ())),
    0,
    0,
    (0, 0),
)

MUTANTS = {
    "grants-before-reports": "a scheduler grants before all have reported",
    "late-grant-used": "a gateway uses a grant after it has moved on",
    "no-settling": "a gateway uses a scheduler that others may not reach",
    "ignores-choices": "a scheduler grants while a gateway uses another",
    "grants-unreported": "a gateway is granted before it has reported",
}
# The restarts, of scheduler 0 and of gateway 1, at which a fault shows if it
# does not at one of the scheduler alone.
_RESTARTS = {"ignores-choices": (1, 1), "grants-unreported": (0, 1)}


def _set(pair: tuple, index: int, value: object) -> tuple:
    return (value, pair[1]) if index == 0 else (pair[0], value)


def _set2(pairs: tuple, first: int, second: int, value: object) -> tuple:
    return _set(pairs, first, _set(pairs[first], second, value))


class Steps:
    """The transitions; `fault` names the mutant, if any.

    Scheduler 0 and gateway 1 restart up to the given numbers of times.
    """

    def __init__(
        self, *, fault: str = "", restarts: int, gateway_restarts: int
    ) -> None:
        self.fault = fault
        self._max_restarts = restarts
        self._max_gateway_restarts = gateway_restarts

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
        return bool(now["linked"][gateway][scheduler])

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
        now = self._send_up(now, gateway, scheduler, (USE, THIS))
        other = 1 - scheduler
        if now["queried"][gateway][other]:
            now = self._send_up(now, gateway, other, (USE, OTHER))
        if now["asked"][gateway] and self.fault != "late-grant-used":
            now = self._send_up(now, gateway, other, CANCEL)
            now = self._send_up(now, gateway, scheduler, ASK)
        return now

    def _settled(self, now: dict, gateway: int, scheduler: int) -> bool:
        """Whether a gateway uses a scheduler that has not asked it."""
        linked = now["linked"]
        if not linked[gateway][scheduler]:
            return False
        if scheduler == 0:
            return self.fault == "no-settling" or all(
                linked[item][0] for item in GATEWAYS
            )
        return not any(linked[item][0] for item in GATEWAYS)

    def _gateway_steps(self, now: dict, gateway: int) -> list:
        found = []
        choice = now["choice"][gateway]
        idle = not now["asked"][gateway] and not now["holds"][gateway]
        asks = now["asks"][gateway]
        may_ask = idle and asks < MAX_ASKS and choice != NOBODY
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
        if choice != 0 and self._settled(now, gateway, 0):
            new = self._choose(now, gateway, 0)
            found.append(self._step(f"{gateway} chooses 0", new))
        lost = choice == 0 and not self._is_linked(now, gateway, 0)
        starts = choice == NOBODY and self._settled(now, gateway, 1)
        if (lost or starts) and self._is_linked(now, gateway, 1):
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
            if scheduler == 0 or new["choice"][gateway] == NOBODY:
                new = self._choose(new, gateway, scheduler)
            use = self._use(new, gateway, scheduler)
            report = (REPORT, new["holds"][gateway], use)
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
                use = self._use(new, gateway, other)
                new = self._send_up(new, gateway, other, (REPORT, 1, use))
        # A grant that is not used was cancelled when the gateway moved.
        return [self._step(f"{gateway} gets {msg} of {scheduler}", new)]

    def _use(self, now: dict, gateway: int, scheduler: int) -> str:
        choice = now["choice"][gateway]
        if choice == NOBODY:
            return NONE
        return THIS if choice == scheduler else OTHER

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
        begins = msg in (ASK, (USE, THIS))
        if begins and not now["active"][scheduler]:
            new = self._activate(new, scheduler)
        known = new["known"][scheduler][gateway]
        reported, use, holds, asks, awaited = known
        if msg == ASK:
            asks = 1
        elif msg == CANCEL:
            holds, asks = 0, 0
        elif msg[0] == USE:
            use = msg[1]
        elif new["active"][scheduler]:
            reported, holds, use, awaited = 1, msg[1], msg[2], 0
        known = (reported, use, holds, asks, awaited)
        new = {
            **new,
            "known": _set2(new["known"], scheduler, gateway, known),
        }
        return [self._step(f"{scheduler} gets {msg} of {gateway}", new)]

    def _activate(self, now: dict, scheduler: int) -> dict:
        """Ask all linked gateways for their holdings."""
        now = {**now, "active": _set(now["active"], scheduler, 1)}
        for gateway in GATEWAYS:
            if self._is_linked(now, gateway, scheduler):
                now = self._query(now, gateway, scheduler, awaited=1)
        return now

    def _query(
        self, now: dict, gateway: int, scheduler: int, *, awaited: int
    ) -> dict:
        """Record a link; what the gateway holds counts until it reports."""
        _, use, holds, asks, before = now["known"][scheduler][gateway]
        known = (0, use, holds, asks, before or awaited)
        queue = now["down"][gateway][scheduler] + (QUERY,)
        return {
            **now,
            "known": _set2(now["known"], scheduler, gateway, known),
            "down": _set2(now["down"], gateway, scheduler, queue),
        }

    def _grant_steps(self, now: dict, scheduler: int) -> list:
        if not now["active"][scheduler]:
            return []
        known = now["known"][scheduler]
        linked = [
            known[gateway]
            for gateway in GATEWAYS
            if self._is_linked(now, gateway, scheduler)
        ]
        awaits = any(item[4] for item in linked)
        if awaits and self.fault != "grants-before-reports":
            return []
        elsewhere = any(item[1] == OTHER for item in linked)
        if elsewhere and self.fault != "ignores-choices":
            return []
        if any(item[2] for item in known):
            return []
        return [
            self._step(
                f"{scheduler} grants {gateway}",
                self._grant(now, gateway, scheduler),
            )
            for gateway in GATEWAYS
            if self._may_be_granted(now, gateway, scheduler)
        ]

    def _may_be_granted(self, now: dict, gateway: int, scheduler: int) -> bool:
        reported, _, _, asks, _ = now["known"][scheduler][gateway]
        if not asks or not self._is_linked(now, gateway, scheduler):
            return False
        return bool(reported) or self.fault == "grants-unreported"

    def _grant(self, now: dict, gateway: int, scheduler: int) -> dict:
        reported, use, _, _, awaited = now["known"][scheduler][gateway]
        known = (reported, use, 1, 0, awaited)
        queue = now["down"][gateway][scheduler] + (GRANT,)
        return {
            **now,
            "known": _set2(now["known"], scheduler, gateway, known),
            "down": _set2(now["down"], gateway, scheduler, queue),
        }

    def _restart_steps(self, now: dict) -> list:
        found = []
        others = all(now["linked"][gateway][1] for gateway in GATEWAYS)
        if now["restarts"] < self._max_restarts and others:
            new = {
                **now,
                "restarts": now["restarts"] + 1,
                "active": _set(now["active"], 0, 0),
                "known": _set(now["known"], 0, (_UNKNOWN, _UNKNOWN)),
            }
            for gateway in GATEWAYS:
                new = self._unlink(new, gateway, 0)
            found.append(self._step("scheduler 0 restarts", new))
        if now["gateway_restarts"] < self._max_gateway_restarts:
            new = self._restart_gateway(now, 1)
            found.append(self._step("gateway 1 restarts", new))
        for gateway in GATEWAYS:
            for scheduler in SCHEDULERS:
                found += self._link_steps(now, gateway, scheduler)
        return found

    def _unlink(self, now: dict, gateway: int, scheduler: int) -> dict:
        """Lose a link and what is on it; leases count until they lapse."""
        now = {**now, "linked": _set2(now["linked"], gateway, scheduler, 0)}
        for field in ("queried", "down", "up"):
            empty = 0 if field == "queried" else ()
            now[field] = _set2(now[field], gateway, scheduler, empty)
        reported, use, holds, _, awaited = now["known"][scheduler][gateway]
        known = (reported, use, holds, 0, awaited)
        now["known"] = _set2(now["known"], scheduler, gateway, known)
        return now

    def _restart_gateway(self, now: dict, gateway: int) -> dict:
        now = {
            **now,
            "gateway_restarts": now["gateway_restarts"] + 1,
            "choice": _set(now["choice"], gateway, NOBODY),
            "asked": _set(now["asked"], gateway, 0),
            "holds": _set(now["holds"], gateway, 0),
        }
        for scheduler in SCHEDULERS:
            now = self._unlink(now, gateway, scheduler)
        return now

    def _link_steps(self, now: dict, gateway: int, scheduler: int) -> list:
        # It has noticed that the link is lost before it makes another.
        if now["linked"][gateway][scheduler]:
            return []
        choice = now["choice"][gateway]
        if choice == scheduler:
            return []
        other = 1 - gateway
        if choice == NOBODY and any(now["up"][other] + now["down"][other]):
            # What was sent before has arrived when this one has started.
            return []
        new = {**now, "linked": _set2(now["linked"], gateway, scheduler, 1)}
        if now["active"][scheduler]:
            new = self._query(new, gateway, scheduler, awaited=0)
        return [self._step(f"{gateway} links to {scheduler}", new)]


def _one_holder(now: dict) -> bool:
    return sum(now["holds"]) <= 1


def protocol(
    fault: str = "", *, restarts: int = 1, gateway_restarts: int = 0
) -> minicheck.Protocol:
    """Return the model, or one of its mutants."""
    restarts, gateway_restarts = _RESTARTS.get(
        fault, (restarts, gateway_restarts)
    )
    return minicheck.Protocol(
        name="scheduler",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(
            fault=fault, restarts=restarts, gateway_restarts=gateway_restarts
        ),
        invariants={"a place has one holder": _one_holder},
    )


def variants() -> dict[str, minicheck.Protocol]:
    """Return the checked models by name."""
    return {
        "a scheduler restarts": protocol(),
        "a gateway restarts": protocol(restarts=0, gateway_restarts=1),
        "both restart": protocol(gateway_restarts=1),
    }
