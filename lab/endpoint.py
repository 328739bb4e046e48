"""Serves simulated endpoints in one process: python -m lab.endpoint model 3.

Starts that many engines or plain services, each on its own port, and prints
the ports on one line.  `GET /held` on the last port reports which requests
occupy memory and which ran.
"""

import asyncio
import contextlib
import json
import random
import sys

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from rackpost import http_server
from rackpost import program
from rackpost.testing import engine
from rackpost.testing import engine_http
from rackpost.testing import plain

_HOST = "127.0.0.1"


class RunReport:
    """Reports what the endpoints hold and have run."""

    def __init__(self) -> None:
        self.ledger = engine.Ledger()
        self.engines: dict[str, engine.StandInEngine] = {}

    async def page(self, _: requests.Request) -> responses.Response:
        """Return held requests, and runs and prefilled tokens by request."""
        held = {req for item in self.engines.values() for req in item.held()}
        spent: dict[str, int] = {}
        for key, tokens in self.ledger.prefilled.items():
            spent[key.req] = spent.get(key.req, 0) + tokens
        return responses.JSONResponse(
            {
                "held": sorted(held),
                "runs": dict(self.ledger.runs),
                "prefilled": spent,
            }
        )


async def serve(kind: str, count: int) -> None:
    """Serve until a stop signal."""
    report = RunReport()
    found = []
    async with contextlib.AsyncExitStack() as stack:
        for idx in range(count):
            app: applications.Starlette
            if kind == "model":
                standin = engine.StandInEngine(
                    name=f"g{idx}",
                    spec=engine.EngineSpec(),
                    peers=report.engines,
                    rng=random.Random(idx),
                    ledger=report.ledger,
                )
                app = engine_http.EngineApp(standin=standin).app
            else:
                app = engine_http.plain_app(
                    plain.StandInPlain(ledger=report.ledger)
                )
            found.append(
                await stack.enter_async_context(
                    http_server.serving(app, host=_HOST, port=0)
                )
            )
        pages = applications.Starlette(
            routes=[routing.Route("/held", report.page)]
        )
        found.append(
            await stack.enter_async_context(
                http_server.serving(pages, host=_HOST, port=0)
            )
        )
        print(json.dumps(found), flush=True)
        with program.stop_signals() as stop:
            await stop.wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], int(sys.argv[2])))
