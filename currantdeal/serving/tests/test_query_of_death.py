"""Tests of requests that crash each upstream that runs them.

Without the quarantine a caller that retries would take down one upstream
after the other.
"""

from dataclasses import replace

import pytest

from currantdeal.core import Outcome, Ran, Role, UpstreamCrashedError
from currantdeal.core.prefixes import BLOCK_BYTES
from currantdeal.serving.errors import Reason, RefusedError
from currantdeal.serving.tests.builders import (
    build_world,
    engine,
    generation,
    order,
    propose,
    shop,
)
from currantdeal.state import AnnounceUpstream

ALLOWED_CRASHES = 3


def _crash_last_upstream(world, sent):
    """Crash the upstream that got the last call; it restarts at once."""
    record = world.state.view().upstreams[sent[-1].upstream_id]
    incarnation = record.upstream.incarnation + 1
    restarted = replace(record.upstream, incarnation=incarnation)
    propose(world.state, AnnounceUpstream, upstream=restarted)
    raise UpstreamCrashedError("ended", ran=Ran.MAYBE)


def _crashes(world, sent, number):
    return [lambda: _crash_last_upstream(world, sent) for _ in range(number)]


def _world(crashes, *, stage=None):
    """Return a world whose upstreams crash during their first calls."""
    names = range(6)
    world = build_world(
        upstreams=[
            *(engine(f"p{n}", Role.PREFILL) for n in names),
            *(engine(f"d{n}", Role.DECODE) for n in names),
            *(shop(f"s{n}") for n in names),
        ]
    )
    sent = world.engines.sent if stage else world.services.sent
    failures = _crashes(world, sent, crashes)
    if stage == "prefill":
        world.engines.prefill_steps = failures
    elif stage == "decode":
        world.engines.decode_scripts = [[failure] for failure in failures]
    else:
        world.services.script = failures
    return world


def _refusals(send, times):
    refusals = []
    for _ in range(times):
        with pytest.raises(RefusedError) as caught:
            send()
        refusals.append((caught.value.reason, caught.value.outcome))
    return refusals


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_call_that_crashes_services_is_not_sent_on(method):
    """A call that crashes services must be quarantined after 3 crashes."""
    world = _world(20)
    request = order(world, method=method)
    refusals = _refusals(lambda: world.serving.calls.call(request), 6)
    assert len(world.services.sent) == ALLOWED_CRASHES
    assert refusals[-1] == (Reason.QUARANTINED, Outcome.NOT_RUN)


@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_prompt_that_crashes_engines_is_not_sent_on(stage):
    """A prompt that crashes engines must be quarantined after 3 crashes."""
    world = _world(20, stage=stage)

    def send():
        try:
            world.serving.generation.complete(generation(world))
        finally:
            world.wait_for_cleanup()

    refusals = _refusals(send, 6)
    assert world.engines.names().count(stage) == ALLOWED_CRASHES
    assert refusals[-1] == (Reason.QUARANTINED, Outcome.NOT_RUN)


def _prompt(world, text, *, caller="nube"):
    request = generation(world)
    work = replace(request.work, caller=caller)
    return replace(request, work=work, prompt=text)


def _block(letter):
    return letter * BLOCK_BYTES


@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_block_of_a_prompt_that_crashes_engines_is_not_sent_on(stage):
    """Guards against different prompts that crash one engine each."""
    world = _world(20, stage=stage)
    bad = _block("a") + _block("b")

    def send(number, prefix=bad):
        prompt = f"{prefix} question {number}"
        try:
            return world.serving.generation.complete(_prompt(world, prompt))
        finally:
            world.wait_for_cleanup()

    for number in range(3):
        with pytest.raises(RefusedError):
            send(number)
    crashes = world.engines.names().count(stage)
    with pytest.raises(RefusedError) as caught:
        send(3)
    assert caught.value.reason is Reason.QUARANTINED
    assert crashes == world.engines.names().count(stage) == ALLOWED_CRASHES
    world.engines.prefill_steps.clear()
    world.engines.decode_scripts.clear()
    assert send(4, _block("a")).text
    assert send(5, _block("c")).text


def test_call_beside_a_crash_is_tried_again_and_cleared():
    """A call must not be refused if its service crashed for other reasons."""
    world = _world(0)
    for _ in range(5):
        world.services.script = _crashes(world, world.services.sent, 1)
        answer = world.serving.calls.call(order(world, method="GET"))
        assert answer.answer.status == 201
