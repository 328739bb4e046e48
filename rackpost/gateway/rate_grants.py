"""Grants of endpoints' rates: asked of their owners, and given by them."""

import asyncio
import contextlib
import enum
import itertools
import random
from typing import AsyncIterator
from typing import Callable
from typing import Iterable
from typing import Union

from rackpost.coordinator import messages
from rackpost.decide import eligibility
from rackpost.decide import endpoint_load
from rackpost.decide import endpoint_rates
from rackpost.decide import gateway_groups
from rackpost.decide import rate_grants
from rackpost import exceptions
from rackpost.http1 import address
from rackpost.link import codec
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost import types

# An owner answers within this, in seconds: some round trips between the data
# centres that are farthest apart.  Then other endpoints are used.
_ANSWER_S = 0.12
# A gateway that has told nothing for this long owns no rate, in seconds:
# figures are told each second, and one telling may be lost.
_SILENT_S = 2.5
# A grant is for a request that is sent soon, in seconds: time for a prompt to
# be read first, and no more, as what is kept longer adds to a later window.
_FRESH_S = 1.0
# What has not been asked for in this long is forgotten, in seconds.
_KEEP_S = 30.0
# Between two lines on one endpoint, in seconds: each request that is not sent
# has a line of its own.
_LINE_S = 1.0
_NUMBER_BITS = 32

Send = Callable[[bytes, address.Address], None]
Message = Union[
    messages.GrantRequest, messages.GrantAnswer, messages.ReturnGrant
]


class _Asked(enum.Enum):
    """What became of asking for a grant, for the metrics."""

    GRANTED = "granted"
    USED_UP = "used up"
    UNANSWERED = "unanswered"


