"""Encoding of messages as CBOR, and decoding with type validation."""

from typing import Any

import cbor2
import msgspec

from rackpost import exceptions

# Leaves room for a request body of the maximum size (limits.MAX_BODY).
MAX_FRAME = 8 << 20


class _LastEncoded:
    """Cache of the most recently encoded message."""

    msg: msgspec.Struct | None = None
    data = b""


def encode(msg: msgspec.Struct) -> bytes:
    """Return the encoded message.

    The last frozen message is cached, so that one sent to many peers in a
    row is encoded once.
    """
    if msg is _LastEncoded.msg:
        return _LastEncoded.data
    data = cbor2.dumps(msgspec.to_builtins(msg, builtin_types=(bytes,)))
    if msg.__struct_config__.frozen:
        _LastEncoded.msg = msg
        _LastEncoded.data = data
    return data


class Decoder:
    """Decodes bytes into one of a union of message types.

    `max_bytes` is None for data that was written by this process.
    """

    def __init__(self, *, kinds: Any, max_bytes: int | None = MAX_FRAME):
        self._kinds = kinds
        self._max_bytes = max_bytes

    def decode(self, data: bytes) -> Any:
        """Return the message in `data`.

        Raises CodecError if the bytes exceed the limit, are not CBOR, or
        are not a message of the expected types.
        """
        if self._max_bytes is not None and len(data) > self._max_bytes:
            raise exceptions.CodecError("frame is too large")
        try:
            raw = cbor2.loads(data)
            return msgspec.convert(
                raw, self._kinds, builtin_types=(bytes,), strict=True
            )
        except (
            cbor2.CBORError,
            msgspec.ValidationError,
            ValueError,
            TypeError,
            RecursionError,
            OverflowError,
            MemoryError,
        ) as exc:
            raise exceptions.CodecError(f"bad frame: {exc}") from exc
