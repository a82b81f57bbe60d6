import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from currantdeal.core import Outcome
from currantdeal.testing.engine_messages import EventKind
from currantdeal.testing.errors import HarnessError
from currantdeal.testing.load import (
    BackgroundCallers,
    Result,
    stream_and_verify,
)
from currantdeal.testing.output import expected_output
from currantdeal.testing.tests.scenario_world import (
    ENGINES,
    ScenarioRecord,
    World,
    in_background,
)
from currantdeal.testing.waiting import wait_until

scenarios("features/callers.feature")

LONG_OUTPUT_TOKENS = 1500
KILLED_PROMPT = "a killed request tokens=60 " + "cake " * 200
WITHDRAWAL_S = 3.0


@pytest.fixture(scope="module")
def shared_world(tmp_path_factory):
    world = World(folder=tmp_path_factory.mktemp("callers"))
    yield world
    world.cluster.close()


@pytest.fixture
def world(shared_world):
    yield shared_world
    shared_world.reset()


@pytest.fixture
def record():
    return ScenarioRecord()


@given("a cluster with engines and a shop")
def cluster_is_up(world):
    assert world.held() == []


@when("a caller disconnects in the middle of a long stream")
def disconnect(world):
    stream = world.caller(0).open_stream(
        f"a long answer tokens={LONG_OUTPUT_TOKENS}",
        max_tokens=LONG_OUTPUT_TOKENS,
    )
    stream.read_some(5)
    stream.disconnect()


@when(parsers.parse("the first instance is killed with a request in {stage}"))
def kill_in_stage(world, stage):
    _prolong_stage(world, stage)
    in_background(lambda: _complete_ignoring_errors(world.caller(0)))
    wait_until(
        lambda: _reached_stage(world, stage), what=f"a request in {stage}"
    )
    world.cluster.instance(world.names[0]).kill()


@when(parsers.parse("an engine crashes with a request in {stage}"))
def engine_crashes(world, record, stage):
    name = "p1" if stage in ("prefill", "export") else "d1"
    world.engine(name).set_faults(die_at=stage)
    process = world.cluster.stand_in(name).process
    _stream_until(
        world, record, lambda: not process.running, f"a death in {stage}"
    )


@when("transfers from one engine stall")
def transfers_stall(world, record):
    world.engine("p1").set_faults(stall_transfer=True)
    before = len(_prefill_events(world, "p1"))
    _stream_until(
        world,
        record,
        lambda: (
            len(_prefill_events(world, "p1")) > before
            and record.streams[-1].result is Result.WHOLE
        ),
        "a whole stream after a transfer that stalled",
    )


@when(parsers.parse("every open connection stalls under {count:d} streams"))
def connections_stall(world, record, count):
    def run(number):
        prompt = f"stream {number} tokens=100"
        record.streams.append(
            stream_and_verify(world.caller(number % 3), prompt, 100)
        )

    threads = [in_background(lambda n=n: run(n)) for n in range(count)]
    wait_until(lambda: _decoding_count(world) >= count, what="running streams")
    world.cluster.stall_open_connections()
    for thread in threads:
        thread.join()


@when("an order is sent to two instances at the same time")
def order_twice(world, record):
    world.shop.set_faults(delay_s=0.5)
    record.keys.append("twice")
    _send_orders(world, record, [("twice", 0), ("twice", 1)])


@when("the shop drops the answer to an order")
def answer_is_dropped(world, record):
    world.shop.set_faults(drop_answers=1)
    record.keys.append("lost")
    record.answers.append(world.caller(0).order("lost", b"{}"))


@when("the first instance is killed while the shop runs an order")
def kill_with_order(world, record):
    world.shop.set_faults(delay_s=5.0)
    record.keys.append("killed")
    in_background(lambda: _order_ignoring_errors(world.caller(0)))
    wait_until(lambda: _runs(world, "killed"), what="the order at the shop")
    world.cluster.instance(world.names[0]).kill()


@when(
    parsers.parse(
        "{count:d} callers order at the same time while the shop is slow"
    )
)
def order_concurrently(world, record, count):
    world.shop.set_faults(delay_s=0.3)
    record.keys.extend(f"crossed-{number}" for number in range(count))
    _send_orders(
        world,
        record,
        [(key, number % 3) for number, key in enumerate(record.keys)],
    )


@when("an engine is withdrawn while the first instance is partitioned")
def withdraw_in_a_partition(world, record):
    caller_groups = [
        BackgroundCallers(
            pick_client=lambda i=i: world.caller(i), callers=2, tokens=5
        )
        for i in range(3)
    ]
    for group in caller_groups:
        group.start()
    wait_until(lambda: _prefill_events(world, "p1"), what="work at the engine")
    world.cluster.isolate(world.names[0])
    answer = world.operator(1).withdraw("p1")
    accepted_s = time.time()
    wait_until(
        lambda: time.time() > accepted_s + 2 * WITHDRAWAL_S,
        what="time after the withdrawal",
    )
    late_prefills = [
        event
        for event in world.engine("p1").events()
        if event.kind is EventKind.PREFILL
        and event.wall_s > accepted_s + WITHDRAWAL_S
    ]
    for group in caller_groups:
        record.streams.extend(group.stop())
    world.cluster.heal()
    world.operator(1).restore(
        "p1", expected_version=answer["version"], wait_s=0.0
    )
    record.answers.extend(late_prefills)


