from hypothesis import given
from hypothesis import strategies as st

from currantdeal.registry import UpstreamRegistry, UpstreamState
from currantdeal.registry.tests.builders import an_upstream


def _registry():
    return UpstreamRegistry(heartbeat_s=1.2)


def test_late_heartbeat_does_not_bring_back_an_upstream_that_left():
    """A heartbeat is delayed by a partition while its sender leaves.

    When it arrives, the sender's port is closed; requests routed there would
    fail.
    """
    registry = _registry()
    registry.merge(an_upstream(sequence=1), now_s=0.0)
    registry.leave("u1", now_s=1.0)
    assert not registry.merge(an_upstream(sequence=5), now_s=3.0)
    assert registry.present == ()


def test_draining_is_not_undone_by_an_older_heartbeat():
    """Two heartbeats on different connections arrive out of order.

    The draining upstream must not be sent new work until it leaves.
    """
    registry = _registry()
    draining = an_upstream(sequence=4, state=UpstreamState.DRAINING)
    registry.merge(draining, now_s=0.0)
    assert not registry.merge(an_upstream(sequence=3), now_s=0.1)
    assert registry.get("u1").state is UpstreamState.DRAINING


def test_a_restart_under_the_same_name_is_a_new_incarnation():
    """An upstream crashes and restarts under its name.

    Its sequence numbers restart, so that a comparison of the sequence alone
    would ignore it.
    """
    registry = _registry()
    registry.merge(an_upstream(sequence=9), now_s=0.0)
    registry.leave("u1", now_s=0.5)
    restarted = an_upstream(sequence=1, started_ms=2_000)
    assert registry.merge(restarted, now_s=1.0)
    assert registry.present == (restarted,)


def test_leave_just_after_a_restart_may_be_that_of_the_earlier_process():
    """A leave is delayed while its sender restarts under its name.

    Taken for that of the new process, no work would be sent there any more.
    """
    registry = _registry()
    registry.merge(an_upstream(), now_s=0.0)
    assert not registry.has_just_restarted("u1", now_s=0.0)
    registry.merge(an_upstream(started_ms=2_000), now_s=1.0)
    assert registry.has_just_restarted("u1", now_s=6.0)
    assert not registry.has_just_restarted("u1", now_s=8.0)


def test_digests_are_equal_for_equal_records_of_present_upstreams():
    """Guards against a missed leave that no comparison notices."""
    first, second = _registry(), _registry()
    first.merge(an_upstream(sequence=1), now_s=0.0)
    first.merge(an_upstream(sequence=3), now_s=1.0)
    second.merge(an_upstream(sequence=2), now_s=0.0)
    assert first.digest == second.digest != 0
    first.leave("u1", now_s=2.0)
    assert first.digest == 0 != second.digest
    second.forget("u1")
    assert second.digest == 0


def test_an_address_belongs_to_the_later_incarnation():
    """A heartbeat of a crashed upstream arrives after its address is reused.

    Work sent there under the old name would be refused by the new owner.
    """
    registry = _registry()
    registry.merge(an_upstream(upstream="u2", started_ms=5_000), now_s=0.0)
    assert not registry.merge(an_upstream(sequence=7), now_s=1.0)
    assert [r.upstream for r in registry.present] == ["u2"]


def test_a_new_owner_of_an_address_ends_the_old_one():
    registry = _registry()
    registry.merge(an_upstream(), now_s=0.0)
    registry.merge(an_upstream(upstream="u2", started_ms=5_000), now_s=1.0)
    assert [r.upstream for r in registry.present] == ["u2"]


def test_a_renewal_is_no_change_but_ends_silence():
    registry = _registry()
    registry.merge(an_upstream(sequence=1), now_s=0.0)
    assert registry.is_silent("u1", now_s=7.0)
    assert not registry.merge(an_upstream(sequence=2), now_s=7.1)
    assert not registry.is_silent("u1", now_s=7.2)


def test_a_renewal_received_elsewhere_ends_silence():
    registry = _registry()
    registry.merge(an_upstream(sequence=1), now_s=0.0)
    registry.on_heartbeat("u1", 1_000, 4, now_s=7.0)
    assert not registry.is_silent("u1", now_s=7.2)
    registry.on_heartbeat("u1", 900, 9, now_s=20.0)
    assert registry.is_silent("u1", now_s=20.0)


def test_silent_upstreams_expire():
    registry = _registry()
    registry.merge(an_upstream(), now_s=0.0)
    assert registry.expire(now_s=20.0) == ()
    assert [r.upstream for r in registry.expire(now_s=40.0)] == ["u1"]


class _ScanningRegistry(UpstreamRegistry):
    """Finds the upstreams at an address among all records."""

    def _names_at(self, address):
        return {r.upstream for r in self.records if r.address == address}


_OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["merge", "merge", "leave", "expire"]),
        st.sampled_from(["u1", "u2", "u3"]),
        st.sampled_from(["10.0.0.1:80", "10.0.0.2:80"]),
        st.integers(1, 4),
        st.sampled_from([0.1, 5.0, 500.0]),
    ),
    max_size=40,
)


@given(operations=_OPERATIONS)
def test_upstreams_at_an_address_are_found_without_a_scan(operations):
    """Load pattern: heartbeats of thousands of upstreams.

    A scan of all records at each heartbeat takes the whole processor of a
    control instance.  The index must find the same upstreams.
    """
    registries = (_registry(), _ScanningRegistry(heartbeat_s=1.2))
    now_s = 0.0
    for sequence, (kind, name, address, started, wait_s) in enumerate(
        operations
    ):
        now_s += wait_s
        record = an_upstream(
            upstream=name,
            address=address,
            started_ms=started,
            sequence=sequence,
        )
        results = [
            _apply(registry, kind, record, now_s) for registry in registries
        ]
        assert results[0] == results[1]
        assert registries[0].records == registries[1].records


def _apply(registry, kind, record, now_s):
    if kind == "merge":
        return registry.merge(record, now_s=now_s)
    if kind == "leave":
        return registry.leave(record.upstream, now_s=now_s)
    return registry.expire(now_s=now_s)
