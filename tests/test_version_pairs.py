"""A burst while a service has two software versions, simulated.

Prompts are prefilled at the version that decodes, or in place.
"""

import pytest

from rackpost.gateway import load_exchange
from rackpost.testing import fleet
from rackpost.testing import fleet_load
from rackpost.testing import virtual

_SEEDS = (1, 2, 3)


@pytest.mark.parametrize(
    ("new_prefills", "new_decodes", "in_time"),
    [(2, 6, 0.95), (1, 6, 0.92), (0, 6, 0.92), (2, 2, 0.92), (4, 6, 0.92)],
)
def test_a_burst_is_answered_in_time_in_a_release(
    new_prefills: int, new_decodes: int, in_time: float
) -> None:
    """13 requests a second, 30 for 4 s, at 4 prefill and 12 decode endpoints.

    The versions have unequal parts of both: neither role may wait for
    endpoints of its version while others are idle.
    """
    spec = fleet_load.Spec(
        report_delay_s=load_exchange.batching_delay_s(68),
        new_prefills=new_prefills,
        new_decodes=new_decodes,
    )
    found = [virtual.run(fleet.serve(spec, seed)) for seed in _SEEDS]
    requests = sum(item.requests for item in found)
    assert sum(item.in_time for item in found) > in_time * requests
    assert sum(item.refused for item in found) <= 0.01 * requests
