"""Shares of organisations that compete for one priority's capacity."""

from rackpost.decide.waiting import peer_reports
from rackpost.decide.waiting import standings
from rackpost import types
from tests import test_contention_order

_HOT = types.OrganisationName("hot")
_CALM = types.OrganisationName("calm")


def _standings(weights: dict[str, float]) -> standings.Standings:
    return standings.Standings(
        peers=peer_reports.PeerReports(),
        weight_of=lambda name: weights.get(name or ""),
    )


def test_one_organisation_that_sends_much_is_over_its_share() -> None:
    """One holds eight, another one asks for its first: it goes before."""
    found = _standings({})
    for _ in range(8):
        found.record_admitted(test_contention_order.request(organisation=_HOT))
    hot = test_contention_order.request(organisation=_HOT)
    calm = test_contention_order.request(organisation=_CALM)
    found.compare([hot, calm], 0.0)
    assert found.of(hot).over_share
    assert not found.of(calm).over_share


def test_nobody_is_over_a_share_alone() -> None:
    """Nothing is held back where nobody else asks."""
    found = _standings({})
    for _ in range(8):
        found.record_admitted(test_contention_order.request(organisation=_HOT))
    hot = test_contention_order.request(organisation=_HOT)
    found.compare([hot], 0.0)
    assert found.of(hot) == standings.Standing()


def test_a_larger_quota_is_a_larger_share() -> None:
    """Four times the quota: as many held are within the share."""
    found = _standings({_HOT: 4.0, _CALM: 1.0})
    for _ in range(3):
        found.record_admitted(test_contention_order.request(organisation=_HOT))
    found.record_admitted(test_contention_order.request(organisation=_CALM))
    hot = test_contention_order.request(organisation=_HOT)
    calm = test_contention_order.request(organisation=_CALM)
    found.compare([hot, calm], 0.0)
    assert not found.of(hot).over_share
    assert found.of(calm).over_share


def test_released_capacity_counts_no_more() -> None:
    """A use that has ended leaves nothing behind."""
    found = _standings({})
    request = test_contention_order.request(organisation=_HOT)
    found.record_admitted(request)
    found.record_released(request)
    assert not found.held