class Grant:
    """The word that one request may be sent to an endpoint, once and soon."""

    def __init__(
        self,
        *,
        endpoint: endpoints.Endpoint,
        owner: types.VmId,
        at: float,
    ) -> None:
        self.endpoint = endpoint
        self.owner = owner
        self._at = at
        self.is_spent = False

    def is_for(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether a request may be sent there by it now."""
        same = self.endpoint.incarnation == endpoint.incarnation
        return same and not self.is_spent and now < self._at + _FRESH_S


class RateGrants:
    """One gateway's grants, those it asks for and those it gives."""

    def __init__(
        self,
        *,
        vm: types.VmId,
        eligible: eligibility.Eligibility,
        loads: endpoint_load.LoadTable,
        group: gateway_groups.Group,
        metrics: metrics_mod.Metrics,
        rng: random.Random,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._vm = vm
        self._eligible = eligible
        self._loads = loads
        self._group = group
        self._metrics = metrics
        self._book = rate_grants.GrantLedger(rng=rng)
        self._gateways: dict[types.VmId, messages.GatewayAddress] = {}
        # Answers to those of an earlier life of this gateway are for nobody.
        self._numbers = itertools.count(rng.getrandbits(_NUMBER_BITS))
        self._asked: dict[int, asyncio.Future[messages.GrantAnswer]] = {}
        self._pauses = logs.SubjectRateLimiter(pause_s=_LINE_S)
        # Set by who holds the socket.
        self.send: Send = _nowhere

    def set_gateways(self, found: Iterable[messages.GatewayAddress]) -> None:
        """The gateways that may own a rate."""
        self._gateways = {item.vm: item for item in found}

    def sweep(self) -> None:
        """Forget what is over."""
        self._eligible.forget_rates()
        self._book.forget(self._loop.time() - _KEEP_S)

    def receive_rate(
        self, told: endpoint_rates.RateUpdate, now: float
    ) -> None:
        """Another gateway tells what an endpoint's answers named."""
        if not self._eligible.rates.receive(told, now):
            return
        logs.say(
            logs.Part.GATEWAY,
            "Told of an endpoint's rate.",
            endpoint=told.endpoint,
            born=told.born,
            rate_per_s=told.per_s,
            age_s=told.age_s,
        )

    def requires_grant(self, endpoint: endpoints.Endpoint) -> bool:
        """Whether a request there needs a grant."""
        return self._eligible.rates.per_s(endpoint) is not None

    def spend(self, endpoint: endpoints.Endpoint, grant: Grant | None) -> None:
        """A request is about to be written; Barred without a grant.

        Where a rate was named since the grant was to be asked for, too.
        """
        if not self.requires_grant(endpoint):
            return
        if grant is None or not grant.is_for(endpoint, self._loop.time()):
            raise exceptions.EndpointIneligible(
                eligibility.IneligibleReason.RATE.value
            )
        grant.is_spent = True

    @contextlib.asynccontextmanager
    async def acquire(
        self, endpoint: endpoints.Endpoint, *, priority: int, waits: bool
    ) -> AsyncIterator[Grant | None]:
        """A grant to send one request, given back if it is not spent.

        None where none is needed; raises Barred where there is none.
        """
        grant = None
        if self.requires_grant(endpoint):
            wish = rate_grants.GrantApplicant(
                vm=self._vm, priority=priority, is_waiting=waits
            )
            grant = await self._ask(endpoint, wish)
        try:
            yield grant
        finally:
            if grant is not None and not grant.is_spent:
                self._give_back(grant)

    async def _ask(
        self, endpoint: endpoints.Endpoint, wish: rate_grants.GrantApplicant
    ) -> Grant:
        now = self._loop.time()
        owner = self._owner(endpoint.id, now)
        if owner == self._vm:
            verdict = self._decide(endpoint.incarnation, wish, now)
        else:
            verdict = await self._ask_owner(owner, endpoint, wish)
        now = self._loop.time()
        self._eligible.gate.record_decision(endpoint, verdict, now)
        if verdict.granted:
            self._count(_Asked.GRANTED, endpoint)
            return Grant(endpoint=endpoint, owner=owner, at=now)
        self._count(_Asked.USED_UP, endpoint)
        self._say(endpoint, owner, "Rate is used up.", verdict.wait_s)
        raise exceptions.EndpointIneligible(
            eligibility.IneligibleReason.RATE.value
        )

    def _count(self, what: _Asked, endpoint: endpoints.Endpoint) -> None:
        self._metrics.count("rate_grants", what, endpoint.service)

    def _say(
        self,
        endpoint: endpoints.Endpoint,
        owner: types.VmId,
        sentence: str,
        wait_s: float | None = None,
    ) -> None:
        if not self._pauses.is_due(endpoint.id, self._loop.time()):
            return
        logs.say(
            logs.Part.GATEWAY,
            sentence,
            endpoint=endpoint.id,
            owner=owner,
            rate_per_s=self._eligible.rates.per_s(endpoint),
            wait_s=None if wait_s is None else round(wait_s, 3),
        )

    async def _ask_owner(
        self,
        owner: types.VmId,
        endpoint: endpoints.Endpoint,
        wish: rate_grants.GrantApplicant,
    ) -> rate_grants.GrantDecision:
        number = next(self._numbers)
        rate = self._rate(endpoint.incarnation)
        msg = messages.GrantRequest(number=number, applicant=wish, rate=rate)
        answer = self._loop.create_future()
        self._asked[number] = answer
        try:
            self._send_to(owner, msg)
            async with asyncio.timeout(_ANSWER_S):
                found = await answer
        except TimeoutError as exc:
            self._eligible.gate.record_no_answer(endpoint, self._loop.time())
            self._count(_Asked.UNANSWERED, endpoint)
            self._say(endpoint, owner, "Owner of a rate does not answer.")
            raise exceptions.EndpointIneligible(
                eligibility.IneligibleReason.RATE.value
            ) from exc
        finally:
            del self._asked[number]
        self.receive_rate(found.rate, self._loop.time())
        return found.decision

    def _send_to(self, vm: types.VmId, msg: Message) -> None:
        known = self._gateways.get(vm)
        if known is not None:
            self.send(codec.encode(msg), address.split(known.load_address))

    def _rate(self, key: endpoints.Incarnation) -> endpoint_rates.RateUpdate:
        """What is known here of a rate."""
        return self._eligible.rates.update_for(key, self._loop.time())

    def receive(self, msg: Message, sender: address.Address) -> None:
        """A message of another gateway."""
        if isinstance(msg, messages.GrantRequest):
            self._answer(msg, sender)
        elif isinstance(msg, messages.GrantAnswer):
            self._take_answer(msg)
        else:
            key = endpoints.Incarnation(msg.endpoint, msg.born)
            self._book.release(key)

    def _answer(
        self, msg: messages.GrantRequest, sender: address.Address
    ) -> None:
        now = self._loop.time()
        self.receive_rate(msg.rate, now)
        key = msg.rate.incarnation
        verdict = self._decide(key, msg.applicant, now)
        answer = messages.GrantAnswer(
            number=msg.number, decision=verdict, rate=self._rate(key)
        )
        self.send(codec.encode(answer), sender)

    def _take_answer(self, msg: messages.GrantAnswer) -> None:
        asked = self._asked.get(msg.number)
        if asked is not None and not asked.done():
            asked.set_result(msg)

    def _decide(
        self,
        key: endpoints.Incarnation,
        wish: rate_grants.GrantApplicant,
        now: float,
    ) -> rate_grants.GrantDecision:
        """What the owner says, if this gateway is the owner."""
        per_s = self._rate(key).per_s
        if per_s is None:
            # It has ended, and the asker is told so.
            return rate_grants.GrantDecision(granted=True)
        if self._owner(key.id, now) != self._vm:
            # Two do not agree yet on who there is.
            return rate_grants.GrantDecision(granted=False, wait_s=_ANSWER_S)
        return self._book.decide(
            key,
            wish,
            per_s=per_s,
            since=self._eligible.rates.since(key),
            share=self._share(now),
            now=now,
        )

    def _give_back(self, grant: Grant) -> None:
        key = grant.endpoint.incarnation
        if grant.owner == self._vm:
            self._book.release(key)
            return
        self._send_to(
            grant.owner, messages.ReturnGrant(endpoint=key.id, born=key.born)
        )

    def _owner(self, key: types.EndpointId, now: float) -> types.VmId:
        return rate_grants.owner(key, self._heard(now))

    def _heard(self, now: float) -> list[types.VmId]:
        """Gateways that may own a rate, this one included.

        Those of other groups tell this one nothing: they count as long as
        coordinators tell of them.
        """
        since = now - _SILENT_S
        heard = [
            vm
            for vm in self._gateways
            if vm != self._vm
            and (
                not self._group.contains(vm)
                or self._loads.received_since(vm, since)
            )
        ]
        return [self._vm, *heard]

    def _share(self, now: float) -> float:
        """The part of all gateways that is heard, this one included."""
        known = len(set(self._gateways) | {self._vm})
        return len(self._heard(now)) / known


def _nowhere(data: bytes, addr: address.Address) -> None:
    """There is no socket yet."""
