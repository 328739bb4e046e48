"""The table of streams' origins, which gateways and coordinators keep."""

from rackpost.decide import stream_origins
from rackpost.routing import endpoints
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


def _endpoint(software: str, service: str = "model") -> endpoints.Endpoint:
    return endpoints.Endpoint(
        id=types.EndpointId(f"{service}-{software}"),
        service=types.ServiceName(service),
        software=types.SoftwareVersion(software),
    )


def _software(
    history: stream_origins.VersionHistory, lifetime_s: float, now: float
) -> str | None:
    found = history.sole_origin(types.ServiceName("model"), lifetime_s, now)
    return None if found is None else found.software


def test_one_version_is_certain_once_it_was_alone_for_a_lifetime() -> None:
    """Streams of 14 s, for clients that do not name them."""
    history = stream_origins.VersionHistory()
    old, new = _endpoint("v1"), _endpoint("v2")
    other = _endpoint("v9", "other")
    found = []
    for second in range(100):
        alive = [old, other] if second < 40 else [new, other]
        history.record(alive, float(second))
        found.append(_software(history, 14.0, second + 0.5))
    assert found[:16] == [None] * 16
    assert found[17:39] == ["v1"] * 22
    assert found[41:55] == [None] * 14
    assert found[57:] == ["v2"] * 43


def test_a_version_that_came_and_left_between_two_records_counts() -> None:
    history = stream_origins.VersionHistory()
    for second in range(30):
        history.record([_endpoint("v1")], float(second))
    assert _software(history, 14.0, 29.5) == "v1"
    history.record_endpoint(_endpoint("v2"), 29.6)
    history.record([_endpoint("v1")], 30.0)
    assert _software(history, 14.0, 30.1) is None


def test_nothing_is_certain_after_endpoints_may_have_come_unseen() -> None:
    """The gateway was cut off from the coordinators, or did not run."""
    history = stream_origins.VersionHistory()
    assert _software(history, 14.0, 1000.0) is None
    history.record([_endpoint("v1")], 1000.0)
    assert _software(history, 14.0, 1010.0) is None
    history.record([_endpoint("v1")], 1020.0)
    assert _software(history, 14.0, 1020.0) == "v1"
    history.restart()
    assert _software(history, 14.0, 1020.5) is None
    history.record([_endpoint("v1")], 1021.0)
    assert _software(history, 14.0, 1030.0) is None
    # It was suspended: the last record is older than a stream.
    history.record([_endpoint("v1")], 1060.0)
    assert _software(history, 14.0, 1100.0) is None


def test_versions_that_left_long_ago_are_forgotten() -> None:
    history = stream_origins.VersionHistory()
    for number in range(1000):
        history.record([_endpoint(f"v{number}")], 60.0 * number)
    assert len(history._last_seen) < 100
