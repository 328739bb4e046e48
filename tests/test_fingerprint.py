"""Fingerprints of requests."""

import dataclasses

from rackpost.decide import fingerprint
from rackpost import types


@dataclasses.dataclass(frozen=True)
class _Request:
    organisation: str = "nord"
    method: bytes = b"POST"
    target: bytes = b"/parse/1"
    body: bytes = b"note"

    def fingerprint(self) -> types.Fingerprint:
        return fingerprint.fingerprint(
            organisation=types.OrganisationName(self.organisation),
            method=self.method,
            target=self.target,
            body=self.body,
        )


def test_only_the_same_request_has_the_same_fingerprint() -> None:
    request = _Request()
    assert request.fingerprint() == _Request().fingerprint()
    others = [
        dataclasses.replace(request, organisation="sor"),
        dataclasses.replace(request, method=b"PUT"),
        dataclasses.replace(request, target=b"/parse/2"),
        dataclasses.replace(request, body=b"notes"),
        # The same bytes, divided differently between the fields.
        dataclasses.replace(request, organisation="nordP", method=b"OST"),
        dataclasses.replace(request, target=b"/parse/1note", body=b""),
        dataclasses.replace(request, target=b"/parse/1n", body=b"ote"),
    ]
    found = {item.fingerprint() for item in others}
    assert len(found) == len(others)
    assert request.fingerprint() not in found
