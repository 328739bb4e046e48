"""The likely cause of a pause in a stream, from what its gateway knows.

An endpoint generates the tokens of its runs in batches.  What stops a batch
pauses all streams there: a prompt that it prefills itself, a KV cache that
it fetches, a run that is preempted and prefilled again.

Pure: no input or output.
"""

import enum

import msgspec

# Share of the KV memory from which preemptions are likely: cached parts and
# half-used blocks take some more.
_FULL_SHARE = 0.75
# Share of a pause from which a single known delay explains it.
_MAIN_SHARE = 0.5
# Times per token over those of the pool from which an endpoint is slow.
_SLOW_FACTOR = 1.3


class PauseCause(enum.Enum):
    """What a pause most likely comes from."""

    # The connection broke, and the stream was resumed.
    RESUMED = "resumed"
    # The client did not read.
    CLIENT = "client"
    # The endpoint prefilled a prompt itself.
    PREFILL_IN_PLACE = "prefill-in-place"
    # KV memory was short: the endpoint may have preempted a run of another
    # gateway, whose prompt it then prefilled again.
    PREEMPTION = "preemption"
    # The interval between events at this batch size.
    CROWDED = "crowded"
    # Runs joined the batch: their KV caches were fetched.
    RUNS_JOINED = "runs-joined"
    # Other streams there paused as well, or the endpoint has been slow.
    SLOW_ENDPOINT = "slow-endpoint"
    # Other streams there went on: this one was preempted, most likely.
    THIS_STREAM = "this-stream"
    UNKNOWN = "unknown"


class PauseFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What a gateway knows of a pause.

    Attributes:
        seconds: length of the pause.
        usual_s: usual time between events in a batch of this size.
        runs: generations at the endpoint, over all gateways.
        joined: by how many they grew since the event before the pause.
        memory_share: share of the KV memory that they hold.
        prefilled_in_place: the endpoint prefilled a prompt itself.
        resumed: the stream was resumed after a broken connection.
        client_s: time for which the client accepted no data.
        others: this gateway's other streams at the endpoint.
        others_paused: those of them that paused as well.
        factor: the endpoint's time per token over its pool's.
    """

    seconds: float
    usual_s: float = 0.0
    runs: int = 0
    joined: int = 0
    memory_share: float = 0.0
    prefilled_in_place: bool = False
    resumed: bool = False
    client_s: float = 0.0
    others: int = 0
    others_paused: int = 0
    factor: float = 1.0


def likely_cause(facts: PauseFacts) -> PauseCause:
    """Return the most likely cause of a pause."""
    cause = _cause_at_gateway(facts)
    if cause is not None:
        return cause
    if facts.others and not facts.others_paused:
        return PauseCause.THIS_STREAM
    cause = _cause_in_batch(facts)
    if cause is not None:
        return cause
    if facts.others_paused or facts.factor >= _SLOW_FACTOR:
        return PauseCause.SLOW_ENDPOINT
    return PauseCause.UNKNOWN


def _cause_at_gateway(facts: PauseFacts) -> PauseCause | None:
    if facts.resumed:
        return PauseCause.RESUMED
    if facts.client_s >= _MAIN_SHARE * facts.seconds:
        return PauseCause.CLIENT
    return None


def _cause_in_batch(facts: PauseFacts) -> PauseCause | None:
    if facts.prefilled_in_place:
        return PauseCause.PREFILL_IN_PLACE
    if facts.memory_share >= _FULL_SHARE:
        return PauseCause.PREEMPTION
    if facts.usual_s >= _MAIN_SHARE * facts.seconds:
        return PauseCause.CROWDED
    if facts.joined > 0:
        return PauseCause.RUNS_JOINED
    return None
