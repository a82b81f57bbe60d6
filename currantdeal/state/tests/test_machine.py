import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantdeal.core import Role, WorkKind
from currantdeal.state import (
    AbandonClaim,
    Applied,
    AssignHome,
    CallAnswer,
    ClaimExists,
    ClaimGranted,
    ClaimMismatch,
    ClaimStatus,
    ClaimTableFull,
    ClusterState,
    Conflict,
    DeleteSelector,
    Eligibility,
    EngineOrder,
    FinishOrder,
    HomeAssigned,
    Invalid,
    IssueOrder,
    OrderKind,
    OrderStatus,
    ReleaseClaim,
    RetireUpstream,
    SetDraining,
    SnapshotError,
    StateLimits,
    WorkClass,
    decode_state,
    encode_state,
    read_audit,
)
from currantdeal.state.tests.builders import (
    ANSWER,
    Log,
    announce,
    claim,
    claim_key,
    finish,
    origin,
    selector,
    set_labels,
)

SHOP = WorkClass(
    kind=WorkKind.SERVICE, target="shop", role=Role.SERVICE, region="lagos"
)


def allowed(log, wanted=SHOP):
    found = Eligibility(state=log.state).allowed(wanted)
    return [upstream.upstream_id for upstream in found]


def test_of_two_changes_to_one_version_the_first_wins():
    """Two operators change one selector that both read at the same version.

    The second one gets a conflict instead of undoing the first change.
    """
    log = Log()
    first = selector(expression="tier=gold")
    assert log.apply(first) == Applied(version=1)
    assert isinstance(log.apply(selector(expression="a=b")), Conflict)
    assert log.apply(selector(expression="a=b", version=1)).version == 3
    assert log.apply(first) == Applied(version=1)
    assert log.state.selectors["all"].selector.expression == "a=b"


def test_resend_is_recognised_while_its_result_is_kept():
    log = Log(ClusterState(limits=StateLimits(remembered_results=2)))
    first = selector("one")
    log.apply(first)
    log.apply(selector("two"))
    assert log.apply(first) == Applied(version=1)
    log.apply(selector("three"))
    assert isinstance(log.apply(first), Conflict)
    assert len(log.state.results) == len(log.state.result_order) == 2


def test_withdrawal_survives_a_restart_of_the_upstream():
    """A withdrawn upstream restarts and announces itself again.

    If its labels were lost, it would receive work that the partner
    organisation has forbidden.
    """
    log = Log()
    log.apply(announce())
    log.apply(selector())
    assert allowed(log) == ["shop-1"]
    log.apply(set_labels(withdrawn="yes"))
    log.apply(
        RetireUpstream(
            origin=origin(), upstream_id="shop-1", incarnation=1, reason=""
        )
    )
    log.apply(announce(incarnation=2))
    assert allowed(log) == []
    version = log.state.upstreams["shop-1"].labels_version
    log.apply(set_labels(version=version, removed=("withdrawn",)))
    assert allowed(log) == ["shop-1"]


def test_delayed_announcement_of_an_earlier_incarnation_is_rejected():
    """An announcement is delayed until after the upstream's restart.

    It must not bring the earlier incarnation back.
    """
    log = Log()
    log.apply(announce(incarnation=2))
    assert isinstance(log.apply(announce(incarnation=1)), Conflict)
    late = RetireUpstream(
        origin=origin(), upstream_id="shop-1", incarnation=1, reason=""
    )
    assert isinstance(log.apply(late), Invalid)
    assert log.state.upstreams["shop-1"].present


def test_operator_labels_override_announced_ones():
    log = Log()
    log.apply(announce(labels=(("tier", "gold"), ("zone", "a"))))
    log.apply(set_labels(tier="tin", removed=("zone",)))
    assert log.state.upstreams["shop-1"].labels == {"tier": "tin"}
    log.apply(selector(expression="tier=gold"))
    assert allowed(log) == []
    log.apply(selector("tin", expression="tier=tin"))
    assert allowed(log) == ["shop-1"]


