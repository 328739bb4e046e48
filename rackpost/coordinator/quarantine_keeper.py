"""Shares evidence on requests under which endpoints ended.

Each gateway reports the ends of endpoints under its requests to every
coordinator; coordinators publish a request to all gateways once enough
endpoints have ended under it.  Ends seen by several gateways add up.

The evidence is not replicated by consensus: coordinators with the same
evidence quarantine the same requests, also during a partition or without a
quorum.
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

# Pause before a failed write is retried.
_RETRY_PAUSE_S = 1.0
# How often expired evidence is removed.
_EXPIRY_INTERVAL_S = 60.0

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
        send_to_gateways: Send,
        send_to_replicas: Send,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.table = quarantine.Quarantine()
        self._file = file
        self._send_to_gateways = send_to_gateways
        self._send_to_replicas = send_to_replicas
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
        """Apply evidence from a gateway or another coordinator.

        Publishes each changed request with enough evidence.
        """
        for request in self.table.add(msg.items, self._loop.time()):
            known = self.table.suspicions_of(request)
            if len(known) < quarantine.MIN_ENDED_TO_REPORT:
                continue
            self._log_request(request)
            self._changed.set()
            # Gateways decide on the same evidence as coordinators.
            self._send_to_gateways(messages.Suspicions(items=known))

    def _log_request(self, request: types.Fingerprint) -> None:
        now = self._loop.time()
        logs.say(
            logs.Part.COORDINATOR,
            "Endpoints ended under a request.",
            fingerprint=request.hex(),
            endpoints=self.table.ended_endpoints(request),
            held_s=round(self.table.remaining_s(request, now)),
        )

    def initial_evidence(self) -> messages.Suspicions | None:
        """Return the evidence for a newly linked gateway; None if none."""
        items = self.table.suspicions(quarantine.MIN_ENDED_TO_REPORT)
        return messages.Suspicions(items=items) if items else None

    def release(self, request: types.Fingerprint) -> bool:
        """Release a request from quarantine on behalf of an operator.

        Also informs the other coordinators, since some gateways may not be
        linked to this one.  Returns whether the request was quarantined.
        """
        if not self.table.is_quarantined(request, self._loop.time()):
            return False
        msg = messages.Suspicions(items=self.table.clearances(request))
        self.receive(msg)
        self._send_to_replicas(msg)
        return True

    async def run(self) -> None:
        """Save changes and remove expired evidence until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_EXPIRY_INTERVAL_S):
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
            await asyncio.sleep(_RETRY_PAUSE_S)


def parse_fingerprint(text: str) -> types.Fingerprint | None:
    """Return the fingerprint written in hexadecimal; None if malformed."""
    try:
        return types.Fingerprint(bytes.fromhex(text))
    except ValueError:
        # Malformed input is answered like an unknown request.
        return None
