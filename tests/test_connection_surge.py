"""One gateway gets most new connections, and clients open them more often.

Guards against requests that this gateway has read and does not serve at the
first attempt.
"""

import asyncio
import pathlib

from tests import crashing_site
from tests import test_gateway

_CLIENTS = 40
_ROUNDS = 6
# Share of the usual service that a surge may cost.
_MIN_SERVED_SHARE = 0.75


async def _send_round(
    site: crashing_site.Site, gateways: tuple[int, ...]
) -> list[bytes]:
    """Let every client send one request on a new connection."""
    return await asyncio.gather(
        *(
            site.send(
                gateways[number % len(gateways)],
                ("/gen/x", "/safe/x", "/unsafe/x")[number % 3],
                b"request %d" % number,
            )
            for number in range(_CLIENTS)
        )
    )


def _served(answers: list[bytes]) -> int:
    return sum(test_gateway.status(one) == 200 for one in answers)


def test_a_gateway_with_most_new_connections_serves_them(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                usual = surge = 0
                for _ in range(_ROUNDS):
                    usual += _served(
                        await _send_round(site, crashing_site.GATEWAYS)
                    )
                for _ in range(_ROUNDS):
                    surge += _served(
                        await _send_round(site, crashing_site.GATEWAYS[:1])
                    )
                assert usual > 0
                assert surge >= _MIN_SERVED_SHARE * usual

    asyncio.run(main())


# Guards against: connections that wait unread while others are served.
def test_many_connections_at_once_are_all_read(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                answers = await asyncio.gather(
                    *(
                        site.send(31, "/safe/x", b"request %d" % number)
                        for number in range(400)
                    )
                )
                assert all(answers)

    asyncio.run(main())
