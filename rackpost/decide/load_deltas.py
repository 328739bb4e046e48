"""Compact form of the loads that a gateway reports as changed.

Endpoints are named by digests, and tokens are rounded to blocks: the sum of
the rounding errors of an endpoint's generations is small against the error
of their estimated lengths.  Complete reports have exact figures.

Pure: no input or output.
"""

from typing import Callable
from typing import Iterable
from typing import Mapping

import msgspec

from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.routing import digests
from rackpost import types

# Unit of tokens; engines allocate KV memory in blocks of this size or less.
_BLOCK_TOKENS = 32
_MS_PER_S = 1000.0
_RUN_FIELDS = 3
_WAITING_FIELDS = 3

# Returns the endpoint with a digest; None if unknown or ambiguous.
IdOfDigest = Callable[[bytes], types.EndpointId | None]


class EndpointChange(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """The present load of one endpoint; absolute values.

    Attributes:
        endpoint: digest of its id.
        requests: requests that run or wait there; 0 if it has no load.
        prompt_blocks: blocks that are still to be prefilled.
        runs: for each run its held, remaining and error tokens in blocks.
    """

    endpoint: bytes
    requests: int
    prompt_blocks: int = 0
    runs: tuple[int, ...] = ()


def pack_loads(
    own: Mapping[types.EndpointId, endpoint_load.EndpointLoad],
    changed: Iterable[types.EndpointId],
) -> tuple[EndpointChange, ...]:
    """Return the compact form of the loads of `changed` endpoints."""
    none = endpoint_load.EndpointLoad()
    return tuple(_packed(key, own.get(key, none)) for key in changed)


def _packed(
    key: types.EndpointId, load: endpoint_load.EndpointLoad
) -> EndpointChange:
    return EndpointChange(
        endpoint=digests.digest(key),
        requests=load.requests,
        prompt_blocks=_blocks(load.prompt_tokens),
        runs=tuple(
            _blocks(tokens)
            for run in load.runs
            for tokens in (
                run.held_tokens,
                run.remaining_tokens,
                run.error_tokens,
            )
        ),
    )


def _blocks(tokens: int) -> int:
    """Return the blocks of a number of tokens, of which one may be partial."""
    return -(-tokens // _BLOCK_TOKENS)


def unpack_loads(
    changes: Iterable[EndpointChange], id_of: IdOfDigest
) -> dict[types.EndpointId, endpoint_load.EndpointLoad]:
    """Return the loads of the endpoints that are known here.

    Others are in the sender's next complete report.
    """
    found = {}
    for item in changes:
        key = id_of(item.endpoint)
        if key is not None:
            found[key] = endpoint_load.EndpointLoad(
                requests=item.requests,
                prompt_tokens=item.prompt_blocks * _BLOCK_TOKENS,
                runs=[
                    kv_forecast.Run(
                        held_tokens=held * _BLOCK_TOKENS,
                        remaining_tokens=remaining * _BLOCK_TOKENS,
                        error_tokens=error * _BLOCK_TOKENS,
                    )
                    for held, remaining, error in _groups(
                        item.runs, _RUN_FIELDS
                    )
                ],
            )
    return found


def pack_waiting(
    items: Iterable[queue_order.WaitingSummary],
) -> tuple[int, ...]:
    """Return summaries as integers, with times in milliseconds."""
    return tuple(
        value
        for item in items
        for value in (
            item.priority,
            round(item.slack_s * _MS_PER_S),
            round(item.start_s * _MS_PER_S),
        )
    )


def unpack_waiting(
    values: tuple[int, ...],
) -> tuple[queue_order.WaitingSummary, ...]:
    """Return the summaries that `pack_waiting` packed."""
    return tuple(
        queue_order.WaitingSummary(
            priority=priority,
            slack_s=slack_ms / _MS_PER_S,
            start_s=start_ms / _MS_PER_S,
        )
        for priority, slack_ms, start_ms in _groups(values, _WAITING_FIELDS)
    )


def _groups(values: tuple[int, ...], size: int) -> Iterable[tuple[int, ...]]:
    """Return consecutive groups; an incomplete last one is skipped."""
    return zip(*[iter(values)] * size)


def unpack_ids(data: bytes, id_of: IdOfDigest) -> tuple[types.EndpointId, ...]:
    """Return the known endpoints among packed digests."""
    found = (id_of(item) for item in digests.unpack(data))
    return tuple(key for key in found if key is not None)
