"""The operator's versions change from 14 digits to 20 digits.

They are the date and time; at some point with microseconds.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import site2

FIRST = 20261206213000
# Each is the next version. The second one has microseconds as well.
SHORT = 20261206213500
LONG = 20261206213500000000
REQUESTS = 30
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0


async def ask(site, path, count, tag):
    """Send safe requests to all gateways; return how often each status came."""
    found = {}
    for number in range(count):
        front = site.fronts()[number % len(site.fronts())]
        ident = f"{tag}-{number}"
        headers = {"X-Request-Id": ident, "X-Deadline-Ms": 3000}
        answer = await site2.attempt(front, "GET", path, headers, wait_s=3.5)
        site.record(f"{ident} {path}: {answer.status}")
        found[answer.status] = found.get(answer.status, 0) + 1
        await asyncio.sleep(0.02)
    return found


async def main(site):
    await site.start(site2.document(FIRST))
    for number in range(3):
        at = site.free_address()
        site.start_replica(f"i-{number}", "plain", at)
    await asyncio.sleep(6.0)
    before = await ask(site, "/safe/x", REQUESTS, "before")
    if before != {200: REQUESTS}:
        raise site2.CannotRun(f"not served before: {before}")
    version = LONG if site2.trouble() else SHORT
    changed = site2.document(version)
    changed["routes"].append(site2.route("added", "plain"))
    changed["routes"] = [
        item for item in changed["routes"] if item["name"] != "safe"
    ]
    if not await site.put(changed):
        raise site2.CannotRun("the version was not acknowledged")
    await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
    added = await ask(site, "/added/x", REQUESTS, "added")
    dropped = await ask(site, "/safe/x", REQUESTS, "dropped")
    status, body = await site2.call(
        site.control[1], "GET", "/v1/config", b"", 2.0
    )
    site.record(f"read back: {status} {body[:60]!r}")
    site.record(f"route added by version {version}: {added}")
    site.record(f"route dropped by version {version}: {dropped}")
    stale = added.get(404, 0) + dropped.get(200, 0)
    # Not judged: what a planned restart of the gateways makes of it.
    for number in range(len(site.edge_ips)):
        site.signal(site.gateway_name(number), 15)
        await site.ended(site.gateway_name(number))
        site.start_gateway(number)
    await asyncio.sleep(6.0)
    after = await ask(site, "/added/x", REQUESTS, "restarted")
    text = (
        f"version {version} acknowledged; {stale} of {2 * REQUESTS} requests "
        f"handled as only an older version allows; after restarts: {after}"
    )
    site.record(text)
    print(text)
    return site2.BROKEN if stale else site2.HELD


site2.play(__file__, main, cores=3, gateways=3)
