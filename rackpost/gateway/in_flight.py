"""Records which requests are in flight at which endpoints."""

import asyncio
import contextlib
from typing import Iterator

from rackpost.decide import unanswered
from rackpost.gateway import call as call_mod
from rackpost.routing import endpoints

__all__ = ["recorded"]


@contextlib.contextmanager
def recorded(
    call: call_mod.Call, endpoint: endpoints.Endpoint
) -> Iterator[None]:
    """Record a request while it is in flight at an endpoint.

    It counts as unanswered if it is cancelled: its time is up, its client has
    left, or another attempt has answered.
    """
    site = call.site
    requests = site.crash_tracker.unanswered
    exchange = unanswered.Exchange(
        endpoint=endpoint,
        began_at=site.loop_time(),
        subjects=lambda: call.subjects,
        progress=call.progress,
    )
    requests.begin(exchange)
    try:
        yield
    except asyncio.CancelledError:
        requests.give_up(exchange, site.loop_time())
        raise
    finally:
        requests.end(exchange)
