"""The admission queue of a service with a contention order."""

import asyncio

import msgspec

from rackpost.coordinator import messages
from rackpost.decide import kv_forecast
from rackpost.decide.waiting import decisions
from rackpost.decide.waiting import order as order_mod
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import reservation as reservation_mod
from rackpost.link import codec
from rackpost.testing import virtual
from rackpost import types
from tests import test_admission_queue as queues

_OTHER = types.ServiceName("other")


def _gateway(*, contends: bool = True) -> queues.Gateway:
    """Return a gateway with one endpoint of six slots."""
    gateway = queues.Gateway(
        number=1,
        orders=orders_mod.Orders(
            vm=types.VmId("g1"),
            decisions_of=lambda _: (
                decisions.ALL if contends else frozenset()
            ),
        ),
    )
    gateway.add_endpoint(0)
    return gateway


def _request(
    priority: int, *, patience_s: float = 3.0, run_tokens: int = 300
) -> reservation_mod.ReservationRequest:
    now = asyncio.get_running_loop().time()
    usual = queues.reservation_request(now, 1.0)
    claim = msgspec.structs.replace(
        usual.waiting_request,
        priority=priority,
        start_by=now + patience_s,
        refused_before=False,
        arrived_at=now,
    )
    run = kv_forecast.Run(held_tokens=1000, remaining_tokens=run_tokens)
    return msgspec.structs.replace(usual, run=run, waiting_request=claim)


async def _hold(
    gateway: queues.Gateway, priority: int
) -> reservation_mod.DecodeReservation:
    found = await gateway.queue.reserve(_request(priority))
    assert isinstance(found, reservation_mod.DecodeReservation)
    found.record_prefilled()
    gateway.queue._token_timing.record_prefill(1000, 0.05)
    return found


async def _urgent_arrivals(gateway: queues.Gateway, count: int) -> None:
    """Serve urgent requests that end at once."""
    for _ in range(count):
        (await _hold(gateway, 0)).release()
        await asyncio.sleep(0.1)


def test_the_last_capacity_is_kept_for_the_urgent() -> None:
    """Least urgent requests wait although a slot is free."""

    async def main() -> None:
        gateway = _gateway()
        await _urgent_arrivals(gateway, 10)
        for _ in range(queues.SLOTS - 1):
            await _hold(gateway, 2)
        basic = asyncio.create_task(gateway.queue.reserve(_request(2)))
        await asyncio.sleep(0)
        assert not basic.done()
        kept = gateway.metrics.counted("kept_waiting", order_mod.Kept.HEADROOM)
        assert kept == 1
        assert gateway.metrics.totals("queue_outcomes") == {
            "in-time": 10 + queues.SLOTS - 1
        }
        (await _hold(gateway, 0)).release()
        # Urgent requests stop; the slot is given back.
        run = asyncio.create_task(gateway.queue.run())
        await asyncio.sleep(2.2)
        assert basic.done()
        assert isinstance(basic.result(), reservation_mod.DecodeReservation)
        run.cancel()

    virtual.run(main())


def test_without_the_feature_capacity_goes_to_who_comes_first() -> None:
    """As before."""

    async def main() -> None:
        gateway = _gateway(contends=False)
        await _urgent_arrivals(gateway, 10)
        for _ in range(queues.SLOTS):
            await _hold(gateway, 2)
        assert not gateway.metrics.totals("kept_waiting")
        assert not gateway.queue.contention_reports(0.0)

    virtual.run(main())


def test_a_request_without_prospect_is_refused_at_once() -> None:
    """Arrivals take all that is released until its client leaves."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        gateway = _gateway()
        for _ in range(queues.SLOTS):
            await _hold(gateway, 1)
        tasks = [
            asyncio.create_task(gateway.queue.reserve(_request(1)))
            for _ in range(40)
        ]
        began = loop.time()
        refused = await gateway.queue.reserve(_request(1))
        assert loop.time() == began
        assert isinstance(refused, reservation_mod.NoCapacity)
        assert refused.reason is reservation_mod.RefusalReason.HOPELESS
        assert 3.0 < refused.expected_wait_s
        # The place is within what clients honour.
        assert 0.4 <= refused.retry_after_s <= 120.0 / 3
        assert gateway.metrics.totals("queue_outcomes")["unserved"] == 1
        for task in tasks:
            task.cancel()

    virtual.run(main())


def test_all_requests_that_can_wait_are_served_in_the_end() -> None:
    """Capacity is never over its slots, and none starves."""

    async def main() -> None:
        gateway = _gateway()
        run = asyncio.create_task(gateway.queue.run())
        most = 0

        async def serve(priority: int) -> bool:
            nonlocal most
            found = await gateway.queue.reserve(
                _request(priority, patience_s=200.0)
            )
            if isinstance(found, reservation_mod.NoCapacity):
                return False
            gateway.queue._token_timing.record_prefill(1000, 0.05)
            found.record_prefilled()
            most = max(most, gateway.loads.own[found.endpoint.id].requests)
            await asyncio.sleep(1.0)
            found.release()
            return True

        served = await asyncio.gather(
            *(serve(priority) for priority in [2, 1, 0] * 12)
        )
        assert all(served)
        assert most == queues.SLOTS
        run.cancel()

    virtual.run(main())


def test_reports_of_contention_pass_between_gateways() -> None:
    """Arrivals, use and waiting requests survive encoding."""

    async def main() -> None:
        gateway = _gateway()
        for _ in range(queues.SLOTS):
            await _hold(gateway, 1)
        for runs in gateway.loads.own.values():
            for run in runs.runs:
                run.remaining_tokens = 30
        waiting = asyncio.create_task(gateway.queue.reserve(_request(1)))
        await asyncio.sleep(0)
        now = asyncio.get_running_loop().time()
        reports = gateway.queue.contention_reports(now)
        msg = messages.GatewayLoad(
            vm=gateway.vm,
            load_address="h:1",
            incarnation=1,
            sequence=1,
            loads={},
            contention=reports,
        )
        decoder = codec.Decoder(kinds=messages.BetweenGateways)
        assert decoder.decode(codec.encode(msg)) == msg
        report = reports[queues.SERVICE]
        assert report.rates[0].per_s == (queues.SLOTS + 1) / 2.0
        assert report.loads[0].held == queues.SLOTS
        assert report.loads[0].waiting == len(report.waiting) == 1
        # These are not in the reports of requests served by deadline.
        assert not gateway.queue.most_urgent_waiters(now)
        # Only services with the feature take reports in.
        orders = orders_mod.Orders(
            decisions_of=lambda service: (
                decisions.ALL if service == _OTHER else frozenset()
            )
        )
        orders.receive(gateway.vm, reports, now)
        assert not orders.services()
        waiting.cancel()

    virtual.run(main())
