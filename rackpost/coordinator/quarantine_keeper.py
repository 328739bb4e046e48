"""Shares evidence on requests and prompt parts under which endpoints ended.

Each gateway reports the ends of endpoints under its requests to every
coordinator; coordinators publish a subject to all gateways once enough
endpoints have ended under it.  Ends seen by several gateways add up.

The evidence is not replicated by consensus: coordinators with the same
evidence quarantine the same subjects, also during a partition or without a
quorum.
"""

import asyncio
import pathlib
from typing import Callable

from rackpost.consensus import storage
from rackpost.coordinator import messages
from rackpost.decide import life_signs
from rackpost.decide import quarantine
from rackpost import exceptions
from rackpost import logs
from rackpost.routing import endpoints
from rackpost import types

# Pause before a failed write is retried.
_RETRY_PAUSE_S = 1.0
# How often endpoints are checked for signs of life.
_WATCH_INTERVAL_S = 1.0
# How often expired evidence is removed.
_EXPIRY_INTERVAL_S = 60.0
# Delay with which evidence against subjects that are known to run well is
# published, in seconds.  It is seldom urgent, and every end of an endpoint
# brings some.
_SOUND_DELAY_S = 0.1

Send = Callable[[messages.Suspicions], None]


class QuarantineFile:
    """The file with one coordinator's evidence; each save replaces it."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._path = folder / "quarantine"

    def load(self) -> tuple[quarantine.Suspicion, ...]:
        """Return the saved evidence, or nothing if it can't be read.

        A damaged file does not keep the coordinator from starting.
        """
        if not self._path.exists():
            return ()
        try:
            found = storage.read_message(self._path, messages.Suspicions)
        except (OSError, exceptions.RackpostError) as exc:
            logs.say(
                logs.Part.COORDINATOR,
                "Requests held back are not known.",
                why=str(exc),
            )
            return ()
        assert isinstance(found, messages.Suspicions)
        return found.items

    async def save(self, msg: messages.Suspicions) -> None:
        """Replace the file's content; raises OSError if that fails."""
        await asyncio.to_thread(storage.write_message, self._path, msg)


