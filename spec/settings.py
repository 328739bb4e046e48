"""Model of settings: accepted revisions reach a process and never revert.

Two control replicas, of which one may be cut off; a process that watches
one of them, changes between them and restarts.  Feeds may be late.
"""

import minicheck

LAST = 3

FIELDS = (
    "committed",  # the last accepted revision
    "replica",  # revision applied by each replica
    "cut",  # the second replica is cut off
    "mine",  # revision that the process runs on
    "ready",  # whether it serves
    "best",  # highest revision that it ever served on
    "watch",  # replica that it watches, -1 for none
    "feed",  # revisions on the way to it
    "skipped",  # it applied a revision without the one before
)
INITIAL = (0, (0, 0), 0, 0, 0, 0, -1, (), 0)

MUTANTS = {
    "lower-revision-applied": "a late feed is applied as it comes",
    "read-not-confirmed": "a restarted process reads any replica",
    "gap-applied": "a feed is applied though the one before is missing",
}


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, fault: str = "") -> None:
        self.fault = fault

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """All steps from a state."""
        now = dict(zip(FIELDS, state))
        return [
            *self._control_steps(now),
            *self._watch_steps(now),
            *self._feed_steps(now),
        ]

    def _step(self, name: str, now: dict, **new: object) -> tuple:
        return (name, tuple({**now, **new}[field] for field in FIELDS))

    def _control_steps(self, now: dict) -> list:
        found = []
        first, second = now["replica"]
        if now["committed"] < LAST:
            # A quorum, of which the first replica is one, has it synced.
            new = now["committed"] + 1
            found.append(
                self._step("accept", now, committed=new, replica=(new, second))
            )
        if not now["cut"] and second < now["committed"]:
            replica = (first, second + 1)
            found.append(self._step("replicate", now, replica=replica))
        found.append(self._step("cut or heal", now, cut=1 - now["cut"]))
        return found

    def _watch_steps(self, now: dict) -> list:
        found = []
        for which in (0, 1):
            confirmed = now["replica"][which] == now["committed"] and not (
                which == 1 and now["cut"]
            )
            loose = self.fault == "read-not-confirmed"
            if which == 1 and now["cut"] and not loose:
                continue
            if now["watch"] == -1 and (confirmed or loose):
                revision = now["replica"][which]
                higher = max(now["mine"], revision)
                if loose and not now["ready"]:
                    higher = revision
                found.append(
                    self._step(
                        f"watch replica {which}",
                        now,
                        watch=which,
                        mine=higher,
                        ready=1,
                        best=max(now["best"], higher),
                    )
                )
        if now["watch"] != -1:
            found.append(self._step("link ends", now, watch=-1, feed=()))
            found.append(
                self._step(
                    "process restarts",
                    now,
                    watch=-1,
                    feed=(),
                    mine=0,
                    ready=0,
                )
            )
        return found

    def _feed_steps(self, now: dict) -> list:
        found = []
        which = now["watch"]
        if which != -1 and len(now["feed"]) < 2:
            if which == 0 or not now["cut"]:
                for revision in range(1, now["replica"][which] + 1):
                    feed = now["feed"] + (revision,)
                    found.append(self._step("feed", now, feed=feed))
        for revision in now["feed"]:
            feed = tuple(item for item in now["feed"] if item != revision)
            found.append(self._apply(now, revision, feed))
        return found

    def _apply(self, now: dict, revision: int, feed: tuple) -> tuple:
        mine = now["mine"]
        skipped = now["skipped"]
        next_one = revision == mine + 1
        if self.fault == "lower-revision-applied":
            next_one = next_one or revision < mine
        if self.fault == "gap-applied" and revision > mine + 1:
            next_one, skipped = True, 1
        if not next_one:
            return self._step("drop feed", now, feed=feed)
        return self._step(
            "apply feed",
            now,
            feed=feed,
            mine=revision,
            best=max(now["best"], revision),
            skipped=skipped,
        )


def _never_back(now: dict) -> bool:
    return not now["ready"] or now["mine"] >= now["best"]


def _fresh_when_served(now: dict) -> bool:
    return now["mine"] <= now["committed"]


def _no_gap(now: dict) -> bool:
    return not now["skipped"]


def protocol(fault: str = "") -> minicheck.Protocol:
    """The model, or one of its mutants."""
    invariants = {
        "never back": _never_back,
        "nothing that was not accepted": _fresh_when_served,
        "no gap": _no_gap,
    }
    return minicheck.Protocol(
        name="settings",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(fault=fault),
        invariants=invariants,
    )


def variants() -> dict[str, minicheck.Protocol]:
    """The model as it is checked."""
    return {"all": protocol()}