@then(parsers.parse("no engine holds memory after {seconds:d} seconds"))
def memory_is_free(world, seconds):
    wait_until(lambda: not world.held(), what="free engines", limit_s=seconds)


@then("no engine has finished the output")
def not_finished(world):
    events = world.engine("d1").events() + world.engine("d2").events()
    assert not [
        event
        for event in events
        if event.kind is EventKind.FINISH
        and event.tokens == LONG_OUTPUT_TOKENS
    ]


@then("another instance serves the same request completely")
def served_elsewhere(world):
    for name in ENGINES:
        world.engine(name).set_faults(stall_transfer=False, slow_factor=1.0)
    answer = wait_until(
        lambda: _complete_answer(world.caller(1), KILLED_PROMPT),
        what="an answer",
    )
    text = answer.json()["choices"][0]["text"]
    assert text == expected_output(KILLED_PROMPT, 60)


@then("every stream is complete")
def streams_are_complete(record):
    incomplete = [
        stream
        for stream in record.streams
        if stream.result is not Result.WHOLE
    ]
    assert not incomplete


@then("both attempts receive the same answer")
def same_answer(record):
    (_, first), (_, second) = record.answers
    assert first.status == 201
    assert first.body == second.body


@then("the caller receives the outcome unknown")
def outcome_unknown(record):
    assert record.answers[0].outcome == "unknown"


@then("a retry at another instance receives the same outcome")
@then("a retry at another instance receives the outcome unknown")
def retry_outcome_unknown(world, record):
    key = record.keys[0]

    def retry():
        answer = world.caller(1).order(key, b"{}")
        return answer if answer.outcome != "not-run" else None

    assert wait_until(retry, what="an outcome").outcome == "unknown"


@then("the order ran once")
@then("each order ran once")
def ran_once(world, record):
    for key in record.keys:
        assert len(_runs(world, key)) == 1


@then("each caller receives the answer to its own order")
def own_answers(record):
    assert len(record.answers) == len(record.keys)
    for key, answer in record.answers:
        assert answer.status == 201
        assert answer.json()["order"] == key


@then(
    parsers.parse("the engine receives no new work after {seconds:d} seconds")
)
def no_new_work(record, seconds):
    assert seconds == WITHDRAWAL_S
    assert record.answers == []


@then("every stream is complete or refused with an outcome")
def complete_or_refused(record):
    failed = [
        stream
        for stream in record.streams
        if not _is_complete_or_refused(stream)
    ]
    assert not failed, "\n".join(
        f"{stream.result}: {stream.detail}" for stream in failed
    )
    assert any(stream.result is Result.WHOLE for stream in record.streams)


def _is_complete_or_refused(stream):
    if stream.result is Result.REFUSED:
        return any(
            f'"outcome":"{outcome.value}"' in stream.detail
            for outcome in Outcome
        )
    return stream.result is Result.WHOLE


def _stream_until(world, record, condition, what):
    def stream():
        number = len(record.streams)
        prompt = f"{what} {number} tokens=30 " + "cake " * 100
        record.streams.append(
            stream_and_verify(world.caller(number % 3), prompt, 30)
        )
        return condition()

    wait_until(stream, what=what)


def _prolong_stage(world, stage):
    for name in ENGINES:
        if stage == "transfer":
            world.engine(name).set_faults(stall_transfer=True)
        elif name.startswith(stage[0]):
            world.engine(name).set_faults(slow_factor=20.0)


def _reached_stage(world, stage):
    if stage == "prefill":
        return _memory_held_by(world, "p1", "p2")
    if stage == "transfer":
        return _memory_held_by(world, "d1", "d2")
    return _decoding_count(world) > 0


def _memory_held_by(world, *names):
    return [memory for name in names for memory in world.engine(name).held()]


def _decoding_count(world):
    started, ended = set(), set()
    for name in ("d1", "d2"):
        for event in world.engine(name).events():
            if event.kind is EventKind.DECODE:
                started.add(event.request_id)
            elif event.kind in (EventKind.FINISH, EventKind.CANCEL):
                ended.add(event.request_id)
    return len(started - ended)


def _prefill_events(world, name):
    events = world.engine(name).events()
    return [event for event in events if event.kind is EventKind.PREFILL]


def _complete_ignoring_errors(caller):
    try:
        caller.complete(KILLED_PROMPT, headers={"X-Deadline-Ms": "30000"})
    except HarnessError:
        return


def _order_ignoring_errors(caller):
    try:
        caller.order("killed", b"{}")
    except HarnessError:
        return


def _complete_answer(caller, prompt):
    answer = caller.complete(prompt)
    return answer if answer.status == 200 else None


def _send_orders(world, record, orders):
    def run(key, index):
        answer = world.caller(index).order(key, key.encode())
        record.answers.append((key, answer))

    threads = [in_background(lambda o=o: run(*o)) for o in orders]
    for thread in threads:
        thread.join()


def _runs(world, key):
    return [run for run in world.shop.runs() if run.key == key]
