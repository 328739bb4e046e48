"""Requests under which endpoints ended: counted over all gateways, kept.

Each gateway tells every coordinator of what ended under its requests, and
coordinators tell all gateways of a request once enough has.  So ends that
several gateways saw add up, and what is rare costs a message or two: no
gateway is told of the hundreds of runs that an end of many endpoints breaks.

It is neither in the log nor agreed upon: books that were told the same hold
back the same, on both sides of a cut, and without a quorum.
"""

import asyncio
import pathlib
from typing import Callable

from rackpost.consensus import storage
from rackpost.coordinator import messages
from rackpost.decide import quarantine
from rackpost import exceptions
from rackpost import logs
from rackpost import types

# A full or faulty disk is tried again this often, in seconds.
_AGAIN_S = 1.0
# How often what has long been known is looked through, in seconds.
_FORGET_S = 60.0

Tell = Callable[[messages.Suspicions], None]


class QuarantineFile:
    """What one coordinator keeps on its disk, as a whole each time."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._path = folder / "quarantine"

    def load(self) -> tuple[quarantine.Suspicion, ...]:
        """What was saved; nothing if that can't be read.

        A coordinator must start whatever the file holds.
        """
        if not self._path.exists():
            return ()
        try:
            found = storage.read_one(self._path, messages.Suspicions)
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
        """Put this in place of what there is; OSError if that fails."""
        await asyncio.to_thread(storage.write_one, self._path, msg)


class QuarantineKeeper:
    """The book of one coordinator.

    `tell_gateways` and `tell_replicas` send a message to all that are linked.
    """

    def __init__(
        self,
        *,
        file: QuarantineFile,
        tell_gateways: Tell,
        tell_replicas: Tell,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.table = quarantine.Quarantine()
        self._file = file
        self._tell_gateways = tell_gateways
        self._tell_replicas = tell_replicas
        self._changed = asyncio.Event()
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
        """Take what a gateway or another coordinator tells."""
        for request in self.table.add(msg.items, self._loop.time()):
            known = self.table.suspicions_of(request)
            if len(known) < quarantine.MIN_ENDED_TO_REPORT:
                continue
            self._log(request)
            self._changed.set()
            # Gateways judge by the same as coordinators do.
            self._tell_gateways(messages.Suspicions(items=known))

    def _log(self, request: types.Fingerprint) -> None:
        now = self._loop.time()
        logs.say(
            logs.Part.COORDINATOR,
            "Endpoints ended under a request.",
            fingerprint=request.hex(),
            endpoints=self.table.ended_endpoints(request),
            held_s=round(self.table.remaining_s(request, now)),
        )

    def for_newcomer(self) -> messages.Suspicions | None:
        """What a gateway that has just linked has to know, if anything."""
        items = self.table.suspicions(quarantine.MIN_ENDED_TO_REPORT)
        return messages.Suspicions(items=items) if items else None

    def release(self, request: types.Fingerprint) -> bool:
        """An operator says that a request ends nothing; whether it was held.

        The other coordinators are told, in case that gateways are not linked
        to this one.
        """
        if not self.table.is_quarantined(request, self._loop.time()):
            return False
        msg = messages.Suspicions(items=self.table.clearances(request))
        self.receive(msg)
        self._tell_replicas(msg)
        return True

    async def run(self) -> None:
        """Keep the file as the book is, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_FORGET_S):
                    await self._changed.wait()
            except TimeoutError:
                self.table.forget(self._loop.time())
                continue
            self._changed.clear()
            await self._save()

    async def _save(self) -> None:
        msg = messages.Suspicions(
            items=self.table.suspicions(quarantine.MIN_ENDED_TO_REPORT)
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
            await asyncio.sleep(_AGAIN_S)


def of_hex(text: str) -> types.Fingerprint | None:
    """The digest that a text of hexadecimal digits is; None if it is none."""
    try:
        return types.Fingerprint(bytes.fromhex(text))
    except ValueError:
        # An operator's typing error is answered as an unknown request.
        return None
