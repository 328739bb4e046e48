"""The decisions of the contention order, each on by a feature of its own.

Pure: no input or output.
"""

import enum
from typing import Collection

from rackpost.decide import features


class Decision(enum.Enum):
    """A decision on waiting generations that can be on by itself."""

    # Who is admitted next.
    RANK = "rank"
    # Capacity that is kept free for more urgent arrivals.
    KEPT = "kept"
    # Who is refused before its time is up, and when it should return.
    REFUSAL = "refusal"
    # No kind is served less often than a less urgent one.
    GUARD = "guard"


ALL = frozenset(Decision)
_FEATURES = {
    Decision.RANK: features.Feature.CONTENTION_ORDER,
    Decision.KEPT: features.Feature.KEPT_CAPACITY,
    Decision.REFUSAL: features.Feature.SURE_REFUSALS,
    Decision.GUARD: features.Feature.KIND_GUARD,
}


def of_features(
    parts: Collection[features.Feature],
) -> frozenset[Decision]:
    """Return the decisions that these parts of load management turn on."""
    return frozenset(
        decision for decision, part in _FEATURES.items() if part in parts
    )
