"""Decide which parts of load management a model service uses.

A part is on where the routing document calls for it: the number of kinds of
streams that share the service's endpoints, their priorities, and whether
organisations with quotas compete.  Without these the service is served as
before, whatever its load.

Pure: no input or output.
"""

import collections
import enum
from typing import Collection
from typing import Iterable
from typing import Mapping
from typing import NamedTuple

import msgspec

from rackpost import exceptions
from rackpost.routing import model
from rackpost import types

# With two kinds of streams the pools follow their sum; from three on, the
# mix of the kinds decides what each pool and each endpoint has to do.
_MIN_KINDS_OF_A_MIX = 3


class Feature(enum.Enum):
    """A part of load management that can be on or off for a service."""

    # Urgent kinds go first, organisations share fairly.
    CONTENTION_ORDER = "contention-order"
    # Capacity is kept free for more urgent arrivals.
    KEPT_CAPACITY = "kept-capacity"
    # Refused on arrival is only what surely can't be served.
    SURE_REFUSALS = "sure-refusals"
    # No kind is served less often than a less urgent one.
    KIND_GUARD = "kind-guard"
    # Large requests reserve an endpoint; smaller ones backfill.
    LARGE_RESERVATIONS = "large-reservations"
    # One queue for the pool, at a coordinator.
    POOL_SCHEDULER = "pool-scheduler"
    # Each endpoint's own pace counts in choices and promises.
    ENDPOINT_PACE = "endpoint-pace"
    # Roles change on first evidence, several at once.
    EARLY_ROLES = "early-roles"
    # Late reads are sent to a second endpoint of a plain service.
    SECOND_READS = "second-reads"
    # Load reports hold what has changed, within a share of the VM's link.
    LOAD_DELTAS = "load-deltas"
    # Capacity is set aside at the decode endpoint before a prompt is
    # prefilled; slow prefills are given up by what their request has left.
    DECODE_HOLDS = "decode-holds"


# The decisions on requests whose kinds or organisations compete.
_CONTENTION = frozenset(
    {
        Feature.CONTENTION_ORDER,
        Feature.KEPT_CAPACITY,
        Feature.SURE_REFUSALS,
        Feature.KIND_GUARD,
    }
)
# Parts that stay off although a document calls for them, unless a setting
# releases them.
_HELD_BACK = frozenset(
    {
        *_CONTENTION,
        Feature.ENDPOINT_PACE,
        Feature.DECODE_HOLDS,
    }
)


class Overrides(NamedTuple):
    """The parts that a setting switches, where the document calls for them.

    `released` are on although they are held back by default, `disabled` are
    off.
    """

    released: frozenset[Feature] = frozenset()
    disabled: frozenset[Feature] = frozenset()


NO_OVERRIDES = Overrides()


class ServiceProfile(msgspec.Struct, frozen=True, kw_only=True):
    """What the routing document says of the use of one model service.

    Attributes:
        kinds: routes with streams that it serves.
        priorities: the distinct priorities of these routes.
        has_quotas: organisations with quotas may use it.
    """

    kinds: int
    priorities: frozenset[int]
    has_quotas: bool = False


def profiles(
    routes: Iterable[model.Route],
    services: Iterable[model.Service],
    organisations: Collection[model.Organisation] = (),
) -> dict[types.ServiceName, ServiceProfile]:
    """Return the profile of each model service in a routing document."""
    kinds: dict[types.ServiceName, int] = collections.Counter()
    priorities: dict[types.ServiceName, set[int]] = collections.defaultdict(
        set
    )
    for route in routes:
        if route.kind is not model.RouteKind.STREAM:
            continue
        for target in route.targets:
            kinds[target.service] += 1
            priorities[target.service].add(route.priority)
    has_quotas = any(item.quota is not None for item in organisations)
    return {
        service.name: ServiceProfile(
            kinds=kinds[service.name],
            priorities=frozenset(priorities[service.name]),
            has_quotas=has_quotas,
        )
        for service in services
        if service.engine is not None
    }


def called_for(found: ServiceProfile) -> frozenset[Feature]:
    """Return the parts that a service with this profile calls for."""
    features: set[Feature] = set()
    if len(found.priorities) > 1:
        features |= _CONTENTION
        features.add(Feature.POOL_SCHEDULER)
    if found.kinds >= _MIN_KINDS_OF_A_MIX:
        features |= _CONTENTION
        features.add(Feature.LARGE_RESERVATIONS)
        features.add(Feature.ENDPOINT_PACE)
        features.add(Feature.EARLY_ROLES)
        features.add(Feature.POOL_SCHEDULER)
    if features:
        features.add(Feature.LOAD_DELTAS)
        features.add(Feature.DECODE_HOLDS)
    return frozenset(features)


def features_for(
    found: ServiceProfile, overrides: Overrides = NO_OVERRIDES
) -> frozenset[Feature]:
    """Return the parts that are on for a service with this profile.

    Parts that are held back are on only if they are released.
    """
    called = called_for(found) - _HELD_BACK.difference(overrides.released)
    return called - overrides.disabled


def parse(text: str) -> Overrides:
    """Return the parts that a setting names, separated by commas.

    A part with a minus sign before its name is disabled, others are released.
    Raises ConfigError for a name that is none, or is named with both.
    """
    names = [item.strip() for item in text.split(",") if item.strip()]
    try:
        found = Overrides(
            released=frozenset(
                Feature(name) for name in names if name[0] != "-"
            ),
            disabled=frozenset(
                Feature(name[1:]) for name in names if name[0] == "-"
            ),
        )
    except ValueError as exc:
        raise exceptions.ConfigError(str(exc)) from exc
    both = found.released & found.disabled
    if both:
        listed = ", ".join(sorted(item.value for item in both))
        raise exceptions.ConfigError(f"both released and disabled: {listed}")
    return found


def features_of_plain(
    found: Mapping[types.ServiceName, Collection[Feature]],
    services: Iterable[model.Service],
) -> dict[types.ServiceName, frozenset[Feature]]:
    """Return the parts that are on for plain services.

    `found` are the parts of the model services of the same document: plain
    endpoints count as uneven where those of a model service do.
    """
    if not any(Feature.ENDPOINT_PACE in parts for parts in found.values()):
        return {}
    return {
        service.name: frozenset((Feature.SECOND_READS,))
        for service in services
        if service.engine is None
    }