@pytest.mark.parametrize(
    "command",
    [
        set_labels("unknown", a="b"),
        selector(expression="((("),
        selector("not a name!"),
        DeleteSelector(origin=origin(), name="none", expected_version=0),
        FinishOrder(origin=origin(), order_id=7, status=OrderStatus.DONE),
    ],
)
def test_invalid_commands_change_nothing(command):
    log = Log()
    before = log.state
    assert isinstance(log.apply(command), Invalid)
    assert log.state.selectors == before.selectors
    assert log.state.upstreams == before.upstreams


def test_home_is_taken_over_once_and_fences_increase():
    """Two instances take over the same home concurrently."""
    log = Log()

    def assign(home, fence, request_id=None):
        return AssignHome(
            origin=origin(request_id=request_id),
            upstream_id="e1",
            home=home,
            expected_fence=fence,
        )

    assert log.apply(assign("i1", 0)) == HomeAssigned(version=1, fence=1)
    won = log.apply(assign("i2", 1, "again"))
    assert isinstance(log.apply(assign("i3", 1)), Conflict)
    assert log.state.homes["e1"].instance == "i2"
    assert log.apply(assign("i2", 1, "again")) == won


def test_oldest_finished_orders_are_removed():
    log = Log(ClusterState(limits=StateLimits(finished_orders=2)))
    log.apply(announce())
    order = EngineOrder(kind=OrderKind.LOAD, model="m")
    for _ in range(4):
        issued = log.apply(
            IssueOrder(origin=origin(), upstream_id="shop-1", order=order)
        )
        log.apply(
            FinishOrder(
                origin=origin(),
                order_id=issued.order_id,
                status=OrderStatus.DONE,
            )
        )
    assert len(log.state.orders) == 2
    assert issued.order_id in log.state.orders


def test_audit_records_actor_and_change_and_is_bounded():
    log = Log(ClusterState(limits=StateLimits(audit_records=3)))
    log.apply(announce())
    log.apply(set_labels(tier="gold"))
    for on in (True, False, True):
        log.apply(SetDraining(origin=origin(), instance="i2", draining=on))
    records = read_audit(log.state)
    assert [rec.version for rec in records] == [3, 4, 5]
    assert [rec.version for rec in read_audit(log.state, after_version=4)] == [
        5
    ]
    assert records[-1].actor == "ana"
    assert (records[-1].before, records[-1].after) == ("false", "true")


def test_claim_is_granted_once_and_its_answer_is_kept():
    """A caller sends a call, loses the answer and retries elsewhere.

    The second instance must not run the call, and must return the first
    answer.
    """
    log = Log()
    granted = log.apply(claim(request_id="r1"))
    assert isinstance(granted, ClaimGranted)
    assert log.apply(claim(request_id="r1")) == granted
    repeated = log.apply(claim(request_id="r2"))
    assert repeated.claim.status is ClaimStatus.RUNNING
    log.apply(finish(granted.token))
    repeated = log.apply(claim(request_id="r3"))
    assert isinstance(repeated, ClaimExists)
    assert repeated.claim.answer == ANSWER
    assert isinstance(log.apply(claim(digest="other")), ClaimMismatch)


@pytest.mark.parametrize("end", [ReleaseClaim, AbandonClaim])
def test_claim_can_be_released_or_abandoned(end):
    log = Log()
    token = log.apply(claim()).token
    wrong = end(origin=origin(), key=claim_key(), token=token + 1)
    assert isinstance(log.apply(wrong), Invalid)
    log.apply(end(origin=origin(), key=claim_key(), token=token))
    repeated = log.apply(claim())
    if end is ReleaseClaim:
        assert isinstance(repeated, ClaimGranted)
    else:
        assert repeated.claim.status is ClaimStatus.UNKNOWN


