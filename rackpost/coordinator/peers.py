"""Publishes the lists of coordinators and gateways to all gateways."""

import asyncio
from typing import Callable

from rackpost.coordinator import directory as directory_mod
from rackpost.coordinator import messages
from rackpost.link import channel

# Changes within this time share one message, so that many gateways that link
# at once do not multiply the traffic.
_BATCH_S = 0.1


class PeerPublisher:
    """Sends `Peers` messages to all linked gateways, in batches."""

    def __init__(
        self,
        *,
        directory: directory_mod.Directory,
        coordinators: Callable[[], set[str]],
    ) -> None:
        """Create a publisher; `coordinators` returns all known hosts."""
        self._loop = asyncio.get_running_loop()
        self._directory = directory
        self._coordinators = coordinators
        self._timer: asyncio.TimerHandle | None = None

    def publish_soon(self) -> None:
        """Schedule a message to all gateways."""
        if self._timer is None:
            self._timer = self._loop.call_later(_BATCH_S, self._publish)

    def greet_gateway(self, conn: channel.Channel) -> None:
        """Send the lists to a newly linked gateway at once.

        The other gateways receive them with the next batch.
        """
        conn.send(self._message())
        self.publish_soon()

    def _publish(self) -> None:
        self._timer = None
        self._directory.send_to_gateways(self._message())

    def _message(self) -> messages.Peers:
        by_vm = {item.vm: item for item in self._directory.gateways.values()}
        return messages.Peers(
            coordinators=tuple(sorted(self._coordinators())),
            gateways=tuple(
                messages.GatewayAddress(
                    vm=item.vm, load_address=item.load_address
                )
                for item in by_vm.values()
            ),
        )

    def close(self) -> None:
        """Cancel the scheduled message."""
        if self._timer is not None:
            self._timer.cancel()
