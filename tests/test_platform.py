"""The platform adapter: decoding, and wire names kept inside of it."""

import json
import pathlib
import re
from typing import Callable

import pytest

from rackpost import exceptions
from rackpost.platform import documents
from rackpost.platform import headers
from rackpost.platform import heartbeats
from rackpost.platform import holds
from rackpost.platform import orders
from rackpost.platform import paths
from rackpost.platform import prefill
from rackpost.platform import settings

ROOT = pathlib.Path(__file__).parent.parent
# Names of the platform's wire protocol.
WIRE = re.compile(
    "heartbeatUrl|X-Response-Seal|X-Not-Executed|kvHandle|X-Kv-Source|"
    "coldRemainingMs|trafficSplit|X-Expect-Instance|RACKPOST_BOOT|"
    "x-response-seal|x-not-executed|x-kv-source|x-expect-instance",
)


def test_no_wire_name_stands_outside_the_adapter() -> None:
    found = [
        str(path.relative_to(ROOT))
        for path in (ROOT / "rackpost").rglob("*.py")
        if path.parent.name != "platform" and WIRE.search(path.read_text())
    ]
    assert found == []


@pytest.mark.parametrize(
    "decode",
    [
        documents.decode,
        lambda text: heartbeats.decode("i-1", text),
        lambda text: heartbeats.gone("i-1", text),
        holds.decode,
        orders.decode_report,
        prefill.decode,
        settings.decode,
    ],
    ids=[
        "documents.decode",
        "heartbeats.decode",
        "heartbeats.gone",
        "holds.decode",
        "orders.decode_report",
        "prefill.decode",
        "settings.decode",
    ],
)
def test_deeply_nested_json_is_malformed(
    decode: Callable[[bytes], object],
) -> None:
    """It ended calls and requests with an unforeseen error."""
    with pytest.raises(exceptions.RackpostError):
        decode(b'{"note":' + b"[" * 60_000 + b"]" * 60_000 + b"}")


def test_the_adapter_is_small() -> None:
    lines = sum(
        len(path.read_text().splitlines())
        for path in (ROOT / "rackpost" / "platform").glob("*.py")
    )
    assert lines < 1200


def test_settings_are_decoded_and_unknown_ones_ignored() -> None:
    raw = {
        "node": "edge-1",
        "ip": "10.0.0.1",
        "zone": "nord",
        "something": {"new": 1},
        "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
        "dataDir": None,
        "faultTolerance": {"machines": 2, "zones": 0},
        "bounds": {"retryBudgetRatio": 0.2, "fencingRequired": True},
    }
    found = settings.decode(json.dumps(raw).encode())
    assert found.vm == "edge-1"
    assert found.data_centre == "nord"
    assert found.listen.clients == "10.0.0.1:80"
    assert found.tolerance.vms == 2
    assert found.bounds.retry_ratio == 0.2
    assert found.bounds.grace_s == 8.0


def test_bad_settings_name_what_is_wrong() -> None:
    with pytest.raises(exceptions.ConfigError, match="ip"):
        settings.decode(b'{"node": "a", "zone": "b"}')
    with pytest.raises(exceptions.ConfigError):
        settings.decode(b"{")


def test_sizes_of_a_request() -> None:
    found = headers.request_sizes(
        [(b"x-token-usage", b"1460,80"), (b"x-length-hint", b"40")]
    )
    assert found == headers.RequestSizes(
        prompt=1460, max_output=80, expected_output=40
    )
    found = headers.request_sizes([(b"x-token-usage", b"1460,80")])
    assert found is not None and found.expected_output == 80
    assert headers.request_sizes([]) is None
    found = headers.request_sizes([(b"x-token-usage", b"odd")])
    assert found == headers.RequestSizes(
        prompt=0, max_output=0, expected_output=0
    )


def test_prefill_results() -> None:
    found = prefill.decode(b'{"kvHandle":"h","tokens":3,"version":1}')
    assert prefill.source("10.0.0.1:80", found) == b"10.0.0.1:80/h"
    assert prefill.release_path(found).endswith(b"/h")
    with pytest.raises(exceptions.CodecError):
        prefill.decode(b"{}")


def test_paths_of_heartbeats() -> None:
    assert paths.endpoint_id(b"/v1/instances/i-1") == "i-1"
    assert paths.endpoint_id(b"/v1/instances/") is None
    assert paths.endpoint_id(b"/v1/other/i-1") is None


def test_the_deployment_pins_what_the_tests_ran_with() -> None:
    def pins(path: pathlib.Path) -> set[str]:
        return {line for line in path.read_text().splitlines() if line}

    wanted = pins(ROOT / "deploy" / "requirements.txt")
    assert wanted and wanted <= pins(ROOT / "requirements.txt")
