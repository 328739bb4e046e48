"""The exceptions of rackpost."""

import msgspec

# What msgspec raises on malformed data; RecursionError on deep nesting.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


class RackpostError(Exception):
    """Base class of all errors of rackpost."""


class UserError(RackpostError):
    """An error that the user can correct; the message says how."""


class ConfigError(UserError):
    """A flag or an environment variable has an invalid value."""


class SettingsError(UserError):
    """A change of the settings tree was rejected."""


class RoutingError(UserError):
    """A routing document was rejected; the message says why."""


class BadRequest(UserError):
    """A caller's request is malformed.

    `reason` is a stable code for the answer, `status` its HTTP status.
    """

    def __init__(self, reason: str, detail: str, *, status: int = 400):
        super().__init__(detail)
        self.reason = reason
        self.status = status


class TooLargeError(UserError):
    """A change is too large to be replicated; the message says the limit."""


class LinkError(RackpostError):
    """A link between two processes of rackpost failed."""


class CodecError(LinkError):
    """Bytes from a peer are not a message of the protocol."""


class EngineError(RackpostError):
    """An endpoint failed to serve a request.

    `ran` is false only if it is certain that the endpoint has not started,
    and will not start, the work.  `backoff_s` is the back-off that it
    requested, in seconds.
    """

    def __init__(
        self, detail: str, *, ran: bool = True, backoff_s: float = 0.0
    ):
        super().__init__(detail)
        self.ran = ran
        self.backoff_s = backoff_s


class ControlError(RackpostError):
    """The control service could not accept or answer a command."""


class StorageError(RackpostError):
    """Stored data is damaged, or the disk failed."""


class ExchangeError(RackpostError):
    """A request to an endpoint got no complete, valid answer.

    `sent` is false only if no byte of the request was written.
    """

    def __init__(self, detail: str, *, sent: bool = True):
        super().__init__(detail)
        self.sent = sent


class EndpointIneligible(ExchangeError):
    """The endpoint may not be sent requests now; the message says why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, sent=False)


class NotListening(ExchangeError):
    """Nothing listens at the endpoint's address: its process has ended."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=False)


class ConnectionLimitReached(ExchangeError):
    """All connections allowed to an endpoint are in use."""

    def __init__(self) -> None:
        super().__init__("too many open", sent=False)
