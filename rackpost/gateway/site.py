"""The state that a gateway's tasks share: routes, endpoints, loads."""

import asyncio
import collections
import random
from typing import Any
from typing import Coroutine
from typing import Sequence

from rackpost import background
from rackpost.coordinator import messages
from rackpost import crash_tracker as crash_tracker_mod
from rackpost.decide import answer_lengths
from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import features
from rackpost.decide import gateway_groups
from rackpost.decide import holds
from rackpost.decide import overload as overload_mod
from rackpost.decide.pace import batch_timing
from rackpost.decide.pace import endpoint_pace
from rackpost.decide.pace import measured_pace
from rackpost.decide.pace import running_streams
from rackpost.decide.pace import second_reads
from rackpost.decide import plain_queue
from rackpost.decide import quota
from rackpost.decide import quota_buckets
from rackpost.decide import quota_use
from rackpost.decide import recent_refusals as recent_refusals_mod
from rackpost.decide import request_durations
from rackpost.decide import retry_budget
from rackpost.decide import role_balance
from rackpost.decide import stream_origins
from rackpost.decide import token_timing as token_timing_mod
from rackpost.decide.waiting import decisions as decisions_mod
from rackpost.decide.waiting import orders as orders_mod
from rackpost.decide.waiting import waiting_use
from rackpost.gateway import admission_queue as admission_queue_mod
from rackpost.gateway import origin_exchange
from rackpost.gateway import planned_stop
from rackpost.gateway import policy as policy_mod
from rackpost.gateway import rate_grants
from rackpost.http1 import pool as pool_mod
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.platform import headers
from rackpost.platform import settings
from rackpost.routing import changes
from rackpost.routing import endpoints
from rackpost.routing import match
from rackpost.routing import model
from rackpost.scheduler import client as scheduler_client
from rackpost import types

# An endpoint without this many heartbeats is used last; single ones may be
# seconds late, and a coordinator's crash loses two.
_MAX_MISSED_HEARTBEATS = 3.5
# Gateways send load reports at least each second.
_GATEWAY_TIMEOUT_S = 1.3
# Share of the VM's memory for endpoints' answers that are being read.
_ANSWERS_MEMORY_SHARE = 0.1


