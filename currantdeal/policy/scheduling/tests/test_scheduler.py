from random import Random

import pytest

from currantdeal.core import Role
from currantdeal.policy import FairQueue, GiveUp, Plan, Pools, Scheduler, Wait
from currantdeal.policy.tests.builders import engine, work

POOLS = Pools(
    prefills=(engine("p1", Role.PREFILL),),
    decodes=(engine("d1"), engine("d2")),
)


@pytest.fixture
def scheduler():
    return Scheduler(
        entry="i1",
        rng=Random(1),
        load=lambda name: None,
        pools=lambda work: POOLS,
    )


def _refuse(scheduler, plan, *, now_s, retry_after_s=0.1):
    scheduler.record_refusal(
        plan,
        plan.choice.decode.upstream_id,
        retry_after_s=retry_after_s,
        now_s=now_s,
    )


def test_plan_reserves_decode_memory_for_prompt_and_output(scheduler):
    scheduler.submit(work(), now_s=0.0)
    (plan,) = scheduler.poll(now_s=0.0)
    assert plan.decode_request.pieces == -(-(800 + plan.output_tokens) // 16)
    assert plan.prefill_request.prefill_tokens == 800


def test_failed_engine_is_excluded_temporarily(scheduler):
    """A dead engine looks idle until its missing reports are noticed.

    Work that is sent there is answered late or not at all.
    """
    scheduler.record_failure("d1", now_s=0.0)
    for number in range(8):
        scheduler.submit(work(f"r{number}", f"c{number}"), now_s=0.0)
    plans = scheduler.poll(now_s=0.0)
    assert {plan.choice.decode.upstream_id for plan in plans} == {"d2"}


def test_refused_work_tries_other_engines_and_then_waits(scheduler):
    scheduler.submit(work(), now_s=0.0)
    (first,) = scheduler.poll(now_s=0.0)
    _refuse(scheduler, first, now_s=0.0)
    (second,) = scheduler.poll(now_s=0.0)
    assert second.choice.decode != first.choice.decode
    _refuse(scheduler, second, now_s=0.0, retry_after_s=0.05)
    (wait,) = scheduler.poll(now_s=0.0)
    assert isinstance(wait, Wait)
    (again,) = scheduler.poll(now_s=wait.delay_s)
    assert again.choice.decode == second.choice.decode


def test_waiting_hot_caller_does_not_delay_other_callers(scheduler):
    """The work of a hot caller waits for a full engine.

    If it took up all dispatches, other callers would be refused
    (head-of-line blocking).
    """
    for number in range(9):
        scheduler.submit(work(f"h{number}", "hot"), now_s=0.0)
    plans = scheduler.poll(now_s=0.0)
    assert len(plans) < 9
    scheduler.submit(work("p1", "polite"), now_s=0.0)
    (polite,) = scheduler.poll(now_s=0.0)
    assert isinstance(polite, Plan) and polite.work.caller == "polite"


def test_work_that_would_miss_its_deadline_is_given_up(scheduler):
    """Engines stay full until a waiting request would miss its deadline.

    If it were started anyway, it would waste a prefill and be answered late.
    """
    scheduler.submit(work(deadline_s=1.0), now_s=0.0)
    (plan,) = scheduler.poll(now_s=0.0)
    _refuse(scheduler, plan, now_s=0.95)
    (message,) = scheduler.poll(now_s=0.95)
    assert isinstance(message, GiveUp)
    assert message.refused.retry_after_s >= 1.0
    assert scheduler.waiting == 0


def test_callers_are_served_in_proportion_to_their_weights():
    """A caller has a higher weight than another one.

    If the scheduler dropped the given queue, which holds the weights, both
    callers would get the same share.
    """
    queue = FairQueue(weights={"gold": 3.0})
    scheduler = Scheduler(
        entry="i1",
        rng=Random(1),
        load=lambda name: None,
        pools=lambda work: POOLS,
        queue=queue,
    )
    for number in range(12):
        for caller in ("gold", "plain"):
            scheduler.submit(work(f"{caller}{number}", caller), now_s=0.0)
    served = [plan.work.caller for plan in scheduler.poll(now_s=0.0)]
    assert served[:6].count("gold") == 4
