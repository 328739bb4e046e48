"""Watches the events of one generation: its endpoint's pace, its pauses."""

from rackpost.decide.pace import pauses
from rackpost.decide.pace import running_streams
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
        self._stream: running_streams.RunningStream | None = None
        self._runs = 0

    def record_event(self) -> None:
        """Record an event of the endpoint's stream."""
        site = self._call.site
        now = site.loop_time()
        load = site.loads.total(self._endpoint.id)
        runs = max(1, len(load.runs))
        stream = self._stream
        if stream is None:
            self._record_first(now, runs)
            return
        seconds = now - stream.since
        self._explain_pause(seconds, now)
        if stream.usual_s > 0.0:
            site.pace_of(self._call.service.name).record_decode(
                self._endpoint.id,
                seconds=seconds,
                usual_s=stream.usual_s,
                now=now,
            )
        site.batch_timing.record_interval(runs, seconds)
        stream.since = now
        stream.usual_s = site.batch_timing.interval_s(runs)
        self._runs = runs
        self._resumed = False
        self._call.times.client_s = 0.0

    def _record_first(self, now: float, runs: int) -> None:
        site = self._call.site
        if self._resumed:
            self._explain_pause(now - self._call.times.last_at, now)
            self._resumed = False
        self._stream = running_streams.RunningStream(
            endpoint=self._endpoint.id,
            since=now,
            usual_s=site.batch_timing.interval_s(runs),
        )
        site.running_streams.add(self._stream)
        self._runs = runs

    def end(self) -> None:
        """Record that the generation has ended here."""
        if self._stream is not None:
            self._call.site.running_streams.remove(self._stream)

    def _explain_pause(self, seconds: float, now: float) -> None:
        """Keep the likely cause of a pause that exceeds the target."""
        call = self._call
        times = call.times
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
        usual_s = 0.0
        if self._stream is not None:
            others = site.running_streams.others(self._stream)
            usual_s = self._stream.usual_s
        began = now - seconds
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
            # Another stream that paused has its last event at the beginning
            # of this pause, or at its end.
            others_paused=sum(
                item.since <= began + 0.25 * seconds
                or item.since >= now - 0.05 * seconds
                for item in others
            ),
            factor=site.pace_of(self._call.service.name).factor(
                self._endpoint.id, now
            ),
        )
