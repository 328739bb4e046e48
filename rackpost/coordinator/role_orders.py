"""Orders an endpoint over HTTP to change its role."""

import asyncio
import enum
from typing import NamedTuple

from rackpost.decide import eligibility
from rackpost import endpoint_notices
from rackpost import exceptions
from rackpost.http1 import message
from rackpost.http1 import pool as pool_mod
from rackpost import logs
from rackpost.platform import headers
from rackpost.platform import orders
from rackpost.routing import endpoints
from rackpost import types

# Timeout of a request for a report and of an order.
_REQUEST_TIMEOUT_S = 1.5
# Limit of a report and of the answer to an order.
_MAX_BODY_BYTES = 64 << 10
# Connections to one endpoint at a time.
_MAX_CONNECTIONS = 2


class OrderOutcome(enum.Enum):
    """Outcome of an order."""

    TAKEN = "taken"
    ALREADY_SET = "holds already"
    REFUSED = "refused"
    FENCED = "fenced"
    INELIGIBLE = "may get nothing now"
    # Another order is in progress at the endpoint.
    CHANGING = "is changing already"
    UNKNOWN = "not answered"


class Answer(NamedTuple):
    """An endpoint's complete answer."""

    status: int
    body: bytes


class OrderSender:
    """Sends orders to endpoints on behalf of one holder of the fence."""

    def __init__(
        self, *, holder: types.VmId, eligible: eligibility.Eligibility
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._holder = holder
        self._eligible = eligible
        self._pool = pool_mod.Pool(id_header=headers.REQUEST_ID)

    def sweep(self) -> None:
        """Forget addresses without connections."""
        self._pool.sweep()

    async def send_order(
        self,
        endpoint: endpoints.Endpoint,
        role: types.Role,
        fence: types.Fence,
        *,
        until: float,
        reports_changing: bool = False,
    ) -> OrderOutcome:
        """Order an endpoint to take a role, unless it is changing already.

        The outcome is then CHANGING with `reports_changing`, else REFUSED.
        Endpoints refuse an order whose fence is below that of an earlier
        one.  No order is sent from `until` on (event loop clock): another
        coordinator may then hold the lease, as after a suspension of this
        VM.
        """
        try:
            report = await self._fetch_report(endpoint)
        except exceptions.EndpointIneligible:
            return OrderOutcome.INELIGIBLE
        except (exceptions.ExchangeError, exceptions.CodecError) as exc:
            logs.say(
                logs.Part.COORDINATOR,
                "No report from endpoint.",
                endpoint=endpoint.id,
                why=str(exc),
            )
            return OrderOutcome.REFUSED
        if report is None:
            return self._refusal_outcome(endpoint)
        if report.changing:
            outcome = self._refusal_outcome(endpoint)
            if reports_changing and outcome is OrderOutcome.REFUSED:
                outcome = OrderOutcome.CHANGING
            return outcome
        order = orders.change_role(
            role,
            holder=self._holder,
            fence=fence,
            orders_taken=report.orders_taken,
        )
        if self._loop.time() >= until:
            logs.say(
                logs.Part.COORDINATOR,
                "Order not given, too late.",
                endpoint=endpoint.id,
                fence=fence,
            )
            return OrderOutcome.REFUSED
        return await self._post_order(endpoint, order)

    async def _fetch_report(
        self, endpoint: endpoints.Endpoint
    ) -> orders.Report | None:
        answer = await self._call(endpoint, b"GET", orders.REPORT_PATH, b"")
        if answer.status != 200:
            return None
        return orders.decode_report(answer.body)

    async def _post_order(
        self, endpoint: endpoints.Endpoint, order: bytes
    ) -> OrderOutcome:
        try:
            answer = await self._call(
                endpoint, b"POST", orders.ORDER_PATH, order
            )
        except exceptions.ExchangeError as exc:
            return (
                OrderOutcome.UNKNOWN
                if exc.sent
                else self._refusal_outcome(endpoint)
            )
        if answer.status == 412:
            return OrderOutcome.FENCED
        if answer.status == 202:
            return OrderOutcome.TAKEN
        if answer.status == 200:
            return OrderOutcome.ALREADY_SET
        return self._refusal_outcome(endpoint)

    def _refusal_outcome(self, endpoint: endpoints.Endpoint) -> OrderOutcome:
        """Return the outcome of a refusal, which may request a back-off."""
        if (
            self._eligible.ineligible_reason(endpoint, self._loop.time())
            is not None
        ):
            return OrderOutcome.INELIGIBLE
        return OrderOutcome.REFUSED

    def _record_notices(
        self, endpoint: endpoints.Endpoint, head: message.Head
    ) -> None:
        endpoint_notices.record_answer(
            self._eligible,
            endpoint,
            head,
            part=logs.Part.COORDINATOR,
            now=self._loop.time(),
        )

    async def _call(
        self,
        endpoint: endpoints.Endpoint,
        method: bytes,
        path: bytes,
        body: bytes,
    ) -> Answer:
        fields = [
            (b"host", endpoint.address.encode()),
            (headers.ENDPOINT_ID, endpoint.id.encode()),
        ]
        if body:
            fields.append((b"content-type", b"application/json"))
            fields.append((b"content-length", b"%d" % len(body)))
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                async with self._pool.connection(
                    endpoint.address, limit=_MAX_CONNECTIONS, fresh=True
                ) as conn:
                    endpoint_notices.check_eligible(
                        self._eligible, endpoint, self._loop.time()
                    )
                    head = await conn.request(
                        head=message.request_head(method, path, fields),
                        body=body,
                        request_id=None,
                    )
                    self._record_notices(endpoint, head)
                    content = await conn.read_whole(_MAX_BODY_BYTES)
                    return Answer(status=head.status, body=content)
        except TimeoutError as exc:
            raise exceptions.ExchangeError("no answer in time") from exc
