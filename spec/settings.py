"""Model of settings: accepted revisions reach a process and never revert.

There are two control replicas, of which one may be partitioned, and a
process that watches one of them, may switch and may restart.  Feeds may be
delayed.
"""

import minicheck

LAST = 3

FIELDS = (
    "committed",  # the last accepted revision
    "replica",  # revision applied by each replica
    "cut",  # whether the second replica is partitioned
    "mine",  # revision in force at the process
    "ready",  # whether the process serves
    "best",  # highest revision that the process has served with
    "watch",  # replica that the process watches, -1 for none
    "feed",  # revisions in transit to the process
    "skipped",  # whether the process applied a revision after a gap
)
INITIAL = (0, (0, 0), 0, 0, 0, 0, -1, (), 0)

MUTANTS = {
    "lower-revision-applied": "a delayed feed is applied",
    "read-not-confirmed": "a restarted process reads any replica",
    "gap-applied": "a feed is applied though the previous one is missing",
}


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, fault: str = "") -> None:
        self.fault = fault

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return all steps from a state."""
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
            # A quorum that includes the first replica has synced it.
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
            unconfirmed_reads = self.fault == "read-not-confirmed"
            if which == 1 and now["cut"] and not unconfirmed_reads:
                continue
            if now["watch"] == -1 and (confirmed or unconfirmed_reads):
                revision = now["replica"][which]
                higher = max(now["mine"], revision)
                if unconfirmed_reads and not now["ready"]:
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
        applies = revision == mine + 1
        if self.fault == "lower-revision-applied":
            applies = applies or revision < mine
        if self.fault == "gap-applied" and revision > mine + 1:
            applies, skipped = True, 1
        if not applies:
            return self._step("drop feed", now, feed=feed)
        return self._step(
            "apply feed",
            now,
            feed=feed,
            mine=revision,
            best=max(now["best"], revision),
            skipped=skipped,
        )


def _never_reverts(now: dict) -> bool:
    return not now["ready"] or now["mine"] >= now["best"]


def _serves_only_accepted(now: dict) -> bool:
    return now["mine"] <= now["committed"]


def _no_gap(now: dict) -> bool:
    return not now["skipped"]


def protocol(fault: str = "") -> minicheck.Protocol:
    """Return the model, or one of its mutants."""
    invariants = {
        "never reverts": _never_reverts,
        "only accepted revisions are served": _serves_only_accepted,
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
    """Return the checked models by name."""
    return {"all": protocol()}
