import threading

import pytest

from currantdeal.adapters.tests.home_builders import (
    Instances,
    build_request,
    until,
)
from currantdeal.core import ReservationError, Role
from currantdeal.state import (
    EngineOrder,
    IssueOrder,
    OrderKind,
    OrderStatus,
    Origin,
)

LEASE_S = 1.0


@pytest.fixture
def instances():
    cluster = Instances()
    stop = threading.Event()

    def renew():
        while not stop.wait(0.2):
            cluster.renew()

    threading.Thread(target=renew, daemon=True).start()
    yield cluster
    stop.set()
    cluster.stop()


def _running(instances, number, **options):
    grant = instances.reserve(number, **options)
    instances.engine.hold(grant.request_id, options.get("pieces", 10))
    return grant


def test_memory_is_granted_once_among_all_entries(instances):
    grants = [
        instances.reserve(n, entry=f"i{n}", pieces=30) for n in (1, 2, 3)
    ]
    assert len({grant.fence for grant in grants}) == 1
    with pytest.raises(ReservationError):
        instances.reserve(4, entry="i1", pieces=30)
    assert instances.homes["i1"].grow(grants[0], pieces=5)
    instances.homes["i2"].release(grants[1])
    until(lambda: _fits(instances, 5))


def _fits(instances, number):
    try:
        return instances.reserve(number, entry="i3", pieces=30)
    except ReservationError:
        return False


def test_killed_entry_leaves_no_memory_held(instances):
    """An entry's process is killed while its request decodes.

    Guards against leaked engine memory: the caller's connection is lost, but
    the engine holds the memory until the request is cancelled, and other
    callers would be refused for lack of memory.
    """
    instances.reserve(1, entry="i1")
    entry = instances.other(instances.home().instance)
    _running(instances, 2, entry=entry)
    instances.kill(entry)
    until(lambda: instances.engine.cancelled == ["r2"])


def test_new_home_keeps_what_entries_claim_and_cancels_the_rest(instances):
    """The home of an engine is killed just after one of its entries died.

    The new home starts without records of running requests and grants.
    Guards against overcommitting the engine by granting its memory again, and
    against interrupting callers' streams by cancelling all requests.
    """
    instances.reserve(1, entry="i1", pieces=1)
    home = instances.home()
    entry = instances.other(home.instance)
    claimed = _running(instances, 2, entry=entry, pieces=80)
    instances.engine.hold("of a dead entry")
    instances.kill(home.instance)
    instances.declare_dead(home.instance)
    until(lambda: instances.home().fence > home.fence)
    until(lambda: instances.engine.cancelled == ["of a dead entry"])
    with pytest.raises(ReservationError):
        instances.reserve(3, entry=entry, pieces=30)
    assert "r2" in instances.engine.memory
    moved = instances.homes[entry].refresh(claimed)
    assert moved.fence == instances.home().fence
    instances.homes[entry].release(claimed)
    until(lambda: _fits_at(instances, entry))


def _fits_at(instances, entry):
    try:
        return instances.reserve(9, entry=entry, pieces=80)
    except ReservationError:
        return False


def test_new_home_waits_for_the_former_lease(instances):
    """The former home is partitioned; the engine ignores fencing numbers.

    Guards against granting the same memory twice: the former home may still
    grant until its lease has expired.
    """
    instances.reserve(1, entry="i1", pieces=1)
    former = instances.home()
    instances.kill(former.instance)
    del instances.members_by_name[former.instance]
    until(lambda: instances.home().fence > former.fence)
    entry = instances.other()
    with pytest.raises(ReservationError):
        instances.homes[entry].reserve(
            build_request(8, entry=entry), timeout_s=0.5
        )
    instances.shared.leases[former.instance] = 0.0
    assert instances.reserve(2, entry=entry)


def test_home_without_a_lease_grants_nothing(instances):
    instances.reserve(1, entry="i1")
    home = instances.home().instance
    instances.shared.leases[home] = 0.0
    request = build_request(8, entry=home)
    with pytest.raises(ReservationError):
        instances.homes[home].reserve(request, timeout_s=0.2)


@pytest.mark.known_red
def test_drained_instance_hands_its_homes_over(instances):
    """An operator drains the instance that is home of a busy engine.

    Guards against lost grants and cancelled requests during the move.
    """
    instances.reserve(1, entry="i1", pieces=1)
    home = instances.home().instance
    _running(instances, 2, entry=home, pieces=70)
    assert instances.homes[home].hand_over(timeout_s=30.0)
    assert instances.home().instance != home
    with pytest.raises(ReservationError):
        instances.reserve(3, entry=instances.other(home), pieces=30)
    assert instances.engine.cancelled == []


def test_silent_upstream_is_retired():
    """An engine's machine loses power, so the engine is never withdrawn."""
    instances = Instances(count=2)
    try:
        until(lambda: instances.shared.state.homes)
        instances.engine.unreachable = True
        upstreams = instances.shared.state.upstreams
        assert upstreams["decode-1"].present
        until(lambda: not instances.shared.state.upstreams["decode-1"].present)
    finally:
        instances.stop()


def _fits_briefly(instances):
    grant = _fits(instances, 2)
    if grant:
        instances.homes["i3"].release(grant)
    return grant


def test_role_change_lets_running_work_finish(instances):
    grant = _running(instances, 1, entry="i2")
    order = EngineOrder(kind=OrderKind.SET_ROLES, roles=(Role.PREFILL,))
    origin = Origin(request_id="o1", actor="ana", instance="i1")
    issued = instances.shared.propose(
        IssueOrder(origin=origin, upstream_id="decode-1", order=order)
    )
    until(lambda: not _fits_briefly(instances))
    assert instances.engine.orders == []
    instances.homes["i2"].release(grant)
    instances.engine.memory.clear()
    until(lambda: instances.engine.orders)
    assert instances.engine.orders == [(order, instances.home().fence)]

    def status():
        return instances.shared.state.orders[issued.order_id].status

    until(lambda: status() is OrderStatus.DONE)


def test_one_fault_does_not_end_the_heartbeats(instances):
    """Sending heartbeats raises one exception while streams are running.

    Guards against a heartbeat thread that ends with the exception: the home
    would consider the entry dead and cancel its streams, and callers would
    lose their output.
    """
    instances.reserve(1, entry="i1", pieces=10)
    home = instances.home().instance
    entry = instances.other(home)
    _running(instances, 2, entry=entry, pieces=10)
    links = instances.homes[entry]._links
    send, failures, sent = links._send_due, [AttributeError("a fault")], []

    def fail_once(now_s):
        if failures:
            raise failures.pop()
        send(now_s)
        sent.append(now_s)

    links._send_due = fail_once
    until(lambda: sent and sent[-1] - sent[0] > 2 * LEASE_S)
    assert instances.engine.cancelled == []
