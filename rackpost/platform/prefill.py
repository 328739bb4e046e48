"""Prefill results on the wire: the answer, its use and its release."""

import msgspec

from rackpost import exceptions


class PrefillResult(msgspec.Struct, frozen=True, kw_only=True):
    """Where a prompt's KV cache lies until it is fetched or lapses."""

    handle: str = msgspec.field(name="kvHandle")
    prompt_tokens: int = msgspec.field(default=0, name="tokens")


_DECODER = msgspec.json.Decoder(PrefillResult)


def decode(body: bytes) -> PrefillResult:
    """The answer to a prefill; CodecError if it is not one."""
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise exceptions.CodecError(f"prefill: {exc}") from exc


def source(address: str, result: PrefillResult) -> bytes:
    """How a decode endpoint is told where to fetch the KV cache."""
    return f"{address}/{result.handle}".encode()


def release_path(result: PrefillResult) -> bytes:
    """The path whose DELETE frees the KV cache."""
    return f"/v1/kv-handle/{result.handle}".encode()
