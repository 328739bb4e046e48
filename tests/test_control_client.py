"""The requests of a client of control that is behind."""

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
    """A control replica whose answers are sent by the test."""

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
    """Reports from peers that are ahead must not multiply the requests.

    Otherwise a slow answer is requested many times, which slows it further.
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
            assert client.fetch_if_behind(types.Revision(7))
            replica.conn.send(messages.Alive(revision=types.Revision(7)))
            await asyncio.sleep(0.01)
        assert len(replica.watches) == 1
        replica.conn.send(messages.Feed(changes=()))
        await asyncio.sleep(0.01)
        assert client.fetch_if_behind(types.Revision(7))
        await asyncio.sleep(0.01)
        assert len(replica.watches) == 2
        # A request on a closed link is repeated on the next.
        replica.conn.close()
        await asyncio.sleep(1.0)
        assert len(replica.watches) == 3
        task.cancel()

    virtual.run(main())
