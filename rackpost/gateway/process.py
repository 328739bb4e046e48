"""The gateway process: its listeners, its links, its planned stop."""

import asyncio
import contextlib
import enum
from typing import AsyncIterator

from rackpost.coordinator import links
from rackpost.decide import role_reports
from rackpost.decide import slow_readers
from rackpost.gateway import control_links
from rackpost.gateway import handler as handler_mod
from rackpost.gateway import load_exchange
from rackpost.gateway import policy as policy_mod
from rackpost.gateway import refusal_report
from rackpost.gateway import site as site_mod
from rackpost.http1 import address
from rackpost.http1 import message
from rackpost.http1 import pages
from rackpost.http1 import server
from rackpost import listening
from rackpost import logs
from rackpost.platform import headers
from rackpost.platform import paths
from rackpost.platform import settings
from rackpost import process_figures

# Part of the grace time reserved for the last answers and for closing links,
# in seconds.
_CLOSING_S = 0.5
_LAST_ANSWERS_S = 0.2
_POLL_S = 0.05
# A started gateway waits this long for endpoints before it reports ready
# without any, in seconds.
_ENDPOINTS_WAIT_S = 5.0
_SWEEP_S = 1.0
# Share of the VM's memory for answers that clients have not read yet.
_READERS_MEMORY_SHARE = 0.125
# Share of the VM's memory for clients' requests.  Each of them is copied when
# it is sent to an endpoint.
_REQUESTS_MEMORY_SHARE = 0.1


class SlowReader(enum.Enum):
    """What happened to a client that reads slowly."""

    DISCONNECTED = "disconnected"


