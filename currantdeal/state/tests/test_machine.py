import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantdeal.core import Role, WorkKind
from currantdeal.state import (
    AbandonClaim,
    Applied,
    AssignHome,
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


def test_of_two_changes_under_one_version_one_wins():
    """Two operators change one selector that both saw at one version.

    The later one is told of the conflict instead of undoing the other.
    """
    log = Log()
    first = selector(expression="tier=gold")
    assert log.apply(first) == Applied(version=1)
    assert isinstance(log.apply(selector(expression="a=b")), Conflict)
    assert log.apply(selector(expression="a=b", version=1)).version == 3
    assert log.apply(first) == Applied(version=1)
    assert log.state.selectors["all"].selector.expression == "a=b"


def test_resend_is_recognised_only_while_it_is_remembered():
    log = Log(ClusterState(limits=StateLimits(remembered_results=2)))
    first = selector("one")
    log.apply(first)
    log.apply(selector("two"))
    assert log.apply(first) == Applied(version=1)
    log.apply(selector("three"))
    assert isinstance(log.apply(first), Conflict)
    assert len(log.state.results) == len(log.state.result_order) == 2


def test_withdrawal_outlives_a_restart_of_the_upstream():
    """A withdrawn upstream restarts and announces itself again.

    Were its labels forgotten, it would get work that the partner forbade.
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


def test_late_announcement_of_an_earlier_start_is_refused():
    """An announcement is delayed until after the upstream's restart."""
    log = Log()
    log.apply(announce(incarnation=2))
    assert isinstance(log.apply(announce(incarnation=1)), Conflict)
    late = RetireUpstream(
        origin=origin(), upstream_id="shop-1", incarnation=1, reason=""
    )
    assert isinstance(log.apply(late), Invalid)
    assert log.state.upstreams["shop-1"].present


def test_operators_labels_win_over_announced_ones():
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
def test_senseless_commands_change_nothing(command):
    log = Log()
    before = log.state
    assert isinstance(log.apply(command), Invalid)
    assert log.state.selectors == before.selectors
    assert log.state.upstreams == before.upstreams


def test_home_is_taken_over_once_and_fences_grow():
    """Two instances take over one home at the same moment."""
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


def test_orders_are_kept_until_enough_others_have_ended():
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


def test_audit_names_who_and_what_and_is_bounded():
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


def test_claim_is_granted_once_and_answered_again():
    """A caller sends an order, loses the answer and sends it again.

    The second instance must not run it, and must give the first answer.
    """
    log = Log()
    granted = log.apply(claim(request_id="r1"))
    assert isinstance(granted, ClaimGranted)
    assert log.apply(claim(request_id="r1")) == granted
    met = log.apply(claim(request_id="r2"))
    assert met.claim.status is ClaimStatus.RUNNING
    log.apply(finish(granted.token))
    met = log.apply(claim(request_id="r3"))
    assert isinstance(met, ClaimExists)
    assert met.claim.answer == ANSWER
    assert isinstance(log.apply(claim(digest="other")), ClaimMismatch)


@pytest.mark.parametrize("end", [ReleaseClaim, AbandonClaim])
def test_claim_can_be_given_back_or_left_unknown(end):
    log = Log()
    token = log.apply(claim()).token
    wrong = end(origin=origin(), key=claim_key(), token=token + 1)
    assert isinstance(log.apply(wrong), Invalid)
    log.apply(end(origin=origin(), key=claim_key(), token=token))
    met = log.apply(claim())
    if end is ReleaseClaim:
        assert isinstance(met, ClaimGranted)
    else:
        assert met.claim.status is ClaimStatus.UNKNOWN


def test_answered_claim_cannot_be_taken_back():
    """An owner thought dead answers; a late release must not free the key."""
    log = Log()
    token = log.apply(claim()).token
    log.apply(finish(token))
    for end in (ReleaseClaim, AbandonClaim):
        late = end(origin=origin(), key=claim_key(), token=token)
        assert isinstance(log.apply(late), Invalid)
    assert log.apply(claim()).claim.answer == ANSWER


def test_full_claim_table_refuses_until_the_oldest_expires():
    """More orders come within the retention than the table holds.

    Forgetting a young claim would let its resend run a second time.
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


def test_clock_that_goes_back_forgets_no_claim_early():
    """An instance's clock is hours behind that of another one."""
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
def test_any_commands_keep_the_rules(commands):
    """Any commands in any order, with a snapshot after each of them.

    A replica that starts from a snapshot has to agree with one that did not.
    """
    limits = StateLimits(claims=2, claim_retention_s=100.0, audit_records=5)
    log = Log(ClusterState(limits=limits))
    held = {}
    for command in commands:
        twin = Log(decode_state(encode_state(log.state)))
        result = log.apply(command)
        assert twin.apply(command) == result
        assert encode_state(twin.state) == encode_state(log.state)
        if isinstance(result, ClaimGranted):
            before = held.get(command.key)
            assert before not in log.state.claims.values()
            held[command.key] = log.state.claims[command.key]
        assert len(log.state.claims) <= limits.claims
        assert len(log.state.claim_order) <= limits.claims
        assert len(log.state.audit) <= limits.audit_records


@settings(deadline=None)
@given(st.binary(max_size=60))
def test_damaged_snapshot_is_refused(raw):
    with pytest.raises(SnapshotError):
        decode_state(raw)
