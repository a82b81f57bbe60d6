import threading
from dataclasses import replace

import pytest

from currantdeal.core import (
    Outcome,
    Ran,
    StateUnavailableError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from currantdeal.serving.calls import digest_of
from currantdeal.serving.claims import MAX_WAIT_S
from currantdeal.serving.errors import Reason, RefusedError
from currantdeal.serving.tests.builders import (
    build_world,
    order,
    propose,
    shop,
)
from currantdeal.state import ClaimCall, ClaimKey, ClaimStatus, FinishClaim

TIMED_OUT = UpstreamTimeoutError("lost", ran=Ran.MAYBE)
CONNECTION_REFUSED = UpstreamUnreachableError("refused", ran=Ran.NO)


def _call(world, request):
    return world.serving.calls.call(request)


def _refusal(world, request):
    with pytest.raises(RefusedError) as caught:
        _call(world, request)
    return caught.value


def test_read_is_tried_again():
    """The connection to a shop breaks during a GET of its menu.

    Without a retry the caller gets an error that a second attempt avoids.
    """
    world = build_world()
    world.services.script = [TIMED_OUT]
    assert _call(world, order(world, method="GET")).answer.status == 201
    assert len({each.upstream_id for each in world.services.sent}) == 2


@pytest.mark.parametrize(
    "failure, outcome",
    [(TIMED_OUT, Outcome.UNKNOWN), (CONNECTION_REFUSED, Outcome.NOT_RUN)],
)
def test_order_without_a_key_gets_one_try(failure, outcome):
    """The connection to a shop fails while an order without a key is sent.

    A second attempt could place the order twice.
    """
    world = build_world()
    world.services.script = [failure]
    assert _refusal(world, order(world)).outcome is outcome
    assert len(world.services.sent) == 1


def test_resend_elsewhere_gets_the_first_answer():
    """A caller loses the answer to an order and resends it elsewhere.

    Without a replicated claim the second instance would run the order again.
    """
    first = build_world()
    other = build_world(state=first.state, services=first.services)
    one = _call(first, order(first, key="k"))
    two = _call(other, order(other, key="k"))
    assert (one.answer.body, two.answer.body) == (b"run 1", b"run 1")
    assert (one.replayed, two.replayed) == (False, True)
    assert len(first.services.sent) == 1


def test_key_with_another_order_is_refused():
    world = build_world()
    _call(world, order(world, key="k"))
    refusal = _refusal(world, order(world, key="k", body=b"another"))
    assert refusal.reason is Reason.KEY_REUSED
    assert len(world.services.sent) == 1


def test_claimed_order_goes_elsewhere_only_if_it_did_not_run():
    """One shop refuses the connection, and the next one times out.

    After the timeout the order may have run, so it must not be sent again.
    """
    world = build_world(upstreams=[shop(f"s{n}") for n in (1, 2, 3)])
    world.services.script = [CONNECTION_REFUSED, TIMED_OUT]
    refusal = _refusal(world, order(world, key="k"))
    assert refusal.outcome is Outcome.UNKNOWN
    assert len(world.services.sent) == 2
    again = _refusal(world, order(world, key="k"))
    assert again.reason is Reason.OUTCOME_UNKNOWN
    assert len(world.services.sent) == 2


def test_order_that_did_not_run_may_be_sent_again():
    """No shop is reachable.

    The outcome is "not run", so the same key must work later.
    """
    world = build_world()
    world.services.script = [CONNECTION_REFUSED, CONNECTION_REFUSED]
    assert _refusal(world, order(world, key="k")).outcome is Outcome.NOT_RUN
    assert _call(world, order(world, key="k")).answer.status == 201


def test_resend_waits_for_the_running_call():
    """A caller resends an order while the first one is still running.

    The resend must get the same answer, and the order must run once.
    """
    world = build_world()
    running, resume = threading.Event(), threading.Event()

    def wait_in_service():
        running.set()
        resume.wait(30)

    world.services.script = [wait_in_service]
    answers = []
    first = threading.Thread(
        target=lambda: answers.append(_call(world, order(world, key="k")))
    )
    first.start()
    assert running.wait(30)
    late = order(world, key="k", deadline_in_s=0.2)
    assert _refusal(world, late).reason is Reason.STILL_RUNNING
    resume.set()
    first.join(30)
    assert _call(world, order(world, key="k")).answer == answers[0].answer
    assert len(world.services.sent) == 1


def test_resend_of_a_lost_owner_ends_unknown_in_bounded_time():
    """The instance that sent an order crashes before it has the answer.

    The resend must neither wait forever nor run the order again.
    """
    world = build_world()
    request = order(world, key="k")
    propose(
        world.state,
        ClaimCall,
        key=ClaimKey(caller="nube", service="shop", key="k"),
        digest=digest_of(request.call),
    )
    started_s = world.clock.monotonic_s()
    refusal = _refusal(world, request)
    assert refusal.outcome is Outcome.UNKNOWN
    assert world.clock.monotonic_s() - started_s <= MAX_WAIT_S
    assert world.services.sent == []


def test_late_answer_of_an_order_is_kept_for_a_resend():
    """A shop answers an order after the caller's deadline.

    The late answer must not be returned as if it were in time.  It must not
    be lost either, since a resend is the caller's way to get the outcome.
    """
    world = build_world()
    resume = threading.Event()
    world.services.script = [lambda: resume.wait(30)]
    late = order(world, key="k", deadline_in_s=0.1)
    refusal = _refusal(world, late)
    assert refusal.reason is Reason.DEADLINE
    assert refusal.outcome is Outcome.UNKNOWN
    resume.set()
    assert world.serving.calls.wait_idle(timeout_s=30)
    assert _call(world, order(world, key="k")).answer.body == b"run 1"
    assert len(world.services.sent) == 1


def test_without_quorum_nothing_is_sent():
    """There is no quorum while an order is claimed.

    If it were sent without a claim, the order could run twice.
    """
    world = build_world()
    propose = world.state.propose

    def fail(command, *, timeout_s):
        if isinstance(command, ClaimCall):
            raise StateUnavailableError("no quorum", proposed=False)
        return propose(command, timeout_s=timeout_s)

    world.state.propose = fail
    refusal = _refusal(world, order(world, key="k"))
    assert refusal.reason is Reason.STATE_UNAVAILABLE
    assert refusal.outcome is Outcome.NOT_RUN
    assert world.services.sent == []


def test_answer_is_given_and_kept_although_the_leader_is_lost():
    """The leader crashes after an order ran, before its answer is stored.

    The caller must get its answer at once, and a resend must get it after a
    new leader is elected.
    """
    world = build_world()
    propose = world.state.propose
    failures = [1, 2]
    stored = threading.Event()

    def fail(command, *, timeout_s):
        if isinstance(command, FinishClaim):
            if failures:
                failures.pop()
                raise StateUnavailableError("no leader", proposed=False)
            result = propose(command, timeout_s=timeout_s)
            stored.set()
            return result
        return propose(command, timeout_s=timeout_s)

    world.state.propose = fail
    assert _call(world, order(world, key="k")).answer.body == b"run 1"
    assert stored.wait(30)
    assert _call(world, order(world, key="k")).answer.body == b"run 1"


def test_claim_of_a_call_that_came_too_late_is_released():
    """The deadline passes while an order is being claimed.

    If the claim were not released, every resend would be refused for a day.
    """
    world = build_world()
    late = order(world, key="k")
    late = replace(late, work=replace(late.work, deadline_s=0.0))
    assert _refusal(world, late).outcome is Outcome.NOT_RUN
    assert world.services.sent == []
    assert _call(world, order(world, key="k")).answer.status == 201


def test_answer_too_large_to_keep_is_not_run_again():
    world = build_world()
    key = "k"
    _call(world, order(world, key=key))
    state = world.state.view()
    claim_key, claim = next(iter(state.claims.items()))
    assert claim.status is ClaimStatus.ANSWERED
    world.state._state = replace(
        state,
        claims=state.claims.set(claim_key, replace(claim, answer=None)),
    )
    refusal = _refusal(world, order(world, key=key))
    assert refusal.reason is Reason.ANSWER_TOO_LARGE
    assert refusal.outcome is Outcome.FAILED
