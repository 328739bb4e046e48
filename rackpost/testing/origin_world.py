"""Gateways and coordinators that share origins of streams, without sockets.

Links and datagrams have a delay and can be cut or lost; what is sent is
counted.
"""

import asyncio
import random

from rackpost.coordinator import messages
from rackpost.coordinator import origin_store
from rackpost.decide import stream_origins
from rackpost.gateway import origin_exchange
from rackpost.http1 import address
from rackpost.link import channel
from rackpost.link import codec
from rackpost import types

_DELAY_S = 0.0015
_DECODER = codec.Decoder(kinds=messages.BetweenGateways)
ORIGIN = stream_origins.StreamOrigin(
    service=types.ServiceName("huvo11a"),
    software=types.SoftwareVersion("v1.1"),
)


def stream_key(number: int) -> types.StreamKey:
    """Return the key of a stream."""
    return stream_origins.stream_key(
        types.OrganisationName(""), b"%016x" % number
    )


class World:
    """A site whose processes start, end and lose touch."""

    def __init__(
        self,
        *,
        gateways: int,
        coordinators: int = 5,
        copies: int = 3,
        gateway_copies: int = 2,
        loss: float = 0.0,
        seed: int = 0,
    ) -> None:
        """`loss` is the share of datagrams that are lost."""
        self._copies = copies
        self._gateway_copies = gateway_copies
        self._loss = loss
        self._rng = random.Random(seed)
        self.sent_messages = 0
        self.sent_bytes = 0
        # Gateways that lose all datagrams.
        self.cut_gateways: set[int] = set()
        self._addresses = {
            types.VmId(f"g{number}"): messages.GatewayAddress(
                vm=types.VmId(f"g{number}"), load_address=f"g{number}:{number}"
            )
            for number in range(gateways)
        }
        self.stores = [origin_store.OriginStore() for _ in range(coordinators)]
        self._links: dict[
            tuple[int, int], tuple[channel.LocalChannel, channel.LocalChannel]
        ] = {}
        self.gateways: dict[int, origin_exchange.OriginExchange] = {}
        for number in range(gateways):
            self.start_gateway(number)

    def start_gateway(self, number: int) -> None:
        """Start a gateway, also anew, and link it to all coordinators."""
        self.stop_gateway(number)
        running = origin_exchange.OriginExchange(
            vm=types.VmId(f"g{number}"),
            gateways=self._addresses,
            copies=self._copies,
            gateway_copies=self._gateway_copies,
            rng=self._rng,
        )
        running.send = lambda data, to: self._datagram(number, data, to)
        self.gateways[number] = running
        for index in range(len(self.stores)):
            self.link(number, index)

    def stop_gateway(self, number: int) -> None:
        """End a gateway, which loses all that it knows."""
        self.gateways.pop(number, None)
        for index in range(len(self.stores)):
            pair = self._links.pop((number, index), None)
            if pair is not None:
                pair[0].close()

    def link(self, number: int, index: int) -> None:
        """Link a gateway to a coordinator."""
        running, store = self.gateways[number], self.stores[index]
        here, there = channel.local_pair(delay_s=_DELAY_S)
        here.attach(
            receive=lambda msg: self._count(msg, running.receive_answer),
            closed=lambda: running.unlink(here),
        )
        there.attach(
            receive=lambda msg: self._count(
                msg, lambda found: store.receive(there, found)
            ),
            closed=lambda: None,
        )
        self._links[number, index] = (here, there)
        running.link(here)

    def cut_links(self, number: int) -> None:
        """Cut a gateway off from all coordinators, which nothing tells."""
        for index in range(len(self.stores)):
            for end in self._links[number, index]:
                end.cut = True

    def restart_coordinator(self, index: int) -> None:
        """Restart a coordinator; all gateways link to it again."""
        self.stores[index] = origin_store.OriginStore()
        for number in list(self.gateways):
            self._links[number, index][0].close()
            self.link(number, index)

    def _count(self, msg: object, deliver: object) -> None:
        self.sent_messages += 1
        self.sent_bytes += len(codec.encode(msg))  # type: ignore
        deliver(msg)  # type: ignore

    def _datagram(self, sender: int, data: bytes, to: tuple[str, int]) -> None:
        self.sent_messages += 1
        self.sent_bytes += len(data)
        if {
            sender,
            to[1],
        } & self.cut_gateways or self._rng.random() < self._loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_DELAY_S, self._arrive, sender, data, to[1])

    def _arrive(self, sender: int, data: bytes, number: int) -> None:
        running = self.gateways.get(number)
        if running is not None:
            running.receive(
                _DECODER.decode(data), address.Address(f"g{sender}", sender)
            )

    def begin(self, number: int, stream: int) -> None:
        """Begin a stream at a gateway."""
        self.gateways[number].record(stream_key(stream), ORIGIN, 14.0)

    async def find(
        self, number: int, stream: int
    ) -> stream_origins.StreamOrigin | None:
        """Return what a gateway finds of a stream."""
        return await self.gateways[number].find(stream_key(stream))
