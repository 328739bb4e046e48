"""The table of leases at a scheduler, under arbitrary reports."""

from hypothesis import given
from hypothesis import strategies as st

from rackpost.decide import kv_forecast
from rackpost.decide.waiting import leases
from rackpost import types

_LEASE_S = 3.5
_GATEWAYS = [types.VmId(name) for name in ("a", "b", "c")]
_gateways = st.sampled_from(_GATEWAYS)
_tickets = st.integers(1, 4).map(leases.TicketId)
_steps = st.lists(
    st.one_of(
        st.tuples(st.just("link"), _gateways, st.booleans()),
        st.tuples(st.just("unlink"), _gateways),
        st.tuples(st.just("choose"), _gateways, st.sampled_from(leases.Use)),
        st.tuples(
            st.just("report"),
            _gateways,
            st.dictionaries(_tickets, st.sampled_from("xy"), max_size=3),
            st.booleans(),
        ),
        st.tuples(st.just("release"), _gateways, st.sets(_tickets)),
        st.tuples(st.just("grant"), _gateways, _tickets),
        st.tuples(st.just("wait"), st.floats(0.0, 2.0)),
    ),
    max_size=40,
)


def _lease(endpoint: str, *, prefilling: bool = True) -> leases.Lease:
    return leases.Lease(
        endpoint=types.EndpointId(endpoint),
        prefill_endpoint=None,
        run=kv_forecast.Run(held_tokens=5, remaining_tokens=7),
        prefilling=prefilling,
    )


class _Model:
    """What the table must hold, and what its changes add up to."""

    def __init__(self) -> None:
        self.table = leases.LeaseTable(lease_s=_LEASE_S)
        self.now = 0.0
        self.linked: set[types.VmId] = set()
        self.reported: set[types.VmId] = set()
        # Linked while the scheduler began, and not yet heard.
        self.awaited: set[types.VmId] = set()
        self.uses: dict[types.VmId, leases.Use] = {}
        self.reported_at: dict[types.VmId, float] = {}
        # Clock readings of the last reports, or of the first link.
        self.heard_at: dict[types.VmId, float] = {}
        # Keys that the reported changes say are held.
        self.counted: set[leases.LeaseKey] = set()

    def apply(self, step: tuple) -> None:
        getattr(self, f"_{step[0]}")(*step[1:])
        self._drop(self.table.expire(self.now))
        for gateway, at in list(self.heard_at.items()):
            if self.now - at > _LEASE_S:
                # A silent gateway stops nothing.
                self.awaited.discard(gateway)
                self.uses.pop(gateway, None)
                if gateway not in self.linked:
                    del self.heard_at[gateway]

    def _drop(self, ended: list[leases.LeaseKey]) -> None:
        assert len(set(ended)) == len(ended)
        assert set(ended) <= self.counted
        self.counted -= set(ended)

    def _link(self, gateway: types.VmId, awaited: bool) -> None:
        self.table.link(gateway, self.now, awaited=awaited)
        self.linked.add(gateway)
        self.reported.discard(gateway)
        self.heard_at.setdefault(gateway, self.now)
        if awaited:
            self.awaited.add(gateway)

    def _unlink(self, gateway: types.VmId) -> None:
        self.table.unlink(gateway)
        self.linked.discard(gateway)

    def _choose(self, gateway: types.VmId, use: leases.Use) -> None:
        self.table.record_use(gateway, use)
        if gateway in self.heard_at:
            self.uses[gateway] = use

    def _report(self, gateway: types.VmId, held: dict, complete: bool) -> None:
        if gateway not in self.linked:
            return
        changes = self.table.report(
            gateway,
            {ticket: _lease(place) for ticket, place in held.items()},
            complete=complete,
            now=self.now,
        )
        self._drop(changes.ended)
        self.counted |= set(changes.added)
        if complete:
            self.reported.add(gateway)
            self.awaited.discard(gateway)
            mine = {key for key in self.counted if key.gateway == gateway}
            assert {key.ticket for key in mine} == set(held)
        if gateway in self.reported:
            self.reported_at[gateway] = self.now
            self.heard_at[gateway] = self.now
            for ticket, place in held.items():
                key = leases.LeaseKey(gateway, ticket)
                assert self.table.leases[key].endpoint == place

    def _release(self, gateway: types.VmId, tickets: set) -> None:
        self._drop(self.table.release(gateway, tickets))

    def _grant(self, gateway: types.VmId, ticket: leases.TicketId) -> None:
        key = leases.LeaseKey(gateway, ticket)
        ready = self.table.readiness is leases.Readiness.READY
        known = self.table.has_reported(gateway)
        assert known == (gateway in self.linked & self.reported)
        if ready and known and key not in self.counted:
            self.table.grant(key, _lease("x"))
            self.counted.add(key)

    def _wait(self, seconds: float) -> None:
        self.now += seconds
        # Linked gateways renew their leases.
        for gateway in self.linked & self.reported:
            self._report(gateway, {}, False)


@given(_steps)
def test_changes_add_up_to_what_is_held(steps: list[tuple]) -> None:
    """Each lease is added once and ended once."""
    model = _Model()
    for step in steps:
        model.apply(step)
        assert set(model.table.leases) == model.counted


@given(_steps)
def test_nothing_is_granted_while_a_holding_may_be_unknown(
    steps: list[tuple],
) -> None:
    """Each that was linked at the beginning is known; none uses another."""
    model = _Model()
    for step in steps:
        model.apply(step)
        ready = model.table.readiness is leases.Readiness.READY
        others = {
            gateway
            for gateway, use in model.uses.items()
            if use is leases.Use.OTHER
        }
        stopping = model.linked & (model.awaited | others)
        assert ready == (not stopping)
        assert set(model.table.blockers()) == stopping


@given(_steps)
def test_nothing_is_held_beyond_a_lease(steps: list[tuple]) -> None:
    """All leases of gateways that are silent end together."""
    model = _Model()
    for step in steps:
        model.apply(step)
    for gateway in list(model.linked):
        model.apply(("unlink", gateway))
    model.now += _LEASE_S + 0.01
    model._drop(model.table.expire(model.now))
    assert not model.table.leases
    assert not model.counted


def test_a_report_changes_a_run_in_place() -> None:
    """Who counts the run sees its progress."""
    table = leases.LeaseTable(lease_s=_LEASE_S)
    gateway = _GATEWAYS[0]
    table.link(gateway, 0.0)
    table.report(gateway, {}, complete=True, now=0.0)
    key = leases.LeaseKey(gateway, leases.TicketId(1))
    lease = _lease("x")
    table.grant(key, lease)
    told = _lease("x", prefilling=False)
    told.run.held_tokens = 9
    changes = table.report(gateway, {key.ticket: told}, complete=False, now=1)
    assert changes.prefilled == [key]
    assert lease.run.held_tokens == 9
    assert not changes.added and not changes.ended
