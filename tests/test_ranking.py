"""Who is next among competing requests, here and at other gateways."""

from rackpost.decide.waiting import contender
from rackpost.decide.waiting import peer_reports
from rackpost.decide.waiting import ranking
from rackpost.decide.waiting import standings
from rackpost import types
from tests import test_contention_order

_HERE = types.VmId("m")
_request = test_contention_order.request


def _ranking(peers: peer_reports.PeerReports) -> ranking.ContentionRanking:
    return ranking.ContentionRanking(
        peers=peers,
        standings=standings.Standings(
            peers=peers, weight_of=standings.no_weight
        ),
        vm=_HERE,
    )


def test_a_late_urgent_one_is_behind_those_in_time_unless_it_is_lifted() -> (
    None
):
    """A burst made an urgent one late; a lift lets it pass again."""
    late = _request(0, target=0.0)
    less_urgent = _request(1, target=2.0)
    found = _ranking(peer_reports.PeerReports())
    assert found.arrange([late, less_urgent], 0.5, {}) == [less_urgent, late]
    lifted = found.arrange([late, less_urgent], 0.5, {0: 1})
    assert lifted == [late, less_urgent]


def test_no_more_are_lifted_than_are_owed() -> None:
    """The second late one still waits behind those in time."""
    first = _request(0, target=0.0)
    second = _request(0, target=0.1)
    in_time = _request(1, target=2.0)
    found = _ranking(peer_reports.PeerReports())
    arranged = found.arrange([second, in_time, first], 0.5, {0: 1})
    assert arranged == [first, in_time, second]


def test_only_requests_that_rank_before_count_as_ahead_elsewhere() -> None:
    """A more urgent one and a less urgent one wait at another gateway."""
    peers = peer_reports.PeerReports()
    urgent = contender.contender(_request(0, target=1.0), 0.0)
    least = contender.contender(_request(2, target=1.0), 0.0)
    peers.receive(
        types.VmId("a"),
        contender.ContentionReport(waiting=(urgent, least)),
        0.0,
    )
    for found in (
        _ranking(peers),
        ranking.DeadlineRanking(peers=peers, vm=_HERE),
    ):
        assert found.ahead_elsewhere(_request(1, target=1.0), 0.0) == [urgent]
