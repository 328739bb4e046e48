"""The likely cause of a pause, from what a gateway knows."""

import pytest

from rackpost.decide.pace import pauses

CAUSES = [
    ({"resumed": True, "prefilled_in_place": True}, "resumed"),
    ({"client_s": 0.3, "memory_share": 0.9}, "client"),
    ({"prefilled_in_place": True, "memory_share": 0.9}, "prefill-in-place"),
    # The endpoint's other streams did not pause.
    ({"prefilled_in_place": True, "others": 2}, "this-stream"),
    (
        {"prefilled_in_place": True, "others": 2, "others_paused": 1},
        "prefill-in-place",
    ),
    ({"memory_share": 0.85, "joined": 1}, "preemption"),
    ({"usual_s": 0.25, "memory_share": 0.5}, "crowded"),
    ({"joined": 1, "memory_share": 0.5}, "runs-joined"),
    ({"others": 3, "others_paused": 3}, "slow-endpoint"),
    ({"factor": 1.6}, "slow-endpoint"),
    ({}, "unknown"),
]


@pytest.mark.parametrize("known, cause", CAUSES)
def test_the_likely_cause_follows_from_the_facts(
    known: dict[str, float], cause: str
) -> None:
    facts = pauses.PauseFacts(seconds=0.4, **known)
    assert pauses.likely_cause(facts).value == cause
