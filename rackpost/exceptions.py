"""Every exception that rackpost raises, under one root."""


class RackpostError(Exception):
    """The root of all errors of rackpost."""


class UserError(RackpostError):
    """Something the user can mend; the text says how."""


class ConfigError(UserError):
    """A flag or an environment variable has an unusable value."""


class SettingsError(UserError):
    """A change of the settings tree was not accepted."""


class RoutingError(UserError):
    """A routing document was not accepted; the text says why."""


class BadRequest(UserError):
    """A caller's request is not well formed.

    `reason` is the stable word that goes into the answer, `status` the
    HTTP status it goes with.
    """

    def __init__(self, reason: str, detail: str, *, status: int = 400):
        super().__init__(detail)
        self.reason = reason
        self.status = status


class LinkError(RackpostError):
    """A link between two of rackpost's processes failed."""


class CodecError(LinkError):
    """Bytes from a peer are not a message of the protocol."""


class EngineError(RackpostError):
    """The endpoint did not do what it was asked.

    `ran` is false only where it is certain that the endpoint has not
    started, and will not start, the work; `backoff_s` is how much longer it
    asked for no more requests, in seconds.
    """

    def __init__(
        self, detail: str, *, ran: bool = True, backoff_s: float = 0.0
    ):
        super().__init__(detail)
        self.ran = ran
        self.backoff_s = backoff_s


class ControlError(RackpostError):
    """The control service could not take or answer a command."""


class StorageError(RackpostError):
    """What lies on the disk cannot be trusted."""


class ExchangeError(RackpostError):
    """A request to an endpoint got no whole, sound answer.

    `sent` is false only where not a byte of the request went out.
    """

    def __init__(self, detail: str, *, sent: bool = True):
        super().__init__(detail)
        self.sent = sent


class EndpointIneligible(ExchangeError):
    """Nothing may be sent to the endpoint now; the text says why."""

    def __init__(self, why: str) -> None:
        super().__init__(why, sent=False)


class ConnectionLimitReached(ExchangeError):
    """All connections that may be open to an endpoint were in use."""

    def __init__(self) -> None:
        super().__init__("too many open", sent=False)
