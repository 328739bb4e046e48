"""HTTP paths that the platform, endpoints and operators request."""

READY = b"/v1/readiness"
DOCUMENT = b"/v1/config"
_ENDPOINTS = b"/v1/instances/"


def endpoint_id(path: bytes) -> str | None:
    """Return the endpoint id in a heartbeat's path; None for other paths."""
    if not path.startswith(_ENDPOINTS):
        return None
    return path[len(_ENDPOINTS) :].decode("latin-1") or None
