from currantdeal.registry import UpstreamRegistry, UpstreamState
from currantdeal.registry.tests.builders import an_upstream


def _registry():
    return UpstreamRegistry(heartbeat_s=1.2)


def test_late_heartbeat_does_not_bring_back_one_that_left():
    """A heartbeat waits behind a partition while its sender leaves.

    When it arrives the sender's port is closed, and callers who were sent
    there would get errors.
    """
    registry = _registry()
    registry.merge(an_upstream(sequence=1), now_s=0.0)
    registry.leave("u1", now_s=1.0)
    assert not registry.merge(an_upstream(sequence=5), now_s=3.0)
    assert registry.present == ()


def test_draining_is_not_undone_by_an_older_heartbeat():
    """Two heartbeats overtake each other on different connections.

    An upstream that drains would be given work until it is gone.
    """
    registry = _registry()
    draining = an_upstream(sequence=4, state=UpstreamState.DRAINING)
    registry.merge(draining, now_s=0.0)
    assert not registry.merge(an_upstream(sequence=3), now_s=0.1)
    assert registry.get("u1").state is UpstreamState.DRAINING


def test_a_restart_under_the_same_name_is_a_new_incarnation():
    """An upstream crashes and starts again under its name.

    Its sequence begins anew, so that the sequence alone would hide it.
    """
    registry = _registry()
    registry.merge(an_upstream(sequence=9), now_s=0.0)
    registry.leave("u1", now_s=0.5)
    again = an_upstream(sequence=1, started_ms=2_000)
    assert registry.merge(again, now_s=1.0)
    assert registry.present == (again,)


def test_an_address_belongs_to_the_later_incarnation():
    """A heartbeat of a crashed upstream comes after its address was reused.

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


def test_a_renewal_is_no_news_but_ends_silence():
    registry = _registry()
    registry.merge(an_upstream(sequence=1), now_s=0.0)
    assert registry.is_silent("u1", now_s=7.0)
    assert not registry.merge(an_upstream(sequence=2), now_s=7.1)
    assert not registry.is_silent("u1", now_s=7.2)


def test_a_renewal_heard_elsewhere_ends_silence():
    registry = _registry()
    registry.merge(an_upstream(sequence=1), now_s=0.0)
    registry.heard("u1", 1_000, 4, now_s=7.0)
    assert not registry.is_silent("u1", now_s=7.2)
    registry.heard("u1", 900, 9, now_s=20.0)
    assert registry.is_silent("u1", now_s=20.0)


def test_the_silent_are_forgotten_after_a_while():
    registry = _registry()
    registry.merge(an_upstream(), now_s=0.0)
    assert registry.expire(now_s=20.0) == ()
    assert [r.upstream for r in registry.expire(now_s=40.0)] == ["u1"]
