"""Messages to CBOR and back, checked against their types."""

from typing import Any

import cbor2
import msgspec

from rackpost import exceptions

# A frame carries at most one body of a request (see limits.MAX_BODY).
MAX_FRAME = 8 << 20


def encode(msg: msgspec.Struct) -> bytes:
    """The bytes of a message."""
    return cbor2.dumps(msgspec.to_builtins(msg, builtin_types=(bytes,)))


class Decoder:
    """Turns bytes into one of a union of message types."""

    def __init__(self, *, kinds: Any):
        self._kinds = kinds

    def decode(self, data: bytes) -> Any:
        """The message in `data`.

        Raises CodecError where the bytes are not CBOR, too many, or not
        a message of the expected types.
        """
        if len(data) > MAX_FRAME:
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
