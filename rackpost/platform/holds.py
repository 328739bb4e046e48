"""Wire format of capacity set aside at an endpoint, its use and release."""

import urllib.parse

import msgspec

from rackpost import exceptions

TAKE_PATH = b"/v1/hold-take"
# Statuses with which an endpoint answers a call that it does not know.
UNKNOWN_CALL = (404, 405, 501)
# Longest id that is accepted, in characters.
_MAX_ID_LENGTH = 128


class _TakeRequest(msgspec.Struct, frozen=True, kw_only=True):
    tokens: int
    ttl_ms: int


class _TakeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    hold: str


_DECODER = msgspec.json.Decoder(_TakeAnswer)


def take_body(tokens: int, ttl_s: float) -> bytes:
    """Return the body of a call that sets memory and a slot aside."""
    return msgspec.json.encode(
        _TakeRequest(tokens=tokens, ttl_ms=int(ttl_s * 1000))
    )


def decode(body: bytes) -> str:
    """Return the id in the answer to that call.

    Raises CodecError if it is malformed or can't be sent in a header.
    """
    try:
        ident = _DECODER.decode(body).hold
    except exceptions.DECODE_ERRORS as exc:
        raise exceptions.CodecError(f"hold: {exc}") from exc
    if (
        not 0 < len(ident) <= _MAX_ID_LENGTH
        or not ident.isascii()
        or not ident.isprintable()
    ):
        raise exceptions.CodecError("hold: not an id")
    return ident


def release_path(ident: str) -> bytes:
    """Return the path whose DELETE frees what is set aside."""
    return f"/v1/hold-drop/{urllib.parse.quote(ident, safe='')}".encode()
