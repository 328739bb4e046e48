"""The leader orders several changes of role at once on first evidence."""

import asyncio
import pathlib

from rackpost.decide import role_balance
from rackpost.decide import role_demand
from tests import test_roles

_DEMAND = role_balance.Demand(
    service=test_roles.SERVICE,
    prefill=0.0,
    decode=0.0,
    is_known=False,
    recent=role_demand.RecentWork(
        requests=40,
        prompt_tokens=2000,
        decode_tokens=600.0,
        oldest_s=2.0,
        prefill_token_s=0.001,
        decode_token_s=0.01,
    ),
)


def _group() -> list[test_roles.OrderedEndpoint]:
    """Return a prefill pool with room and a full decode pool."""
    stages = ["prefill"] * 7 + ["decode"] * 3
    return [
        test_roles.OrderedEndpoint(ident=f"e{number}", stage=stage)
        for number, stage in enumerate(stages)
    ]


async def _ordered(
    root: pathlib.Path,
    group: list[test_roles.OrderedEndpoint],
    *,
    is_early: bool,
    busy: tuple[str, ...] = (),
) -> tuple[set[str], set[str]]:
    """Return the endpoints ordered within 7 s, and those seen changing."""
    async with test_roles.leading_coordinator(root, group) as (
        running,
        send_heartbeats,
    ):
        balancer = running._roles
        balancer.set_early_services([test_roles.SERVICE] if is_early else [])
        for one in group:
            if one.ident in busy:
                one.answer = _busy(one)
        end = asyncio.get_running_loop().time() + 7.0
        while asyncio.get_running_loop().time() < end:
            balancer.record_demand(test_roles.types.VmId("e"), (_DEMAND,))
            await send_heartbeats()
            await asyncio.sleep(0.1)
        ordered = {one.ident for one in group if one.orders}
        return ordered, set(balancer.changing)


def _busy(one: test_roles.OrderedEndpoint):  # type: ignore
    """Return an answer that reports an order in progress."""

    async def answer(req, responder):  # type: ignore
        assert req.method == b"GET"
        report = (
            b'{"stage": "prefill", "busy": true, "sequence": 1, "running": 0}'
        )
        responder.send(200, [], report)

    return answer


def test_several_endpoints_are_ordered_at_once(tmp_path: pathlib.Path) -> None:
    ordered, changing = asyncio.run(
        _ordered(tmp_path, _group(), is_early=True)
    )
    assert ordered == changing == {"e0", "e1"}


def test_without_the_feature_recent_work_orders_nothing(
    tmp_path: pathlib.Path,
) -> None:
    ordered, changing = asyncio.run(
        _ordered(tmp_path, _group(), is_early=False)
    )
    assert not ordered and not changing


def test_changes_under_way_are_not_ordered_again(
    tmp_path: pathlib.Path,
) -> None:
    """A new leader counts its predecessor's changes as its own."""
    ordered, changing = asyncio.run(
        _ordered(tmp_path, _group(), is_early=True, busy=("e0", "e1"))
    )
    assert not ordered
    assert changing == {"e0", "e1"}
