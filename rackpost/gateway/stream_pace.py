"""Watches the events of one generation: its endpoint's pace, its pauses."""

from rackpost.decide.pace import pauses
from rackpost.decide.pace import running_streams
from rackpost.decide.pace import stream_clock
from rackpost.gateway import call as call_mod
from rackpost.routing import endpoints
from rackpost.routing import model


class StreamPace:
    """Records the times between events of a generation at one endpoint."""

    def __init__(
        self,
        *,
        call: call_mod.Call,
        engine: model.Engine,
        endpoint: endpoints.Endpoint,
    ) -> None:
        self._call = call
        self._engine = engine
        self._endpoint = endpoint
        self._resumed = call.last_event_id is not None
        self._clock = stream_clock.StreamClock(
            endpoint=endpoint.id,
            pace=call.site.pace_of(call.service.name),
            timing=call.site.batch_timing_of(call.service.name),
            streams=call.site.running_streams,
        )
        self._runs = 0

    def record_event(self) -> None:
        """Record an event of the endpoint's stream."""
        site = self._call.site
        now = site.loop_time()
        runs = max(1, len(site.loads.total(self._endpoint.id).runs))
        if self._clock.stream is not None or self._resumed:
            self._explain_pause(now)
        self._clock.record_event(runs, now)
        self._runs = runs
        self._resumed = False
        self._call.times.client_s = 0.0

    def end(self) -> None:
        """Record that the generation has ended here."""
        self._clock.end()

    def _explain_pause(self, now: float) -> None:
        """Keep the likely cause of a pause that exceeds the target."""
        call = self._call
        times = call.times
        seconds = now - times.last_at
        if (
            not 0.0 < call.route.gap_s < seconds
            or seconds < times.longest_pause_s
        ):
            return
        facts = self._facts(seconds, now)
        cause = pauses.likely_cause(facts)
        times.pause_fields = {
            "pause_cause": cause.value,
            "pause_at": self._endpoint.id,
            "pause_end_s": round(now - call.began, 3),
            "pause_usual_s": round(facts.usual_s, 4),
            "pause_runs": facts.runs,
            "pause_joined": facts.joined,
            "pause_memory": round(facts.memory_share, 2),
            "pause_others": facts.others,
            "pause_others_paused": facts.others_paused,
            "pause_pace": round(facts.factor, 2),
        }
        times.pause_cause = cause

    def _facts(self, seconds: float, now: float) -> pauses.PauseFacts:
        site = self._call.site
        load = site.loads.total(self._endpoint.id)
        held = sum(run.held_tokens for run in load.runs)
        others: list[running_streams.RunningStream] = []
        others_paused = 0
        usual_s = 0.0
        stream = self._clock.stream
        if stream is not None:
            others = site.running_streams.others(stream)
            others_paused = site.running_streams.paused_with(
                stream, seconds, now
            )
            usual_s = stream.usual_s
        in_place = load.prompt_tokens > 0 or site.loads.prefilled_within(
            self._endpoint.id, seconds, now
        )
        return pauses.PauseFacts(
            seconds=seconds,
            usual_s=usual_s,
            runs=len(load.runs),
            joined=len(load.runs) - self._runs,
            memory_share=held / max(1, self._engine.memory_tokens),
            prefilled_in_place=in_place,
            resumed=self._resumed,
            client_s=self._call.times.client_s,
            others=len(others),
            others_paused=others_paused,
            factor=site.pace_of(self._call.service.name).factor(
                self._endpoint.id, now
            ),
        )
