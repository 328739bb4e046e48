"""A process's link to control: what it asks while it is behind."""

import asyncio
import contextlib
import random
from typing import AsyncIterator

import msgspec

from rackpost.control import client as client_mod
from rackpost.control import messages
from rackpost.link import channel
from rackpost.testing import virtual
from rackpost import types


class Replica:
    """A control replica that answers when it is told to."""

    def __init__(self) -> None:
        self.watches: list[messages.Watch] = []
        self.conn: channel.LocalChannel

    @contextlib.asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[channel.Channel]:
        here, self.conn = channel.local_pair(delay_s=0.001)
        self.conn.attach(receive=self._receive, closed=lambda: None)
        yield here

    def _receive(self, msg: msgspec.Struct) -> None:
        if isinstance(msg, messages.Watch):
            self.watches.append(msg)


def test_a_process_that_is_behind_asks_once_until_it_is_answered() -> None:
    """Each report of a peer that was ahead had the same sent once more.

    Like the documents of gateways: what takes long to come was asked for
    again and again meanwhile, and each answer made the next one later.
    """

    async def main() -> None:
        replica = Replica()
        client = client_mod.ControlClient(
            name="a",
            incarnation=types.Incarnation(1),
            addresses=["c0"],
            connect=replica.connect,
            rng=random.Random(1),
        )
        task = asyncio.create_task(client.run())
        await asyncio.sleep(0.1)
        assert len(replica.watches) == 1
        for _ in range(20):
            assert client.behind(types.Revision(7))
            replica.conn.send(messages.Alive(revision=types.Revision(7)))
            await asyncio.sleep(0.01)
        assert len(replica.watches) == 1
        replica.conn.send(messages.Feed(changes=()))
        await asyncio.sleep(0.01)
        assert client.behind(types.Revision(7))
        await asyncio.sleep(0.01)
        assert len(replica.watches) == 2
        # A new link knows nothing of what was asked over the last one.
        replica.conn.close()
        await asyncio.sleep(1.0)
        assert len(replica.watches) == 3
        task.cancel()

    virtual.run(main())
