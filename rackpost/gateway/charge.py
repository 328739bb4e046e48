"""What one request counts against its organisation's quota."""

from rackpost.decide import quota
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.routing import model


class Charge:
    """The units of a request that was admitted.

    They count from then on: while it waits, and for a window after each
    send to an endpoint that may have run it.  Of one that never ran
    nothing is counted in the end.
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

    def sent(self, now: float) -> None:
        """It is sent to an endpoint; a repeat counts once more."""
        if not self._is_waiting:
            self._quotas.admit(self._name, self._units, now)
        self._is_waiting = False
        self._sent_at = now
        self._quotas.record_sent(self._name, self._units, now)

    def not_run(self, now: float) -> None:
        """The endpoint that it was sent to has not run it."""
        self._quotas.record_not_run(
            self._name, self._units, self._sent_at, now
        )
        self._is_waiting = True

    def end(self, now: float) -> None:
        """Nothing more is sent."""
        if self._is_waiting:
            self._is_waiting = False
            self._quotas.cancel(self._name, self._units, now)


def units(limit: model.Quota, req: message.Request) -> int:
    """What a request counts: its prompt and the most that it may answer."""
    sizes = headers.request_sizes(req.headers)
    tokens = None if sizes is None else sizes.prompt + sizes.max_output
    return quota.request_units(limit, tokens)
