"""Grants to send requests to endpoints that name a rate.

Each rate has one gateway as its owner.  The others request grants from the
owner by datagrams.
"""

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

# An owner answers within this, in seconds: some round trips between distant
# data centres.  Afterwards other endpoints are used.
_ANSWER_TIMEOUT_S = 0.12
# A gateway without a load report for this long owns no rate, in seconds;
# reports come each second, and one may be lost.
_OWNER_TIMEOUT_S = 2.5
# Lifetime of a grant, in seconds: enough for a prefill.  A longer one would
# let sends slip into a later window of the rate.
_GRANT_LIFETIME_S = 1.0
# Unused grant accounts are dropped after this, in seconds.
_LEDGER_KEEP_S = 30.0
# Least time between two log lines on one endpoint, in seconds.
_LOG_INTERVAL_S = 1.0
_REQUEST_NUMBER_BITS = 32

Send = Callable[[bytes, address.Address], None]
Message = Union[
    messages.GrantRequest, messages.GrantAnswer, messages.ReturnGrant
]


class _GrantOutcome(enum.Enum):
    """How a request for a grant ended, for the metrics."""

    GRANTED = "granted"
    USED_UP = "used up"
    UNANSWERED = "unanswered"


class Grant:
    """A grant to send one request to an endpoint, valid once and briefly."""

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

    def is_valid_for(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether the grant is valid for a request to this endpoint now."""
        same = self.endpoint.incarnation == endpoint.incarnation
        return (
            same and not self.is_spent and now < self._at + _GRANT_LIFETIME_S
        )


class RateGrants:
    """The grants that one gateway requests, and those that it decides."""

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
        self._ledger = rate_grants.GrantLedger(rng=rng)
        self._gateways: dict[types.VmId, messages.GatewayAddress] = {}
        # A random start, so that answers to an earlier incarnation of this
        # gateway match no request.
        self._request_numbers = itertools.count(
            rng.getrandbits(_REQUEST_NUMBER_BITS)
        )
        self._pending: dict[int, asyncio.Future[messages.GrantAnswer]] = {}
        self._log_pauses = logs.SubjectRateLimiter(pause_s=_LOG_INTERVAL_S)
        # Set by LoadExchange, which owns the socket.
        self.send: Send = _send_nothing

    def set_gateways(self, found: Iterable[messages.GatewayAddress]) -> None:
        """Set the gateways that may own a rate."""
        self._gateways = {item.vm: item for item in found}

    def sweep(self) -> None:
        """Drop expired state."""
        self._eligible.forget_rates()
        self._ledger.forget(self._loop.time() - _LEDGER_KEEP_S)

    def receive_rate(
        self, update: endpoint_rates.RateUpdate, now: float
    ) -> None:
        """Record an endpoint's rate that another gateway reports."""
        if not self._eligible.rates.receive(update, now):
            return
        logs.say(
            logs.Part.GATEWAY,
            "Told of an endpoint's rate.",
            endpoint=update.endpoint,
            born=update.born,
            rate_per_s=update.per_s,
            age_s=update.age_s,
        )

    def requires_grant(self, endpoint: endpoints.Endpoint) -> bool:
        """Whether requests to the endpoint need a grant."""
        return self._eligible.rates.per_s(endpoint) is not None

    def spend(self, endpoint: endpoints.Endpoint, grant: Grant | None) -> None:
        """Use up a grant for a request that is about to be sent.

        Raises Barred without a valid grant where one is needed, also if the
        rate was named only after the grant was to be acquired.
        """
        if not self.requires_grant(endpoint):
            return
        if grant is None or not grant.is_valid_for(
            endpoint, self._loop.time()
        ):
            raise exceptions.EndpointIneligible(
                eligibility.IneligibleReason.RATE.value
            )
        grant.is_spent = True

    @contextlib.asynccontextmanager
    async def acquire(
        self, endpoint: endpoints.Endpoint, *, priority: int, waits: bool
    ) -> AsyncIterator[Grant | None]:
        """Acquire a grant for one request; release it if it is not spent.

        Yields None where none is needed.  Raises Barred where none is
        available.
        """
        grant = None
        if self.requires_grant(endpoint):
            applicant = rate_grants.GrantApplicant(
                vm=self._vm, priority=priority, is_waiting=waits
            )
            grant = await self._request(endpoint, applicant)
        try:
            yield grant
        finally:
            if grant is not None and not grant.is_spent:
                self._release(grant)

    async def _request(
        self,
        endpoint: endpoints.Endpoint,
        applicant: rate_grants.GrantApplicant,
    ) -> Grant:
        now = self._loop.time()
        owner = self._owner(endpoint.id, now)
        if owner == self._vm:
            decision = self._decide(endpoint.incarnation, applicant, now)
        else:
            decision = await self._request_from_owner(
                owner, endpoint, applicant
            )
        now = self._loop.time()
        self._eligible.gate.record_decision(endpoint, decision, now)
        if decision.granted:
            self._count(_GrantOutcome.GRANTED, endpoint)
            return Grant(endpoint=endpoint, owner=owner, at=now)
        self._count(_GrantOutcome.USED_UP, endpoint)
        self._log(endpoint, owner, "Rate is used up.", decision.retry_after_s)
        raise exceptions.EndpointIneligible(
            eligibility.IneligibleReason.RATE.value
        )

    def _count(
        self, outcome: _GrantOutcome, endpoint: endpoints.Endpoint
    ) -> None:
        self._metrics.count("rate_grants", outcome, endpoint.service)

    def _log(
        self,
        endpoint: endpoints.Endpoint,
        owner: types.VmId,
        text: str,
        wait_s: float | None = None,
    ) -> None:
        if not self._log_pauses.is_due(endpoint.id, self._loop.time()):
            return
        logs.say(
            logs.Part.GATEWAY,
            text,
            endpoint=endpoint.id,
            owner=owner,
            rate_per_s=self._eligible.rates.per_s(endpoint),
            wait_s=None if wait_s is None else round(wait_s, 3),
        )

    async def _request_from_owner(
        self,
        owner: types.VmId,
        endpoint: endpoints.Endpoint,
        applicant: rate_grants.GrantApplicant,
    ) -> rate_grants.GrantDecision:
        number = next(self._request_numbers)
        rate = self._rate(endpoint.incarnation)
        msg = messages.GrantRequest(
            number=number, applicant=applicant, rate=rate
        )
        answer = self._loop.create_future()
        self._pending[number] = answer
        try:
            self._send_to(owner, msg)
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                found = await answer
        except TimeoutError as exc:
            self._eligible.gate.record_no_answer(endpoint, self._loop.time())
            self._count(_GrantOutcome.UNANSWERED, endpoint)
            self._log(endpoint, owner, "Owner of a rate does not answer.")
            raise exceptions.EndpointIneligible(
                eligibility.IneligibleReason.RATE.value
            ) from exc
        finally:
            del self._pending[number]
        self.receive_rate(found.rate, self._loop.time())
        return found.decision

    def _send_to(self, vm: types.VmId, msg: Message) -> None:
        known = self._gateways.get(vm)
        if known is not None:
            self.send(codec.encode(msg), address.split(known.load_address))

    def _rate(self, key: endpoints.Incarnation) -> endpoint_rates.RateUpdate:
        """Return what this gateway knows of a rate."""
        return self._eligible.rates.update_for(key, self._loop.time())

    def receive(self, msg: Message, sender: address.Address) -> None:
        """Handle a message of another gateway."""
        if isinstance(msg, messages.GrantRequest):
            self._answer_request(msg, sender)
        elif isinstance(msg, messages.GrantAnswer):
            self._receive_answer(msg)
        else:
            key = endpoints.Incarnation(msg.endpoint, msg.born)
            self._ledger.release(key)

    def _answer_request(
        self, msg: messages.GrantRequest, sender: address.Address
    ) -> None:
        now = self._loop.time()
        self.receive_rate(msg.rate, now)
        key = msg.rate.incarnation
        decision = self._decide(key, msg.applicant, now)
        answer = messages.GrantAnswer(
            number=msg.number, decision=decision, rate=self._rate(key)
        )
        self.send(codec.encode(answer), sender)

    def _receive_answer(self, msg: messages.GrantAnswer) -> None:
        pending = self._pending.get(msg.number)
        if pending is not None and not pending.done():
            pending.set_result(msg)

    def _decide(
        self,
        key: endpoints.Incarnation,
        applicant: rate_grants.GrantApplicant,
        now: float,
    ) -> rate_grants.GrantDecision:
        """Return the owner's decision on a request for a grant."""
        per_s = self._rate(key).per_s
        if per_s is None:
            # The endpoint names no rate any more; the answer says so.
            return rate_grants.GrantDecision(granted=True)
        if self._owner(key.id, now) != self._vm:
            # The gateways do not agree yet on the owner.
            return rate_grants.GrantDecision(
                granted=False, retry_after_s=_ANSWER_TIMEOUT_S
            )
        return self._ledger.decide(
            key,
            applicant,
            per_s=per_s,
            since=self._eligible.rates.since(key),
            share=self._reachable_share(now),
            now=now,
        )

    def _release(self, grant: Grant) -> None:
        key = grant.endpoint.incarnation
        if grant.owner == self._vm:
            self._ledger.release(key)
            return
        self._send_to(
            grant.owner, messages.ReturnGrant(endpoint=key.id, born=key.born)
        )

    def _owner(self, key: types.EndpointId, now: float) -> types.VmId:
        return rate_grants.owner(key, self._possible_owners(now))

    def _possible_owners(self, now: float) -> list[types.VmId]:
        """Return the gateways that may own a rate, this one included.

        Gateways of other groups send no load reports here; they count while
        the coordinators list them.
        """
        since = now - _OWNER_TIMEOUT_S
        others = [
            vm
            for vm in self._gateways
            if vm != self._vm
            and (
                not self._group.contains(vm)
                or self._loads.received_since(vm, since)
            )
        ]
        return [self._vm, *others]

    def _reachable_share(self, now: float) -> float:
        """Return the share of all gateways that may own a rate."""
        known = len(set(self._gateways) | {self._vm})
        return len(self._possible_owners(now)) / known


def _send_nothing(data: bytes, addr: address.Address) -> None:
    """Drop a datagram: there is no socket yet."""
