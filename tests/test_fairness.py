"""A caller that sends too many requests does not starve another."""

import asyncio

import msgspec

from rackpost.decide import fairness
from rackpost.testing import virtual
from rackpost import types
from tests import driver

A = types.CallerId("a")
B = types.CallerId("b")


def test_density_is_lowered_by_the_excess_over_an_even_share() -> None:
    fair = fairness.FairShareTracker()
    for number in range(400):
        at = number * 0.05
        flood = fair.record_request(A, 9.0, at)
        modest = fair.record_request(B, 1.0, at)
    assert modest == 1.0
    assert abs(flood - 5.0 / 9.0) < 0.02
    assert fair.record_request(B, 1.0, 1000.0) == 1.0


def test_a_flood_leaves_the_other_callers_answered() -> None:
    async def main() -> None:
        site = driver.small_site(prefills=1, decodes=1)
        await asyncio.sleep(0.1)
        entry = site.entries[0]

        async def send(caller: str, number: int) -> bool:
            req = driver.ask(f"{caller}{number}", max_tokens=10)
            req = msgspec.structs.replace(req, caller=types.CallerId(caller))
            result = await driver.take(entry, req)
            return result.end.outcome is types.Outcome.ANSWERED

        # One prefill takes 73 ms: the flood alone is twice the capacity.
        tasks: dict[str, list[asyncio.Task[bool]]] = {"flood": [], "few": []}
        for number in range(300):
            tasks["flood"].append(asyncio.create_task(send("flood", number)))
            if number % 8 == 0:
                tasks["few"].append(asyncio.create_task(send("few", number)))
            await asyncio.sleep(0.036)
        few = [await task for task in tasks["few"]][5:]
        flood = [await task for task in tasks["flood"]]
        assert sum(few) >= 0.9 * len(few)
        assert 0.25 * len(flood) < sum(flood) < 0.7 * len(flood)
        site.close()

    virtual.run(main())
