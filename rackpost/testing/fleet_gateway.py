"""One gateway of a simulated fleet, with the endpoints that it knows."""

import asyncio
import math
import random
from typing import Iterator

from rackpost.decide import answer_lengths
from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide.pace import batch_timing
from rackpost.decide.pace import endpoint_pace
from rackpost.decide.pace import measured_pace
from rackpost.decide.pace import running_streams
from rackpost.decide import token_timing as token_timing_mod
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import admission_queue as admission_queue_mod
from rackpost.gateway import capacity_source
from rackpost.routing import endpoints
from rackpost.testing import fleet_load
from rackpost import types

SERVICE = types.ServiceName("model")
_HERE = types.DataCentre("here")


class Gateway:
    """One gateway's production queue, choice and load table."""

    def __init__(self, *, number: int, spec: fleet_load.Spec) -> None:
        self.vm = types.VmId(f"g{number}")
        self.load_changed = asyncio.Event()
        self.capacity_changed = asyncio.Event()
        self.loads = endpoint_load.LoadTable(on_change=self.load_changed.set)
        self.health = endpoint_health.HealthTracker()
        self.token_timing = token_timing_mod.TokenTiming()
        self.lengths = answer_lengths.AnswerLengths()
        self.sequence = 0
        self.batch_timing = batch_timing.BatchTiming()
        self.running_streams = running_streams.RunningStreams()
        self.pace: endpoint_pace.EndpointPace = endpoint_pace.EqualPace()
        if spec.measures_pace:
            self.pace = measured_pace.MeasuredPace(
                streams=self.running_streams
            )
        rng = random.Random(number)
        table = endpoints.EndpointTable()
        for item in (*model_endpoints(spec), *plain_endpoints()):
            table.update(item, 0.0)
        chooser = endpoint_choice.Chooser(
            candidates=candidates.Candidates(
                table=table,
                eligible=eligibility.Eligibility(
                    table=table, rng=random.Random(1)
                ),
                silent_after_s=math.inf,
                health=self.health,
            ),
            loads=self.loads,
            health=self.health,
            data_centre=_HERE,
            rng=rng,
            pace_of=lambda _: self.pace,
        )
        chooser.set_gateways(spec.gateways)
        self.orders = orders_mod.Orders(
            vm=self.vm, decisions_of=lambda _: spec.decisions
        )
        self.chooser = chooser
        self.table = table
        self.admission_queue = admission_queue_mod.AdmissionQueue(
            chooser=chooser,
            loads=self.loads,
            token_timing=self.token_timing,
            rng=rng,
            vm=self.vm,
            capacity_changed=self.capacity_changed,
            on_waiters_changed=self.load_changed.set,
            orders=self.orders,
        )
        self.capacity: capacity_source.CapacitySource = self.admission_queue
        # Timings of a gateway that has served for some time.
        self.token_timing.record_prefill(1000, 1000 * spec.prefill_token_s)
        token_s = spec.token_s + 8 * spec.token_each_s
        self.token_timing.record_decode(4000, 4000 * token_s)

    def reported_loads(
        self,
    ) -> dict[types.EndpointId, endpoint_load.EndpointLoad]:
        """Return a copy of this gateway's loads, to publish."""
        return {
            key: endpoint_load.EndpointLoad(
                requests=use.requests,
                prompt_tokens=use.prompt_tokens,
                runs=[
                    kv_forecast.Run(
                        held_tokens=run.held_tokens,
                        remaining_tokens=run.remaining_tokens,
                        error_tokens=run.error_tokens,
                    )
                    for run in use.runs
                ],
            )
            for key, use in self.loads.own.items()
        }


def model_endpoints(spec: fleet_load.Spec) -> Iterator[endpoints.Endpoint]:
    roles = [("p", types.Role.PREFILL, spec.prefills, spec.new_prefills)]
    roles.append(("d", types.Role.DECODE, spec.decodes, spec.new_decodes))
    for letter, role, count, new in roles:
        for number in range(count):
            yield endpoints.Endpoint(
                id=types.EndpointId(f"{letter}{number}"),
                service=SERVICE,
                address=f"{letter}{number}:1",
                data_centre=_HERE,
                role=role,
                slots=spec.slots,
                sequence=1,
                software=types.SoftwareVersion("2" if number < new else "1"),
            )


def plain_endpoints() -> list[endpoints.Endpoint]:
    return [
        endpoints.Endpoint(
            id=types.EndpointId(f"q{number}"),
            service=types.ServiceName("plain"),
            address=f"q{number}:1",
            data_centre=_HERE,
            role=types.Role.PLAIN,
            slots=8,
            sequence=1,
        )
        for number in range(5)
    ]
