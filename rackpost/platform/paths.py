"""Paths that the platform, endpoints and operators call us at."""

READY = b"/v1/readiness"
DOCUMENT = b"/v1/config"
_ENDPOINTS = b"/v1/instances/"


def endpoint_id(path: bytes) -> str | None:
    """The endpoint that a heartbeat's path names; None for other paths."""
    if not path.startswith(_ENDPOINTS):
        return None
    return path[len(_ENDPOINTS) :].decode("latin-1") or None
