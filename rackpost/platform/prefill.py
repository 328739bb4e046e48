"""Wire format of prefill results: the answer, its use and its release."""

import msgspec

from rackpost import exceptions


class PrefillResult(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies a prompt's KV cache until it is fetched or expires."""

    handle: str = msgspec.field(name="kvHandle")
    prompt_tokens: int = msgspec.field(default=0, name="tokens")


_DECODER = msgspec.json.Decoder(PrefillResult)


def decode(body: bytes) -> PrefillResult:
    """Decode the answer to a prefill; raises CodecError if malformed."""
    try:
        return _DECODER.decode(body)
    except exceptions.DECODE_ERRORS as exc:
        raise exceptions.CodecError(f"prefill: {exc}") from exc


def source(address: str, result: PrefillResult) -> bytes:
    """Return the value that tells a decode endpoint where the KV cache is."""
    return f"{address}/{result.handle}".encode()


def release_path(result: PrefillResult) -> bytes:
    """Return the path whose DELETE frees the KV cache."""
    return f"/v1/kv-handle/{result.handle}".encode()