class QuarantineKeeper:
    """The quarantine state of one coordinator.

    `send_to_gateways` and `send_to_replicas` send a message to all linked
    gateways and coordinators.
    """

    def __init__(
        self,
        *,
        file: QuarantineFile,
        endpoint_table: endpoints.EndpointTable,
        send_to_gateways: Send,
        send_to_replicas: Send,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.table = quarantine.Quarantine()
        self._endpoint_table = endpoint_table
        self._life_signs = life_signs.LifeSigns()
        self._file = file
        self._send_to_gateways = send_to_gateways
        self._send_to_replicas = send_to_replicas
        self._changed = asyncio.Event()
        # Subjects that gateways have been told of.
        self._published: set[types.Fingerprint] = set()
        # Incarnations reported of sound subjects and not yet published.
        self._delayed: dict[types.Fingerprint, set[endpoints.Incarnation]] = {}
        loaded = self._file.load()
        self.table.add(loaded, self._loop.time())
        if loaded:
            logs.say(
                logs.Part.COORDINATOR,
                "Requests held back are known.",
                suspicions=len(loaded),
                held=len(self.table.quarantined(self._loop.time())),
            )

    def receive(self, msg: messages.Suspicions) -> None:
        """Apply evidence from a gateway or another coordinator.

        Publishes each changed subject with enough evidence.
        """
        now = self._loop.time()
        reported: dict[types.Fingerprint, set[endpoints.Incarnation]] = {}
        for item in msg.items:
            reported.setdefault(item.subject, set()).add(item.incarnation)
        urgent = {}
        for subject in self.table.add(msg.items, now):
            known = self.table.suspicions_of(subject, now)
            if len(known) < quarantine.MIN_ENDED_TO_REPORT:
                continue
            self._changed.set()
            if self.table.is_sound(subject):
                self._delay(subject, reported[subject])
            else:
                urgent[subject] = reported[subject]
        self._publish(urgent)

    def _delay(
        self,
        subject: types.Fingerprint,
        incarnations: set[endpoints.Incarnation],
    ) -> None:
        """Publish a subject a little later, with others."""
        if not self._delayed:
            self._loop.call_later(_SOUND_DELAY_S, self._publish_delayed)
        self._delayed.setdefault(subject, set()).update(incarnations)

    def _publish_delayed(self) -> None:
        delayed, self._delayed = self._delayed, {}
        self._publish(delayed)

    def _publish(
        self, subjects: dict[types.Fingerprint, set[endpoints.Incarnation]]
    ) -> None:
        """Send gateways what they need to decide as this process does.

        That is all that is known of a subject at first, and later what was
        reported since.
        """
        now = self._loop.time()
        items = []
        for subject, incarnations in subjects.items():
            self._log_subject(subject, now)
            items += [
                item
                for item in self.table.suspicions_of(subject, now)
                if subject not in self._published
                or item.incarnation in incarnations
            ]
            self._published.add(subject)
        if items:
            self._send_to_gateways(messages.Suspicions(items=tuple(items)))

    def _log_subject(self, subject: types.Fingerprint, now: float) -> None:
        held_s = self.table.remaining_s(subject, now)
        if self.table.is_sound(subject) and not held_s:
            # Each end of an endpoint is held against all parts that its
            # requests share.
            return
        logs.say(
            logs.Part.COORDINATOR,
            "Endpoints ended under a request.",
            fingerprint=subject.hex(),
            place=self.table.place(subject),
            runs_well=self.table.is_sound(subject),
            endpoints=self.table.ended_endpoints(subject),
            held_s=round(held_s),
        )

    def initial_evidence(self) -> messages.Suspicions | None:
        """Return the evidence for a newly linked gateway; None if none."""
        items = self.table.suspicions(
            quarantine.MIN_ENDED_TO_REPORT, self._loop.time()
        )
        return messages.Suspicions(items=items) if items else None

    def release(self, subject: types.Fingerprint) -> bool:
        """Release a subject from quarantine on behalf of an operator.

        Also informs the other coordinators, since some gateways may not be
        linked to this one.  Returns whether the subject was quarantined.
        """
        if not self.table.is_quarantined(subject, self._loop.time()):
            return False
        msg = messages.Suspicions(items=self.table.clearances(subject))
        self.receive(msg)
        self._send_to_replicas(msg)
        return True

    async def watch(self) -> None:
        """Clear subjects whose endpoints live on, until cancelled.

        The gateways that saw the connections break may be gone.
        """
        while True:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            if not len(self.table):
                continue
            self._life_signs.sample(self._endpoint_table)
            cleared = self.table.clearances_by_life(
                self._life_signs.lived_until()
            )
            if cleared:
                self._log_alive(cleared)
                self.receive(messages.Suspicions(items=cleared))

    def _log_alive(self, items: tuple[quarantine.Suspicion, ...]) -> None:
        logs.say(
            logs.Part.COORDINATOR,
            "Endpoints are alive, their requests are cleared.",
            endpoints=sorted({item.endpoint for item in items}),
            subjects=len({item.subject for item in items}),
        )

    async def run(self) -> None:
        """Save changes and remove expired evidence until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_EXPIRY_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                self.table.forget(self._loop.time())
                self._published = {
                    item for item in self._published if item in self.table
                }
                continue
            self._changed.clear()
            await self._save()

    async def _save(self) -> None:
        msg = messages.Suspicions(
            items=self.table.suspicions(
                quarantine.MIN_ENDED_TO_REPORT, self._loop.time()
            )
        )
        try:
            await self._file.save(msg)
        except OSError as exc:
            logs.say(
                logs.Part.COORDINATOR,
                "Requests held back are not saved.",
                why=str(exc),
            )
            self._changed.set()
            await asyncio.sleep(_RETRY_PAUSE_S)


def parse_fingerprint(text: str) -> types.Fingerprint | None:
    """Return the fingerprint written in hexadecimal; None if malformed."""
    try:
        return types.Fingerprint(bytes.fromhex(text))
    except ValueError:
        # Malformed input is answered like an unknown request.
        return None
