"""What one request counts against its organisation's quota."""

from rackpost.decide import quota
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.routing import model


class Charge:
    """The quota units of one admitted request.

    They count while the request waits, and for one quota window after each
    send to an endpoint that may have run it.  A request that never ran counts
    nothing in the end.
    """

    def __init__(
        self,
        *,
        quotas: quota.Quotas,
        organisation: model.Organisation,
        units: int,
        now: float,
    ) -> None:
        self._quotas = quotas
        self._name = organisation.name
        self._units = units
        self._is_waiting = True
        self._sent_at = 0.0
        quotas.admit(self._name, units, now)

    def record_sent(self, now: float) -> None:
        """Count the units of a send to an endpoint; a retry counts again."""
        if not self._is_waiting:
            self._quotas.admit(self._name, self._units, now)
        self._is_waiting = False
        self._sent_at = now
        self._quotas.record_sent(self._name, self._units, now)

    def record_not_run(self, now: float) -> None:
        """Record that the endpoint did not run the last send."""
        self._quotas.record_not_run(
            self._name, self._units, self._sent_at, now
        )
        self._is_waiting = True

    def release(self, now: float) -> None:
        """Release the units of a request that was never run."""
        if self._is_waiting:
            self._is_waiting = False
            self._quotas.cancel(self._name, self._units, now)


def units(limit: model.Quota, req: message.Request) -> int:
    """Return the request's units, from its prompt and maximum output."""
    sizes = headers.request_sizes(req.headers)
    tokens = None if sizes is None else sizes.prompt + sizes.max_output
    return quota.request_units(limit, tokens)