class Site:
    """Routes, endpoints and their loads, as one gateway knows them."""

    def __init__(
        self,
        *,
        host: settings.HostSettings,
        policy: policy_mod.Policy = policy_mod.Policy(),
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.tasks = background.Tasks(part=logs.Part.GATEWAY)
        self.host = host
        self.policy = policy
        self.rng = random.Random()
        self.metrics = metrics_mod.Metrics()
        self.started_at = self._loop.time()
        self.overload = overload_mod.OverloadGuard()
        self.routes: match.RouteTable | None = None
        # Set once there are routes.
        self.routes_loaded = asyncio.Event()
        self.table = endpoints.EndpointTable()
        self.versions = stream_origins.VersionHistory()
        self.crash_tracker = crash_tracker_mod.CrashTracker(
            table=self.table, heartbeat_s=host.heartbeat_ms / 1000.0
        )
        self.loads_changed = asyncio.Event()
        self.loads = endpoint_load.LoadTable(on_change=self.loads_changed.set)
        self.overload.others_have_room = lambda: overload_mod.is_crowded(
            self.loads.own_requests, self.loads.requests_elsewhere()
        )
        self.capacity_changed = asyncio.Event()
        self.health = endpoint_health.HealthTracker()
        self.pool = pool_mod.Pool(
            id_header=headers.REQUEST_ID,
            max_answer_bytes=host.limits.memory_bytes(_ANSWERS_MEMORY_SHARE),
        )
        self.group = gateway_groups.Group(vm=host.vm)
        self.eligibility = eligibility.Eligibility(
            table=self.table, rng=self.rng
        )
        self.chooser = endpoint_choice.Chooser(
            candidates=candidates.Candidates(
                table=self.table,
                eligible=self.eligibility,
                silent_after_s=_MAX_MISSED_HEARTBEATS
                * host.heartbeat_ms
                / 1000.0,
                group=self.group,
                health=self.health,
            ),
            loads=self.loads,
            health=self.health,
            data_centre=host.data_centre,
            rng=self.rng,
            pace_of=self.pace_of,
        )
        self.token_timing = token_timing_mod.TokenTiming()
        self._batch_timings: dict[
            types.ServiceName, batch_timing.BatchTiming
        ] = collections.defaultdict(batch_timing.BatchTiming)
        self.running_streams = running_streams.RunningStreams()
        # The pace of endpoints whose service uses `ENDPOINT_PACE`.
        self.measured_pace = measured_pace.MeasuredPace(
            streams=self.running_streams
        )
        self._equal_pace = endpoint_pace.EqualPace()
        self.answer_lengths = answer_lengths.AnswerLengths()
        self.refusals = recent_refusals_mod.RefusalTable()
        self.orders = orders_mod.Orders(
            vm=host.vm,
            decisions_of=lambda service: self._decisions.get(
                service, frozenset()
            ),
            weight_of=self._weight_of,
        )
        self.admission_queue = admission_queue_mod.AdmissionQueue(
            chooser=self.chooser,
            loads=self.loads,
            token_timing=self.token_timing,
            capacity_changed=self.capacity_changed,
            rng=self.rng,
            vm=host.vm,
            on_waiters_changed=self.loads_changed.set,
            split=policy.split,
            orders=self.orders,
            metrics=self.metrics,
        )
        self.capacity = scheduler_client.PoolClient(
            local=self.admission_queue,
            is_scheduled=self._is_scheduled,
            chooser=self.chooser,
            loads=self.loads,
            table=self.table,
            eligible=self.eligibility,
            health=self.health,
            token_timing=self.token_timing,
            capacity_changed=self.capacity_changed,
            metrics=self.metrics,
            data_centre=host.data_centre,
        )
        self.quotas = quota_buckets.SharedBuckets(
            settings=_quota_settings(host.bounds),
            started_at=self.started_at,
            limit_of=self._quota_of,
        )
        self.rate_grants = rate_grants.RateGrants(
            vm=host.vm,
            eligible=self.eligibility,
            loads=self.loads,
            group=self.group,
            metrics=self.metrics,
            rng=self.rng,
        )
        # Shown to operators.
        self.waiting_use = waiting_use.WaitingTracker()
        self.quota_use = quota_use.QuotaUseTracker(
            window_s=host.bounds.quota_window_s
        )
        self.gateways: dict[types.VmId, messages.GatewayAddress] = {}
        self.origins = origin_exchange.OriginExchange(
            vm=host.vm,
            gateways=self.gateways,
            # Outlives the loss of as many coordinators as the site bears.
            copies=host.tolerance.vms + 1,
            rng=self.rng,
        )
        self.planned_stop = planned_stop.PlannedStop()
        self.durations = request_durations.RequestDurations()
        self.hold_pauses = holds.Pauses()
        self._listed_vms: set[types.VmId] = set()
        # The decisions of the contention order that are on, by service.
        self._decisions: dict[
            types.ServiceName, frozenset[decisions_mod.Decision]
        ] = {}
        self._features: dict[
            types.ServiceName, frozenset[features.Feature]
        ] = {}
        self._second_reads: dict[
            types.ServiceName, second_reads.SecondReads
        ] = {}
        self._plain_queues: dict[types.ServiceName, plain_queue.PlainQueue] = (
            {}
        )
        self._demand_meters: dict[
            types.ServiceName, role_balance.DemandMeter
        ] = {}
        self._retry_budgets: dict[
            types.ServiceName, retry_budget.RetryBudget
        ] = {}

    def _quota_of(self, name: types.OrganisationName) -> model.Quota | None:
        if self.routes is None:
            return None
        item = self.routes.organisations.by_name(name)
        return None if item is None else item.quota

    def _weight_of(self, name: types.OrganisationName | None) -> float | None:
        """Return the weight of an organisation's share: its quota."""
        found = None if name is None else self._quota_of(name)
        # Quotas in requests and in tokens can't be compared.
        if found is None or not found.by_tokens:
            return None
        return found.rate_per_s

    def _is_scheduled(self, service: types.ServiceName) -> bool:
        """Whether a coordinator may grant the capacity of a service.

        A scheduler does not know the groups of a large fleet.
        """
        return not self.group.is_partial and self.has_feature(
            service, features.Feature.POOL_SCHEDULER
        )

    def loop_time(self) -> float:
        """Return the loop's monotonic clock, in seconds."""
        return self._loop.time()

    def endpoint_time_s(self, took_s: float) -> float | None:
        """Return a measured time if it says something of an endpoint.

        None where this gateway's own delays may be a part of it.
        """
        return None if self.overload.is_delayed else took_s

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        self.tasks.spawn(coro)

    @property
    def version(self) -> int | None:
        """Version of the routing document in force here, if one is."""
        return None if self.routes is None else self.routes.version

    @property
    def gateway_count(self) -> int:
        """How many gateways share the site's budgets, this one included."""
        return max(1, len(self.gateways))

    def set_gateways(self, listed: Sequence[messages.GatewayAddress]) -> None:
        """Take the list of linked gateways that coordinators report."""
        self._listed_vms = {item.vm for item in listed}
        for item in listed:
            self.add_gateway(item)
        self.drop_silent_gateways()

    def _apply_gateway_count(self) -> None:
        """Apply the number of gateways that share endpoints and quotas."""
        self.chooser.set_gateways(self.gateway_count)
        self.group.set_gateways(self.gateway_count)
        self.quotas.gateways = self.gateway_count
        self.rate_grants.set_gateways(self.gateways.values())

    def add_gateway(self, item: messages.GatewayAddress) -> None:
        """Add a gateway that shares the site's budgets and endpoints."""
        if self.gateways.get(item.vm) != item:
            self.gateways[item.vm] = item
            self._apply_gateway_count()
            # A new gateway needs this one's load report.
            self.loads_changed.set()

    def record_versions(self, is_linked: bool) -> None:
        """Record the endpoints' software versions, as far as all are known.

        Without a link to a coordinator endpoints come and leave unseen.
        """
        if is_linked:
            self.versions.record(self.table.alive.values(), self.loop_time())
        else:
            self.versions.restart()

    def drop_silent_gateways(self) -> None:
        """Drop gateways without load reports that no coordinator lists.

        A gateway that is cut off from the coordinators goes on serving and
        stays.
        """
        since = self.loop_time() - _GATEWAY_TIMEOUT_S
        for vm in set(self.gateways) - self._listed_vms - {self.host.vm}:
            if not self.loads.received_since(vm, since):
                del self.gateways[vm]
                self._apply_gateway_count()
                self.loads.forget(vm)

    def apply_routing(self, change: changes.Change) -> bool:
        """Apply a routing change, unless it is not newer.

        Returns whether it was applied.  Raises RoutingError where the change
        does not fit the present version.
        """
        held = self.version
        if held is not None and change.version <= held:
            return False
        routes = self.routes or match.RouteTable()
        routes.apply(change)
        self.routes = routes
        self._update_features(routes)
        self.overload.max_lag_s = overload_mod.max_lag_s(
            min(
                (item.target_s for item in routes if item.target_s > 0.0),
                default=None,
            )
        )
        self.routes_loaded.set()
        return True

    def _update_features(self, routes: match.RouteTable) -> None:
        """Decide which parts of load management each service uses."""
        profiles = features.profiles(
            routes, routes.services.values(), routes.organisations.all()
        )
        found = {
            service: features.features_for(item, self.policy.parts)
            for service, item in profiles.items()
        }
        found |= features.features_of_plain(found, routes.services.values())
        if found == self._features:
            return
        self._features = found
        self._decisions = {
            service: decisions_mod.of_features(parts)
            for service, parts in found.items()
        }
        for service, item in profiles.items():
            logs.say(
                logs.Part.GATEWAY,
                "Parts of load management.",
                service=service,
                parts=sorted(feature.value for feature in found[service]),
                kinds=item.kinds,
                priorities=sorted(item.priorities),
                quotas=item.has_quotas,
                version=routes.version,
            )

    def has_feature(
        self, service: types.ServiceName, feature: features.Feature
    ) -> bool:
        """Whether a part of load management is on for a service."""
        return feature in self._features.get(service, ())

    def uses(self, feature: features.Feature) -> bool:
        """Whether a part of load management is on for any service."""
        return any(feature in parts for parts in self._features.values())

    def pace_of(
        self, service: types.ServiceName
    ) -> endpoint_pace.EndpointPace:
        """Return the pace of a service's endpoints."""
        if self.has_feature(service, features.Feature.ENDPOINT_PACE):
            return self.measured_pace
        return self._equal_pace

    def batch_timing_of(
        self, service: types.ServiceName
    ) -> batch_timing.BatchTiming:
        """Return the usual event intervals of a model service."""
        return self._batch_timings[service]

    def retry_budget(
        self, service: types.ServiceName
    ) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        found = self._retry_budgets.get(service)
        if found is None:
            bounds = self.host.bounds
            found = retry_budget.RetryBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_s=bounds.retry_window_s,
            )
            self._retry_budgets[service] = found
        return found

    def second_reads_of(
        self, service: types.ServiceName
    ) -> second_reads.SecondReads:
        """Return the second reads of a plain service."""
        found = self._second_reads.get(service)
        if found is None:
            found = second_reads.SecondReads(phase=self.rng.random())
            self._second_reads[service] = found
        return found

    def plain_queue(
        self, service: types.ServiceName
    ) -> plain_queue.PlainQueue:
        """Return the queue of requests that wait for a plain service."""
        return self._plain_queues.setdefault(service, plain_queue.PlainQueue())

    def demand_meter(
        self, service: types.ServiceName
    ) -> role_balance.DemandMeter:
        """Return the demand meter of a model service."""
        found = self._demand_meters.get(service)
        if found is None:
            found = role_balance.DemandMeter(started_at=self.started_at)
            self._demand_meters[service] = found
        return found

    def demands(self) -> tuple[role_balance.Demand, ...]:
        """Return the recent demand for each model service."""
        now = self.loop_time()
        return tuple(
            meter.demand(
                service,
                now,
                self.token_timing,
                with_recent=self.has_feature(
                    service, features.Feature.EARLY_ROLES
                ),
            )
            for service, meter in self._demand_meters.items()
        )

    def has_early_requests(self) -> bool:
        """Whether requests came lately for services with early roles."""
        now = self.loop_time()
        return any(
            meter.has_recent(now)
            for service, meter in self._demand_meters.items()
            if self.has_feature(service, features.Feature.EARLY_ROLES)
        )

    def max_connections_to(self, service: model.Service) -> int:
        """Return how many connections this gateway may open per endpoint."""
        return max(2, service.max_connections * 9 // 10 // self.gateway_count)


def _quota_settings(bounds: settings.Bounds) -> quota.QuotaSettings:
    return quota.QuotaSettings(
        window_s=bounds.quota_window_s,
        overshoot=bounds.quota_overshoot,
        slack=bounds.quota_slack,
    )
