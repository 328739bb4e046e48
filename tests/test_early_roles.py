"""The leader orders several changes of role at once on first evidence."""

import asyncio
import json
import pathlib
from typing import Any

import pytest

from rackpost.coordinator import role_orders
from rackpost.coordinator import roles
from rackpost.decide import role_balance
from rackpost.decide import role_demand
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost import logs
from rackpost import types
from tests import test_roles

_RECENT = role_demand.RecentWork(
    requests=40,
    prompt_tokens=2000,
    decode_tokens=600.0,
    oldest_s=2.0,
    prefill_token_s=0.001,
    decode_token_s=0.01,
)
# By itself the mean asks for no change, or for a decode endpoint.
_UNKNOWN = role_balance.Demand(
    service=test_roles.SERVICE,
    prefill=0.0,
    decode=0.0,
    is_known=False,
    recent=_RECENT,
)
_KNOWN = role_balance.Demand(
    service=test_roles.SERVICE, prefill=0.4, decode=3.0, recent=_RECENT
)


class _Endpoint(test_roles.OrderedEndpoint):
    """An endpoint that may say that an order is in progress."""

    is_busy = False
    # Takes an order without an answer.
    is_mute = False

    async def handle_order(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        if self.is_mute and req.method == b"POST":
            self.orders.append(json.loads(req.body))
            await asyncio.sleep(5.0)
        if not self.is_busy:
            await super().handle_order(req, responder)
            return
        assert req.method == b"GET"
        report = {
            "stage": self.stage,
            "busy": True,
            "sequence": 1,
            "running": 0,
        }
        responder.send(200, [], json.dumps(report).encode())


class _Play:
    """What a coordinator with and without the feature orders."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.outcomes: list[str] = []
        self.rounds = 0
        self.ordered: set[str] = set()
        self.changing: set[str] = set()
        say = logs.say
        balance = roles.RoleBalancer._balance

        def record(part: logs.Part, text: str, **items: Any) -> None:
            if text == "Ordered a change of role.":
                self.outcomes.append(items["outcome"])
            say(part, text, **items)

        async def count(one: roles.RoleBalancer, *args: Any) -> None:
            await balance(one, *args)
            self.rounds += 1

        monkeypatch.setattr(logs, "say", record)
        monkeypatch.setattr(roles.RoleBalancer, "_balance", count)
        monkeypatch.setattr(roles, "_CHECK_INTERVAL_S", 0.05)

    async def run(
        self,
        root: pathlib.Path,
        *,
        is_early: bool,
        demand: role_balance.Demand,
        busy: int = 0,
        mute: int = 0,
        leaving: int = 0,
        outcomes: int = 0,
    ) -> None:
        """Run until as many outcomes, and for 40 rounds after them.

        The first endpoints say that they are busy, or answer no order; or
        they leave after the outcomes.
        """
        stages = ["prefill"] * 7 + ["decode"] * 3
        group = [
            _Endpoint(ident=f"e{number}", stage=stage)
            for number, stage in enumerate(stages)
        ]
        for one in group[:busy]:
            one.is_busy = True
        for one in group[:mute]:
            one.is_mute = True
        async with test_roles.leading_coordinator(root, group) as (
            running,
            send_heartbeats,
        ):
            balancer = running._roles
            services = [test_roles.SERVICE] if is_early else []
            balancer.set_early_services(services)

            async def report() -> None:
                balancer.record_demand(test_roles.types.VmId("e"), (demand,))
                await send_heartbeats()

            async with asyncio.timeout(20.0):
                while len(self.outcomes) < outcomes:
                    await report()
                for one in group[:leaving]:
                    running.directory.table.drop(types.EndpointId(one.ident))
                    group.remove(one)
                end = self.rounds + 40
                while self.rounds < end:
                    await report()
            self.ordered = {one.ident for one in group if one.orders}
            self.changing = set(balancer.changing)


def test_several_endpoints_are_ordered_at_once(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = _Play(monkeypatch)
    asyncio.run(play.run(tmp_path, is_early=True, demand=_UNKNOWN, outcomes=2))
    assert play.ordered == play.changing == {"e0", "e1"}


def test_without_the_feature_recent_work_orders_nothing(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = _Play(monkeypatch)
    asyncio.run(play.run(tmp_path, is_early=False, demand=_UNKNOWN))
    assert not play.ordered and not play.changing


def test_changes_under_way_are_not_ordered_again(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new leader counts its predecessor's changes as its own."""
    play = _Play(monkeypatch)
    asyncio.run(
        play.run(tmp_path, is_early=True, demand=_UNKNOWN, busy=2, outcomes=2)
    )
    assert play.outcomes == [role_orders.OrderOutcome.CHANGING.value] * 2
    assert not play.ordered
    assert play.changing == {"e0", "e1"}


def test_without_the_feature_an_order_in_progress_is_a_refusal(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The log line reads as before, and nothing counts as changing."""
    play = _Play(monkeypatch)
    asyncio.run(
        play.run(tmp_path, is_early=False, demand=_KNOWN, busy=2, outcomes=1)
    )
    assert play.outcomes[0] == "refused"
    assert not play.ordered and not play.changing


def test_a_leader_that_died_between_two_orders_is_followed_by_one_order(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of the two changes of one plan the first had been ordered."""
    play = _Play(monkeypatch)
    asyncio.run(
        play.run(tmp_path, is_early=True, demand=_UNKNOWN, busy=1, outcomes=2)
    )
    assert sorted(play.outcomes) == ["is changing already", "taken"]
    assert play.ordered == {"e1"}
    assert play.changing == {"e0", "e1"}


def test_an_order_without_an_answer_is_not_given_to_another_endpoint(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may still take effect."""
    play = _Play(monkeypatch)
    asyncio.run(
        play.run(tmp_path, is_early=True, demand=_UNKNOWN, mute=1, outcomes=2)
    )
    assert sorted(play.outcomes) == ["not answered", "taken"]
    assert play.ordered == play.changing == {"e0", "e1"}


def test_an_endpoint_that_leaves_while_changing_is_not_replaced_at_once(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may restart; the pool that gave it gives no other meanwhile."""
    play = _Play(monkeypatch)
    asyncio.run(
        play.run(
            tmp_path, is_early=True, demand=_UNKNOWN, leaving=1, outcomes=2
        )
    )
    assert play.ordered == {"e1"}
    assert play.changing == {"e1"}
