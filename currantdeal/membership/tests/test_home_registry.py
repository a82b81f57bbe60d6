from currantdeal.core import LoadReport
from currantdeal.membership import (
    Cancel,
    ClaimedGrant,
    ClaimsAnswer,
    HeldKey,
    HomeRefusal,
    HomeRegistry,
    HomeTimeouts,
    Phase,
    ReserveCall,
    Sync,
    decode_loads,
    digest_of,
)
from currantdeal.membership.tests.builders import build_upstream
from currantdeal.ports import Grant, HeldMemory, ReservationRequest


def _home_registry():
    home_registry = HomeRegistry(
        instance="i1",
        output_gap_s=0.04,
        timeouts=HomeTimeouts(),
        now_s=0.0,
    )
    home_registry.add_home(build_upstream(), 7, 0.0).set_phase(Phase.OPEN)
    return home_registry


def _request(name, pieces=10):
    return ReservationRequest(
        request_id=name,
        caller="ana",
        entry="i2",
        upstream_id="decode-1",
        pieces=pieces,
    )


def _reserve(home_registry, name, now_s, process=1, pieces=10):
    call = ReserveCall(process=process, request=_request(name, pieces))
    return home_registry.reserve(call, now_s)


def _heartbeat(*names, process=1, listed=False, released=()):
    keys = [("decode-1", name) for name in names]
    held = tuple(HeldKey(upstream_id=u, request_id=r) for u, r in keys)
    return Sync(
        entry="i2",
        process=process,
        claims=digest_of(keys),
        held=held if listed else None,
        released=tuple(
            HeldKey(upstream_id="decode-1", request_id=r) for r in released
        ),
    )


def _cancels(*names):
    return tuple(
        Cancel(upstream_id="decode-1", request_id=name) for name in names
    )


def test_grants_are_cancelled_when_heartbeats_stop():
    home_registry = _home_registry()
    assert isinstance(_reserve(home_registry, "r1", 0.0)[0], Grant)
    for tenth in range(1, 50):
        home_registry.sync(_heartbeat("r1"), tenth / 10)
        assert home_registry.expire_entries(tenth / 10) == ()
    assert home_registry.expire_entries(7.0) == _cancels("r1")
    assert home_registry.get("decode-1").idle


def test_entry_restart_releases_former_reservations():
    """Guards against memory held for requests of a former process.

    An entry restarts within the heartbeat timeout.  The connections of its
    callers are lost, but its heartbeats continue, so no timeout would
    release the memory.
    """
    home_registry = _home_registry()
    _reserve(home_registry, "r1", 0.0, process=1)
    grant, cancels = _reserve(home_registry, "r2", 0.1, process=2)
    assert isinstance(grant, Grant)
    assert cancels == _cancels("r1")
    stale, _ = _reserve(home_registry, "r3", 0.2, process=1)
    assert isinstance(stale, HomeRefusal)


def test_lost_release_is_detected_by_digest():
    """Guards against a memory leak through lost release messages.

    The entry continues to send heartbeats, so without a comparison with its
    reservations the memory would never be released, and the capacity of the
    engine would decrease with every lost message.
    """
    home_registry = _home_registry()
    _reserve(home_registry, "r1", 0.0)
    _reserve(home_registry, "r2", 0.0)
    assert not home_registry.sync(_heartbeat("r2"), 1.0)[0].list_wanted
    assert home_registry.sync(_heartbeat("r2"), 1.5)[0].list_wanted
    answer, cancels = home_registry.sync(_heartbeat("r2", listed=True), 2.0)
    assert cancels == _cancels("r1")
    assert not answer.list_wanted


def test_unknown_reservation_is_reported_as_lost():
    home_registry = _home_registry()
    answer, _ = home_registry.sync(_heartbeat("r9", listed=True), 1.0)
    assert [key.request_id for key in answer.lost] == ["r9"]


def test_paused_home_cancels_no_reservation():
    """Guards against cancelled streams after a pause of the home.

    The process of the home is paused for ten seconds and resumes.  The
    heartbeats of all entries seem to have timed out, and cancelling their
    requests would end every stream.
    """
    home_registry = _home_registry()
    _reserve(home_registry, "r1", 0.0)
    home_registry.reset_timeouts_if_paused(10.0, has_lease=True)
    assert home_registry.expire_entries(10.1) == ()
    assert home_registry.unresponsive_upstreams(10.1) == ()
    assert home_registry.expire_entries(13.0) == _cancels("r1")


def test_home_without_lease_cancels_no_reservation():
    home_registry = _home_registry()
    _reserve(home_registry, "r1", 0.0)
    for tenth in range(50):
        home_registry.reset_timeouts_if_paused(tenth / 10, has_lease=False)
    assert home_registry.expire_entries(5.0) == ()


def test_adopted_grants_use_memory_and_orphans_are_detected():
    home_registry = _home_registry()
    home = home_registry.add_home(build_upstream(), 8, 0.0)
    claimed = ClaimedGrant(request=_request("r1"), pieces=80)
    answer = ClaimsAnswer(entry="i2", process=1, claimed=(claimed,))
    assert isinstance(_reserve(home_registry, "r2", 0.0)[0], HomeRefusal)
    home_registry.restore("decode-1", answer, 0.0)
    home.set_phase(Phase.OPEN)
    assert isinstance(
        _reserve(home_registry, "r2", 0.0, pieces=30)[0], HomeRefusal
    )
    held = [
        HeldMemory(request_id=name, pieces=1, age_s=1.0, fence=7)
        for name in ("r1", "r8")
    ]
    assert [one.request_id for one in home.orphans(held)] == ["r8"]


def test_loads_are_sent_once_and_old_incarnations_ignored():
    home_registry = _home_registry()
    home_registry.record_report(
        LoadReport(upstream_id="decode-1", incarnation=0), 1.0
    )
    answer, _ = home_registry.sync(_heartbeat(), 1.0)
    assert decode_loads(answer.loads) == ()
    report = LoadReport(upstream_id="decode-1", incarnation=1, running=3)
    home_registry.record_report(report, 1.0)
    answer, _ = home_registry.sync(_heartbeat(), 1.0)
    assert decode_loads(answer.loads) == (report,)
    heartbeat = Sync(
        entry="i2",
        process=1,
        claims=digest_of([]),
        loads_after=answer.loads_after,
    )
    assert decode_loads(home_registry.sync(heartbeat, 1.1)[0].loads) == ()
