import threading

import pytest

from currantdeal.core import (
    KvExpiredError,
    Outcome,
    Ran,
    Role,
    UpstreamRefusedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from currantdeal.ports import OutputChunk
from currantdeal.serving.errors import (
    CallerDisconnectedError,
    Reason,
    RefusedError,
)
from currantdeal.serving.tests.builders import (
    build_world,
    engine,
    generation,
    withdraw,
)
from currantdeal.testing.fake_upstreams import output

WHOLE = "t0 t1 t2 "


def _silent(ran=Ran.MAYBE):
    return UpstreamTimeoutError("silent", ran=ran)


def _text(stream):
    return "".join(chunk.text for chunk in stream)


def _refusal(world, request):
    with pytest.raises(RefusedError) as caught:
        world.serving.generation.complete(request)
    world.wait_for_cleanup()
    return caught.value


def test_whole_path_frees_everything_at_its_end():
    world = build_world()
    done = world.serving.generation.complete(generation(world))
    assert (done.text, done.finish_reason) == (WHOLE, "stop")
    assert world.engines.names() == ["prefill", "import", "decode"]
    world.wait_for_cleanup()
    assert world.grants_held() == 0


def test_silent_stream_goes_on_where_it_stopped():
    """A connection becomes silent after two outputs.

    Without a resume the caller waits forever; with one that ignores the
    offset it sees outputs twice.
    """
    world = build_world()
    world.engines.decode_scripts = [
        [*output(0, 3)[:2], _silent()],
        [*output(1, 3)[:1], *output(2, 3)],
    ]
    stream = world.serving.generation.open(generation(world))
    assert _text(stream) == WHOLE
    assert [each.offset for each in world.engines.sent[-2:]] == [0, 2]
    assert world.counter("stream_resumes_total") == 1


def test_hole_in_a_stream_is_filled_before_anything_follows():
    """An output is lost on the connection, but the next one arrives.

    The caller must not get an answer with a missing word.
    """
    world = build_world()
    world.engines.decode_scripts = [[OutputChunk(offset=1, text="t1 ")]]
    assert _text(world.serving.generation.open(generation(world))) == WHOLE


def _lost_engine():
    gone = UpstreamRefusedError("unknown-request", ran=Ran.NO)
    return [[*output(0, 3)[:1], _silent()], [gone]]


def test_lost_engine_is_replaced_behind_what_the_caller_has():
    """A decode engine crashes or restarts in the middle of a stream.

    Without failover the caller gets half an answer; with one that does not
    skip the sent part it gets the first half twice.
    """
    world = build_world()
    world.engines.decode_scripts = _lost_engine()
    stream = world.serving.generation.open(generation(world))
    assert _text(stream) == WHOLE
    stream.close()
    world.engines.decode_scripts = _lost_engine()
    done = world.serving.generation.complete(generation(world))
    assert done.text == WHOLE
    world.wait_for_cleanup()
    assert world.grants_held() == 0


def test_end_of_another_answer_is_not_joined_to_the_first():
    """The replacement engine samples and generates a different beginning.

    The caller must not get two halves of different answers.
    """
    world = build_world()
    other = [OutputChunk(offset=at, text="x ") for at in range(3)]
    world.engines.decode_scripts = [*_lost_engine(), other]
    stream = world.serving.generation.open(generation(world))
    with pytest.raises(RefusedError) as caught:
        _text(stream)
    assert caught.value.outcome is Outcome.FAILED
    stream.close()


def test_restart_of_a_stream_is_bounded():
    """Every decode engine crashes, one after the other.

    The caller must get an error; the retries must not continue forever.
    """
    world = build_world()
    world.engines.decode_scripts = _lost_engine() * 9
    stream = world.serving.generation.open(generation(world))
    with pytest.raises(RefusedError):
        _text(stream)
    assert len(world.engines.decode_scripts) == 12


def test_expired_prefill_is_computed_again():
    """The transfer starts late, after the prefill's result has expired.

    The request must not be refused while there is time for another prefill.
    """
    world = build_world()
    world.engines.import_steps = [KvExpiredError("gone", ran=Ran.NO)]
    done = world.serving.generation.complete(generation(world))
    world.wait_for_cleanup()
    assert done.text == WHOLE
    assert world.engines.names() == 2 * ["prefill", "import"] + ["decode"]
    assert world.engines.sent[-1].request_id.endswith(".1")
    assert world.counter("wasted_prefill_tokens_total") == 4
    assert world.grants_held() == 0


def test_nothing_is_sent_without_a_lease():
    """An instance is partitioned from the others for longer than its lease.

    It must not send work to upstreams that may have been withdrawn.
    """
    world = build_world()
    world.state.lease_s = 0.0
    refusal = _refusal(world, generation(world))
    assert refusal.reason is Reason.NO_LEASE
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_s > 0
    assert world.engines.sent == []


def test_lease_that_ends_after_prefill_is_no_not_run():
    """The lease expires between prefill and transfer.

    The outcome must not be "not run", since the prefill ran.
    """
    world = build_world()

    def cut():
        world.state.lease_s = 0.0

    world.engines.prefill_steps = [cut]
    refusal = _refusal(world, generation(world))
    assert world.engines.names() == ["prefill"]
    assert refusal.outcome is Outcome.FAILED
    assert world.grants_held() == 0


def test_upstream_withdrawn_meanwhile_gets_no_work():
    """The operator withdraws the decode engines while a prefill runs.

    No work may reach them after the withdrawal.
    """
    world = build_world()
    world.engines.prefill_steps = [lambda: withdraw(world.state, "d1", "d2")]
    refusal = _refusal(world, generation(world))
    assert world.engines.names() == ["prefill"]
    assert refusal.outcome is not Outcome.NOT_RUN


def test_unknown_outcome_is_not_hidden_by_a_later_refusal():
    """A prefill may have run, and the lease expires before the retry.

    The outcome must cover all attempts: that of the last refusal alone is
    "not run", and so is that of a retry which cannot open a connection.
    """
    world = build_world()

    def fail():
        world.state.lease_s = 0.0
        raise _silent()

    world.engines.prefill_steps = [fail]
    assert _refusal(world, generation(world)).outcome is Outcome.UNKNOWN
    world.state.lease_s = 10.0
    failure = UpstreamUnreachableError("no", ran=Ran.NO)
    world.engines.prefill_steps = [_silent(), failure, failure]
    assert _refusal(world, generation(world)).outcome is Outcome.UNKNOWN


def test_unreachable_engine_is_retried_elsewhere_within_the_budget():
    """No connection can be opened to a prefill engine.

    Without retries the caller is refused although other engines are idle.
    Unlimited retries would be a retry storm: an outage would multiply the
    load on the remaining engines.
    """
    world = build_world()
    failure = UpstreamUnreachableError("no", ran=Ran.NO)
    world.engines.prefill_steps = [failure]
    assert world.serving.generation.complete(generation(world)).text == WHOLE
    world.engines.prefill_steps = [failure] * 9
    refusal = _refusal(world, generation(world))
    assert refusal.outcome is Outcome.NOT_RUN
    assert len(world.engines.prefill_steps) == 6


def test_full_pool_refuses_before_any_prefill():
    """All decode memory is reserved until after the deadline.

    A prefill would be wasted, since its result expires before it is used.
    """
    world = build_world(
        upstreams=[
            engine("p1", Role.PREFILL),
            engine("d1", Role.DECODE, pieces=1),
        ]
    )
    first = world.serving.generation.open(generation(world, tokens=9))
    refusal = _refusal(world, generation(world, deadline_in_s=0.5, tokens=9))
    assert refusal.reason is Reason.OVERLOADED
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_s >= 1.0
    assert world.engines.names().count("prefill") == 1
    first.close()
    world.wait_for_cleanup()
    assert world.grants_held() == 0


def test_late_first_output_is_not_sent():
    """An engine is so slow that the deadline passes.

    The caller must get a refusal rather than an answer it can no longer use.
    """
    world = build_world()
    world.engines.import_steps = [lambda: world.clock.sleep(60.0)]
    refusal = _refusal(world, generation(world))
    assert refusal.reason is Reason.DEADLINE
    assert refusal.outcome is Outcome.FAILED
    assert world.counter("wasted_prefill_tokens_total") == 4
    assert ("d1" in str(world.engines.cancelled)) or (
        "d2" in str(world.engines.cancelled)
    )


def test_caller_who_hangs_up_frees_memory_at_both_engines():
    """A caller disconnects while its prefill runs.

    Without a cancel the engine would continue to compute and hold memory
    for it.
    """
    world = build_world()
    blocked, ended = threading.Event(), threading.Event()
    disconnected = []

    def wait():
        blocked.set()
        ended.wait(30)
        raise UpstreamRefusedError("cancelled", ran=Ran.YES)

    world.engines.prefill_steps = [wait]
    request = generation(world, is_disconnected=lambda: bool(disconnected))
    raised = []

    def serve():
        try:
            world.serving.generation.open(request)
        except CallerDisconnectedError as exc:
            raised.append(exc)

    thread = threading.Thread(target=serve)
    thread.start()
    assert blocked.wait(30)
    disconnected.append(True)
    world.serving.disconnects.check_callers()
    world.wait_for_cleanup()
    assert len(world.engines.cancelled) == 1
    ended.set()
    thread.join(30)
    world.wait_for_cleanup()
    assert len(raised) == 1
    assert world.grants_held() == 0


def test_closed_stream_is_cancelled_once():
    """A caller disconnects in the middle of its answer.

    Without a cancel the decode engine would hold its memory until the last
    output.
    """
    world = build_world()
    stream = world.serving.generation.open(generation(world))
    decode = world.engines.sent[-1]
    stream.close()
    stream.close()
    world.wait_for_cleanup()
    cancelled = [(decode.upstream_id, decode.request_id)]
    assert world.engines.cancelled == cancelled
    assert world.grants_held() == 0
