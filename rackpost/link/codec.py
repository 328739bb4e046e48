"""Messages to CBOR and back, checked against their types."""

from typing import Any

import cbor2
import msgspec

from rackpost import exceptions

# A frame carries at most one body of a request (see limits.MAX_BODY).
MAX_FRAME = 8 << 20


class _Last:
    """The message that was encoded last."""

    msg: msgspec.Struct | None = None
    data = b""


def encode(msg: msgspec.Struct) -> bytes:
    """The bytes of a message.

    One that goes to many peers in a row is encoded once: of 103 gateways
    each was sent the same list of endpoints, twice a second.  Only messages
    that can't be changed are known again.
    """
    if msg is _Last.msg:
        return _Last.data
    data = cbor2.dumps(msgspec.to_builtins(msg, builtin_types=(bytes,)))
    if msg.__struct_config__.frozen:
        _Last.msg = msg
        _Last.data = data
    return data


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
