"""Keeps the origins of streams for the gateways, in memory.

They are told again by gateways that link, so that a coordinator which has
restarted soon knows those of all gateways that still run.
"""

import asyncio

from rackpost.coordinator import messages
from rackpost.decide import stream_origins
from rackpost.link import channel


class OriginStore:
    """The origins of streams that gateways have told one coordinator."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._table = stream_origins.OriginTable()

    def __len__(self) -> int:
        return len(self._table)

    def receive(
        self,
        conn: channel.Channel,
        msg: messages.OriginNotice | messages.OriginQuery,
    ) -> None:
        """Handle a gateway's notice, or answer its query."""
        now = self._loop.time()
        if isinstance(msg, messages.OriginNotice):
            self._table.record_all(msg.items, now)
            return
        conn.send(
            messages.OriginAnswer(
                stream=msg.stream,
                item=self._table.find_record(msg.stream, now),
            )
        )
