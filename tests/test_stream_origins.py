"""The table of streams' origins, which gateways and coordinators keep."""

from rackpost.decide import stream_origins
from rackpost import types

_OLD = stream_origins.StreamOrigin(
    service=types.ServiceName("model"), software=types.SoftwareVersion("v1")
)
_NEW = stream_origins.StreamOrigin(
    service=types.ServiceName("model"), software=types.SoftwareVersion("v2")
)


def _record(
    number: int,
    origin: stream_origins.StreamOrigin = _OLD,
    left_s: float = 14.0,
) -> stream_origins.OriginRecord:
    return stream_origins.OriginRecord(
        stream=_key(number), origin=origin, left_s=left_s
    )


def _key(number: int, organisation: str = "") -> types.StreamKey:
    return stream_origins.stream_key(
        types.OrganisationName(organisation), b"r%d" % number
    )


def test_an_origin_never_changes() -> None:
    """A late copy must not replace the version that wrote the events."""
    table = stream_origins.OriginTable()
    assert table.record(_record(1), 0.0)
    assert not table.record(_record(1, _NEW), 1.0)
    assert table.find(_key(1), 2.0) == _OLD


def test_an_origin_is_kept_while_the_client_may_resume_the_stream() -> None:
    table = stream_origins.OriginTable()
    table.record(_record(1, left_s=14.0), 0.0)
    assert table.find(_key(1), 13.9) == _OLD
    assert table.find(_key(1), 14.1) is None
    copy = stream_origins.OriginTable()
    copy.record_all(table.records(10.0), 100.0)
    assert copy.find(_key(1), 103.9) == _OLD
    assert copy.find(_key(1), 104.1) is None


def test_equal_request_ids_of_two_organisations_are_two_streams() -> None:
    assert _key(1, "one") != _key(1, "two")
    assert stream_origins.stream_key(
        types.OrganisationName("a"), b"bc"
    ) != stream_origins.stream_key(types.OrganisationName("ab"), b"c")


def test_the_streams_of_a_large_site_stay_in_bounds() -> None:
    """800 streams a second for a minute, each resumable for 14 s."""
    table = stream_origins.OriginTable()
    for number in range(60 * 800):
        table.record(_record(number), number / 800)
    assert len(table) <= 14 * 800 + 1
    assert table.find(_key(60 * 800 - 1), 60.0) == _OLD


def test_streams_that_claim_a_long_time_do_not_fill_the_memory() -> None:
    table = stream_origins.OriginTable()
    for number in range(60_000):
        table.record(_record(number, left_s=1e9), 0.0)
    assert len(table) == 50_000
    assert table.find(_key(0), 0.0) is None
    assert table.find(_key(59_999), 0.0) == _OLD
