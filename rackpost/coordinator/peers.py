"""Tells gateways of the coordinators and of each other."""

import asyncio
from typing import Callable

from rackpost.coordinator import directory as directory_mod
from rackpost.coordinator import messages
from rackpost.link import channel

# Changes within this time are told together, in seconds.  When 70 gateways
# come at once, as after a loss of power, each is sent 9 KB in place of
# 105 KB by each coordinator.
_GATHER_S = 0.1


class PeerNews:
    """Gathers what changes, and tells all gateways that are linked."""

    def __init__(
        self,
        *,
        directory: directory_mod.Directory,
        coordinators: Callable[[], set[str]],
    ) -> None:
        """`coordinators` gives the hosts of all that are known."""
        self._loop = asyncio.get_running_loop()
        self._directory = directory
        self._coordinators = coordinators
        self._timer: asyncio.TimerHandle | None = None

    def tell_soon(self) -> None:
        """Something has changed."""
        if self._timer is None:
            self._timer = self._loop.call_later(_GATHER_S, self._tell_all)

    def tell_newcomer(self, conn: channel.Channel) -> None:
        """A gateway has linked: it needs the coordinators at once."""
        conn.send(self._message())
        self.tell_soon()

    def _tell_all(self) -> None:
        self._timer = None
        self._directory.tell_gateways(self._message())

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
        """Tell nothing more."""
        if self._timer is not None:
            self._timer.cancel()