class Gateway:
    """A running gateway."""

    def __init__(
        self,
        *,
        host: settings.HostSettings,
        policy: policy_mod.Policy = policy_mod.Policy(),
    ) -> None:
        self._host = host
        self.site = site_mod.Site(host=host, policy=policy)
        self._links = control_links.ControlLinks(site=self.site)
        self._refusals = refusal_report.RefusalReport(site=self.site)
        self._server = server.Server(
            handler=handler_mod.Handler(site=self.site).handle,
            failed=_log_failure,
            reader_budget=slow_readers.ReaderBudget(
                max_bytes=host.limits.memory_bytes(_READERS_MEMORY_SHARE)
            ),
            max_request_bytes=host.limits.memory_bytes(_REQUESTS_MEMORY_SHARE),
            disconnected=self._on_slow_reader,
            guard=self.site.overload,
        )
        self.stopping = False
        self._ready = False
        self._closes_unread = False
        self._shed_requests = 0
        self._memory = process_figures.MemoryWatch(
            part=logs.Part.GATEWAY, limit_mb=host.limits.memory_mb
        )
        self._began = self.site.loop_time()

    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        ready = (
            self._server.is_listening
            and self._has_routes_and_endpoints()
            and not self.stopping
        )
        if ready != self._ready:
            self._ready = ready
            logs.say(
                logs.Part.GATEWAY,
                "Ready." if ready else "Not ready.",
                version=self.site.version,
                stopping=self.stopping,
            )
        return ready

    def _has_routes_and_endpoints(self) -> bool:
        """Whether there are routes, and endpoints if the site has any."""
        if self.site.routes is None:
            return False
        waited = self.site.loop_time() - self._began
        return bool(self.site.table.alive) or waited > _ENDPOINTS_WAIT_S

    def reload(self, host: settings.HostSettings) -> None:
        """Apply new settings: other seeds."""
        self._links.reload(host)
        logs.say(
            logs.Part.GATEWAY, "Settings reloaded.", seeds=list(host.seeds)
        )

    def _on_slow_reader(
        self, req: message.Request, reader: slow_readers.Reader
    ) -> None:
        self.site.metrics.count("slow_readers", SlowReader.DISCONNECTED)
        logs.say(
            logs.Part.GATEWAY,
            "Slow reader disconnected.",
            request=_request_id(req),
            held_bytes=reader.held_bytes,
            bytes_per_s=round(reader.bytes_per_s),
            held_for_all=self._server.held_bytes,
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self.site.pool.sweep()
            self._links.publish_demands()
            self.site.loads.expire(self.site.loop_time())
            self.site.quotas.forget(self.site.loop_time())
            self.site.drop_silent_gateways()
            self.site.record_versions(self._links.linked_count > 0)
            self.site.rate_grants.sweep()
            self.site.crash_tracker.recheck(self.site.loop_time())
            if self.site.routes is not None:
                self._server.limits = self.site.routes.limits
            self._log_overload()
            self._memory.look()
            self._log_shed()
            self._refusals.log_if_due(
                self._links.linked_count, self._links.offered_version
            )

    def _log_shed(self) -> None:
        """Log how many requests were refused for memory, if any were."""
        shed = self._server.requests.shed
        if shed == self._shed_requests:
            return
        logs.say(
            logs.Part.GATEWAY,
            "Requests too large for the memory were refused, not run.",
            count=shed - self._shed_requests,
            held_bytes=self._server.requests.held_bytes,
            max_bytes=self._server.requests.max_bytes,
        )
        self._shed_requests = shed

    def _log_overload(self) -> None:
        """Log when the gateway starts or stops to close new connections."""
        guard = self.site.overload
        closes_unread = guard.share < 1.0
        if closes_unread == self._closes_unread:
            return
        self._closes_unread = closes_unread
        logs.say(
            logs.Part.GATEWAY,
            (
                "Overloaded, new connections are closed."
                if closes_unread
                else "All new connections are taken."
            ),
            loop_lag_s=round(guard.loop_lag_s, 3),
            link_delay_s=round(guard.link_delay_s, 3),
            max_lag_s=round(guard.max_lag_s, 3),
            admitted_share=round(guard.share, 2),
            closed_unread=self._server.closed_unread,
            busy=self._server.busy,
            report_bytes=sum(
                self.site.metrics.totals("load_report_bytes").values()
            ),
        )

    async def _report_new_demands(self) -> None:
        while True:
            await asyncio.sleep(role_reports.CHECK_INTERVAL_S)
            self._links.publish_new_demands()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Serve until the block ends."""
        exchange = load_exchange.LoadExchange(site=self.site)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._links.close)
            stack.callback(self.site.pool.close)
            stack.push_async_callback(self.site.tasks.close)
            for serve, at in (
                (exchange.running, exchange.address),
                (self._serving_ready, self._host.listen.ready),
                (self._serving_metrics, self._metrics_address),
                (self._serving_clients, self._host.listen.clients),
            ):
                await stack.enter_async_context(
                    listening.kept(serve, part=logs.Part.GATEWAY, address=at)
                )
            self.site.tasks.keep(self._sweep)
            self.site.tasks.keep(self._report_new_demands)
            self.site.tasks.keep(self.site.admission_queue.run)
            self.site.tasks.keep(self.site.capacity.run)
            yield

    def _serving_ready(self) -> contextlib.AbstractAsyncContextManager:
        at = address.split(self._host.listen.ready)
        return pages.serving(
            {paths.READY: self._ready_page},
            host=at.host,
            port=at.port,
            failed=_log_failure,
        )

    def _serving_clients(self) -> contextlib.AbstractAsyncContextManager:
        at = address.split(self._host.listen.clients)
        return self._server.serving(at.host, at.port)

    @property
    def _metrics_address(self) -> str:
        port = self._host.internal_ports[0] + links.METRICS_PORT
        return f"{self._host.ip}:{port}"

    def _serving_metrics(self) -> contextlib.AbstractAsyncContextManager:
        at = address.split(self._metrics_address)
        return pages.serving(
            {b"/metrics": self._metrics_page},
            host=at.host,
            port=at.port,
            failed=_log_failure,
        )

    def _ready_page(self) -> tuple[int, str]:
        return (200, "ready\n") if self.is_ready() else (503, "not ready\n")

    def _metrics_page(self) -> tuple[int, str]:
        process_figures.record(self.site.metrics)
        self.site.metrics.gauge(
            "document_version",
            0 if self.site.version is None else self.site.version,
        )
        self.site.metrics.gauge("connections_opened", self.site.pool.opened)
        self.site.metrics.gauge("unread_bytes", self._server.held_bytes)
        self.site.metrics.gauge("closed_unread", self._server.closed_unread)
        answers = self.site.pool.answers
        self.site.metrics.gauge("answer_bytes", answers.held_bytes)
        self.site.metrics.gauge("answers_shed", answers.shed)
        requests = self._server.requests
        self.site.metrics.gauge("request_bytes", requests.held_bytes)
        self.site.metrics.gauge("requests_shed", requests.shed)
        self.site.metrics.gauge("own_delay_s", self.site.overload.lag_s)
        return 200, self.site.metrics.text()

    async def stop(self) -> None:
        """Drain the gateway within the grace time."""
        began = self.site.loop_time()
        self.stopping = True
        self._server.stopping = True
        self.is_ready()
        await self._drain(began)
        logs.say(
            logs.Part.GATEWAY,
            "Stopped.",
            ended_unanswered=self._server.ended_requests,
            cut_off=self._server.busy,
            took_s=round(self.site.loop_time() - began, 2),
        )

    async def _drain(self, began: float) -> None:
        """Wait until no request runs, up to the end of the grace time."""
        stop = self.site.planned_stop
        grace_s = self._host.bounds.grace_s
        stop.begin(now=began, ends_at=began + grace_s - _CLOSING_S)
        while not stop.has_ended(now := self.site.loop_time()):
            if stop.is_restricted(now):
                self._server.close_idle()
                if not self._server.busy:
                    return
            await asyncio.sleep(min(_POLL_S, max(0.0, stop.ends_at - now)))
        await self._server.end_requests(_LAST_ANSWERS_S)


def _request_id(req: message.Request) -> str:
    ident = message.find(req.headers, headers.REQUEST_ID) or b""
    return ident.decode("latin-1")


def _log_failure(req: message.Request, exc: Exception) -> None:
    logs.say(
        logs.Part.GATEWAY,
        "Request failed in the gateway.",
        request=_request_id(req),
        why=repr(exc),
    )
