"""What gateways know of each other's competing requests."""

from rackpost.decide.waiting import arrival_rates
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import peer_reports
from rackpost import types

_A = types.VmId("a")
_B = types.VmId("b")


def _rate(per_s: float, slack_s: float) -> arrival_rates.ArrivalRate:
    return arrival_rates.ArrivalRate(priority=1, per_s=per_s, slack_s=slack_s)


def test_a_part_that_is_left_out_stays_as_it_was_told() -> None:
    """Most reports hold only what changed."""
    peers = peer_reports.PeerReports()
    load = contender.OrganisationLoad(
        priority=1, organisation=None, held=3, waiting=0
    )
    peers.receive(_A, contender.ContentionReport(loads=(load,)), 0.0)
    rates = (_rate(4.0, 0.5),)
    peers.receive(_A, contender.ContentionReport(rates=rates), 0.5)
    assert list(peers.loads(1.0)) == [load]
    assert peers.rates((), 1.0) == list(rates)


def test_parts_end_one_by_one_after_a_gateway_is_silent() -> None:
    """Capacity must not stay free for a gateway that is gone."""
    peers = peer_reports.PeerReports()
    load = contender.OrganisationLoad(
        priority=1, organisation=None, held=3, waiting=0
    )
    peers.receive(_A, contender.ContentionReport(loads=(load,)), 0.0)
    rates = (_rate(4.0, 0.5),)
    peers.receive(_A, contender.ContentionReport(rates=rates), 1.0)
    late = peer_reports.LIFETIME_S + 0.1
    assert list(peers.loads(late)) == []
    assert peers.rates((), late) == list(rates)
    assert peers.count(late) == 1
    assert peers.rates((), 1.0 + late) == []
    assert peers.count(1.0 + late) == 0


def test_rates_of_all_gateways_add_up_with_the_shortest_slack() -> None:
    """The least patient arrivals say until when capacity is needed."""
    peers = peer_reports.PeerReports()
    for vm, rate in ((_A, _rate(4.0, 0.5)), (_B, _rate(2.0, 0.3))):
        peers.receive(vm, contender.ContentionReport(rates=(rate,)), 0.0)
    assert peers.rates([_rate(1.0, 0.8)], 0.1) == [_rate(7.0, 0.3)]