def test_answered_claim_cannot_be_released():
    """An owner that was considered failed answers after all.

    A release that arrives later must not free the key.
    """
    log = Log()
    token = log.apply(claim()).token
    log.apply(finish(token))
    for end in (ReleaseClaim, AbandonClaim):
        late = end(origin=origin(), key=claim_key(), token=token)
        assert isinstance(log.apply(late), Invalid)
    assert log.apply(claim()).claim.answer == ANSWER


def test_full_claim_table_refuses_claims_until_one_expires():
    """More calls arrive within the retention time than the table can hold.

    If a younger claim were removed, a resend would run its call again.
    """
    limits = StateLimits(claims=2, claim_retention_s=100.0)
    log = Log(ClusterState(limits=limits))
    log.apply(claim("a", wall_s=0.0))
    log.apply(claim("b", wall_s=10.0))
    full = log.apply(claim("c", wall_s=40.0))
    assert full == ClaimTableFull(retry_after_s=60.0)
    assert isinstance(log.apply(claim("a", wall_s=99.0)), ClaimExists)
    assert isinstance(log.apply(claim("c", wall_s=100.0)), ClaimGranted)
    assert isinstance(log.apply(claim("a", wall_s=100.0)), ClaimTableFull)


def test_lagging_clock_does_not_expire_claims_early():
    """The clock of one instance is hours behind that of another one."""
    limits = StateLimits(claim_retention_s=100.0)
    log = Log(ClusterState(limits=limits))
    log.apply(claim("a", wall_s=1000.0))
    log.apply(claim("b", wall_s=1.0))
    assert isinstance(log.apply(claim("a", wall_s=1099.0)), ClaimExists)
    assert isinstance(log.apply(claim("b", wall_s=1099.0)), ClaimExists)


COMMANDS = st.one_of(
    st.builds(
        lambda key, digest, wall_s: claim(key, digest=digest, wall_s=wall_s),
        st.sampled_from("abc"),
        st.sampled_from("de"),
        st.floats(0, 300),
    ),
    st.builds(finish, st.integers(1, 20), st.sampled_from("abc")),
    st.builds(
        lambda token, key: ReleaseClaim(
            origin=origin(), key=claim_key(key), token=token
        ),
        st.integers(1, 20),
        st.sampled_from("abc"),
    ),
    st.builds(
        lambda name, version: selector(name, version=version),
        st.sampled_from(("one", "two")),
        st.integers(0, 10),
    ),
    st.builds(announce, incarnation=st.integers(1, 3)),
    st.builds(
        lambda version: set_labels(version=version, tier="x"),
        st.integers(0, 10),
    ),
)


@settings(deadline=None)
@given(st.lists(COMMANDS, max_size=30))
def test_restored_replica_agrees_after_any_commands(commands):
    """Any commands in any order, with a snapshot before each of them.

    A replica that is restored from a snapshot must have the same state as one
    that applied the whole log.
    """
    limits = StateLimits(claims=2, claim_retention_s=100.0, audit_records=5)
    log = Log(ClusterState(limits=limits))
    held = {}
    for command in commands:
        restored = Log(decode_state(encode_state(log.state)))
        result = log.apply(command)
        assert restored.apply(command) == result
        assert encode_state(restored.state) == encode_state(log.state)
        if isinstance(result, ClaimGranted):
            before = held.get(command.key)
            assert before not in log.state.claims.values()
            held[command.key] = log.state.claims[command.key]
        assert len(log.state.claims) <= limits.claims
        assert len(log.state.claim_order) <= limits.claims
        assert len(log.state.audit) <= limits.audit_records


@settings(deadline=None)
@given(st.binary(max_size=60))
def test_invalid_snapshot_is_rejected(raw):
    with pytest.raises(SnapshotError):
        decode_state(raw)


def test_answers_of_an_earlier_build_count_as_whole():
    """Guards against records that another build can't read."""
    earlier = {"status": 200, "content_type": "text/plain", "body": b"paid"}
    raw = msgspec.msgpack.encode(earlier)
    assert msgspec.msgpack.decode(raw, type=CallAnswer).is_known_whole
