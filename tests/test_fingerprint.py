"""By what a request is known again: who asks, and what for."""

import dataclasses

from rackpost.decide import fingerprint
from rackpost import types


@dataclasses.dataclass(frozen=True)
class _Asked:
    organisation: str = "nord"
    method: bytes = b"POST"
    target: bytes = b"/parse/1"
    body: bytes = b"note"

    def known_by(self) -> types.Fingerprint:
        return fingerprint.fingerprint(
            organisation=types.OrganisationName(self.organisation),
            method=self.method,
            target=self.target,
            body=self.body,
        )


def test_the_same_request_is_known_again_and_no_other() -> None:
    asked = _Asked()
    assert asked.known_by() == _Asked().known_by()
    others = [
        dataclasses.replace(asked, organisation="sor"),
        dataclasses.replace(asked, method=b"PUT"),
        dataclasses.replace(asked, target=b"/parse/2"),
        dataclasses.replace(asked, body=b"notes"),
        # The same bytes, cut elsewhere.
        dataclasses.replace(asked, organisation="nordP", method=b"OST"),
        dataclasses.replace(asked, target=b"/parse/1note", body=b""),
        dataclasses.replace(asked, target=b"/parse/1n", body=b"ote"),
    ]
    found = {item.known_by() for item in others}
    assert len(found) == len(others)
    assert asked.known_by() not in found
