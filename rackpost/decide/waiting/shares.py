"""Max-min shares of the capacity that organisations compete for.

Pure: no input or output.
"""

import math
from typing import Hashable
from typing import Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)


def fair_level(
    demands: Mapping[Key, float],
    weights: Mapping[Key, float],
    capacity: float,
) -> float:
    """Return the level of the weighted max-min shares.

    Each key's share is the smaller of its demand and its weight times the
    level; the shares add up to `capacity`.  Infinite if the demands do not
    exceed it.  Weights that are not given are 1.
    """
    if sum(demands.values()) <= capacity:
        return math.inf
    left = capacity
    weight = sum(weights.get(key, 1.0) for key in demands)
    by_level = sorted(
        demands.items(), key=lambda item: item[1] / weights.get(item[0], 1.0)
    )
    for key, demand in by_level:
        own = weights.get(key, 1.0)
        if demand / own * weight >= left:
            break
        left -= demand
        weight -= own
    return max(0.0, left / weight)
