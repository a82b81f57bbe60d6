"""Steps of the scenarios, each run against a cluster of real processes."""

import shutil
import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus import Replica
from currantdeal.adapters.peers import PeerPool
from currantdeal.adapters.replication.names import SERVICE_NAME
from currantdeal.adapters.settings import TimingSettings
from currantdeal.testing.caller import CallerClient
from currantdeal.testing.traffic import Received
from currantdeal.testing.verdicts import (
    WITHDRAWAL_S,
    find_interrupted_requests,
    find_refusals,
    find_work_after_withdrawal,
)
from currantdeal.testing.waiting import wait_until
from currantdeal.testing.world import LIMIT_S, World

scenarios("instances.feature", "upstreams.feature")

SHORT_ENTRIES_CACHE = TimingSettings(entries_keep_s=0.5)


@pytest.fixture
def world(tmp_path):
    new_world = World(folder=tmp_path)
    yield new_world
    new_world.close()


@given(parsers.parse("{count:d} instances with callers"))
def _(world, count):
    world.start(count, timing=SHORT_ENTRIES_CACHE)
    world.start_load()


@given(parsers.parse("{count:d} replicas with callers"))
def _(world, count):
    world.start(count, replicas=count)
    world.start_load()


@given(parsers.parse("{count:d} proxied instances with callers"))
def _(world, count):
    world.start(count, proxied=True)
    world.start_load()


@given(parsers.parse("{count:d} instances without load"))
def _(world, count):
    world.start(count, engines=1)


@given(
    parsers.parse(
        "{count:d} proxied instances, of which one hears the upstreams"
    )
)
def _(world, count):
    world.start(count, proxied=True, announce_to=("bizkaia-2",))
    world.start_load(streams=8, pinned=True)


@when(parsers.parse('the home of "{upstream}" is killed'))
def _(world, upstream):
    world.fail(_home_of(world, upstream))


@when("the leader is killed")
def _(world):
    world.fail(world.leader())


@when(parsers.parse('the leader and the home of "{upstream}" are killed'))
def _(world, upstream):
    for name in {world.leader(), _home_of(world, upstream)}:
        world.fail(name)


@when("the leader is cut off silently")
def _(world):
    name = world.leader()
    world.notes["cut off"] = name
    world.failed.add(name)
    world.cluster.isolate(name)


@when(parsers.parse('the region "{region}" is cut off silently'))
def _(world, region):
    for name in world.names():
        if name.startswith(region):
            world.failed.add(name)
    world.cluster.isolate_region(region)


@when("the network is healed")
def _(world):
    world.cluster.heal()
    world.notes["served again"] = set(world.failed)
    world.failed.clear()


@when("a replica loses its disk and is started again")
def _(world):
    name = next(n for n in _followers(world))
    instance = world.cluster.instance(name)
    instance.kill()
    shutil.rmtree(instance.settings.data_folder)
    instance.start()
    world.notes["repaired"] = name
    world.notes["served again"] = {name}


@when("another replica is killed as soon as the first is repaired")
def _(world):
    repaired = world.notes["repaired"]
    world.cluster.wait_ready(repaired, limit_s=LIMIT_S)
    wait_until(
        lambda: _is_repaired(repaired, world),
        what="repaired replica",
        limit_s=LIMIT_S,
    )
    others = [n for n in _followers(world) if n != repaired]
    world.fail(others[0])


@when("an instance is killed")
def _(world):
    name = "bizkaia-2"
    world.notes["restarted"] = name
    world.notes["version"] = world.status(name)["version"]
    world.fail(name)


@when(parsers.parse("operators make {count:d} changes"))
def _(world, count):
    at = world.any_instance()
    version = 0
    for number in range(count):
        answer = world.label(
            "decode-1", f"v{number}", version=version, name="tier", at=at
        )
        assert answer.status == 200, answer.body
        version = answer.json()["version"]
    world.notes["changed"] = version


@when("the instance is started again")
def _(world):
    name = world.notes["restarted"]
    world.failed.discard(name)
    world.cluster.instance(name).start()


@when("each instance is stopped and started in turn")
def _(world):
    world.notes["exits"] = []
    for name, instance in world.cluster.instances.items():
        world.notes["exits"].append(instance.terminate(limit_s=LIMIT_S))
        instance.start()
        world.cluster.wait_ready(name, limit_s=LIMIT_S)
        world.wait_served(5)


@when(parsers.parse('the transfers of "{upstream}" stall'))
def _(world, upstream):
    stand_in = world.cluster.stand_in(upstream)
    stand_in.client.set_faults(stall_transfer=True)


@when(parsers.parse('the transfers of "{upstream}" work again'))
def _(world, upstream):
    stand_in = world.cluster.stand_in(upstream)
    stand_in.client.set_faults(stall_transfer=False)


@when("the instance that hears the upstreams is cut off silently")
def _(world):
    world.cluster.isolate("bizkaia-2")
    world.failed.add("bizkaia-2")


@when(parsers.parse('an operator withdraws "{upstream}" elsewhere'))
def _(world, upstream):
    answer = world.label(upstream, "yes", version=0)
    assert answer.status == 200, answer.body
    world.notes["withdrawn_s"] = time.time()


@when(
    parsers.parse(
        "{count:d} operators apply a selector under one version at once"
    )
)
def _(world, count):
    instances = list(world.cluster.instances.values())
    answers = {}

    def apply(number):
        answers[number] = world.apply(
            "race",
            _selector(number),
            at=instances[number % len(instances)],
            request_id=f"race-{number}",
        )

    threads = [
        threading.Thread(target=apply, args=(number,))
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    world.notes["race"] = answers


@when("an operator's change is accepted")
@then("an operator's change is accepted")
def _(world):
    name = f"change-{len(world.notes.setdefault('changes', []))}"

    def accepted():
        answer = world.apply(name, {"name": name})
        return answer.json()["version"] if answer.status == 200 else None

    version = wait_until(accepted, what="accepted change", limit_s=LIMIT_S)
    world.notes["changes"].append(name)
    world.notes["changed"] = version


@then(parsers.parse('another instance becomes home of "{upstream}"'))
def _(world, upstream):
    wait_until(
        lambda: _home_of(world, upstream) in world.names(),
        what="another home",
        limit_s=LIMIT_S,
    )


@then("another instance leads")
def _(world):
    assert world.leader() not in world.failed


@then("it has no lease and refuses orders as not run")
def _(world):
    name = world.notes["cut off"]
    wait_until(
        lambda: not world.cluster.instance(name).is_ready(),
        what="end of the lease",
        limit_s=LIMIT_S,
    )
    address = world.cluster.instance(name).address
    answer = CallerClient(address=address).order("cut-off", b"cake")
    assert answer.outcome == "not-run", answer.body
    assert "cut-off" not in {run.key for run in world.runs()}


@then("callers are served on")
@then("callers of the others are served on")
def _(world):
    world.wait_served(20)


@then("every instance shows the change")
def _(world):
    for name in world.names():
        wait_until(
            lambda name=name: (
                _version_at(world, name) >= world.notes["changed"]
            ),
            what=f"change at {name}",
            limit_s=LIMIT_S,
        )


@then("it never showed an earlier version")
def _(world):
    assert (
        _version_at(world, world.notes["restarted"]) >= world.notes["version"]
    )


@then("the others take the region's instances for dead")
def _(world):
    wait_until(
        lambda: all(
            _member_status(world, name, other) == "dead"
            for name in world.names()
            for other in world.failed
        ),
        what="dead members",
        limit_s=LIMIT_S,
    )


@then("every instance takes every other for alive")
def _(world):
    names = list(world.cluster.instances)
    wait_until(
        lambda: all(
            _member_status(world, name, other) == "alive"
            for name in names
            for other in names
        ),
        what="living members",
        limit_s=LIMIT_S,
    )


@then("every stop ended with status 0")
def _(world):
    assert set(world.notes["exits"]) == {0}


@then("nothing was cut off or refused")
def _(world):
    sent = world.load.sent
    assert find_interrupted_requests(sent) + find_refusals(sent) == []


@then("every promise was kept")
def _(world):
    world.failed |= world.notes.get("served again", set())
    assert world.find_violations() == []
    assert world.count(Received.WHOLE) > 0


@then("no engine memory stays held")
def _(world):
    world.wait_nothing_held()


@then(parsers.parse('"{upstream}" gets no new work after 3 seconds'))
def _(world, upstream):
    withdrawn_s = world.notes["withdrawn_s"]
    wait_until(
        lambda: time.time() > withdrawn_s + WITHDRAWAL_S,
        what="end of the three seconds",
    )
    world.wait_served(20)
    events = world.cluster.stand_in(upstream).client.events()
    assert find_work_after_withdrawal(events, withdrawn_s=withdrawn_s) == []


@then("one of them wins and the others are told of a conflict")
def _(world):
    statuses = sorted(a.status for a in world.notes["race"].values())
    assert statuses == [200] + [409] * (len(statuses) - 1)


@then("the winner's resend gets the first answer")
def _(world):
    number, first = _winner(world)
    again = world.apply("race", _selector(number), request_id=f"race-{number}")
    assert again.status == 200
    assert again.json()["version"] == first.json()["version"]


@then("every instance shows the winner's selector")
def _(world):
    number, _ = _winner(world)
    for instance in world.cluster.instances.values():
        body = instance.operator("/operator/selectors")
        expressions = {
            one["selector"]["name"]: one["selector"].get("expression")
            for one in body["selectors"]
        }
        assert expressions["race"] == _selector(number)["expression"]


def _selector(number):
    return {"name": "race", "expression": f"team=t{number}"}


def _winner(world):
    return next(
        (number, answer)
        for number, answer in world.notes["race"].items()
        if answer.status == 200
    )


def _home_of(world, upstream):
    body = world.any_instance().operator("/operator/upstreams")
    for one in body["upstreams"]:
        if one["upstream"]["upstream_id"] == upstream and one["home"]:
            return one["home"]["instance"]
    return None


def _version_at(world, name):
    status = world.status(name)
    return status["version"] if status else 0


def _member_status(world, name, other):
    status = world.status(name) or {"members": ()}
    statuses = {m["instance"]: m["status"] for m in status["members"]}
    return statuses.get(other)


def _followers(world):
    leader = world.leader()
    return [
        name
        for name in world.names()
        if name != leader and world.cluster.instance(name).settings.data_folder
    ]


def _is_repaired(name, world):
    pool = PeerPool()
    try:
        answer = pool.call(
            world.cluster.instance(name).settings.peer_address,
            SERVICE_NAME,
            Replica.Client,
            lambda client: client.hello(),
            timeout_s=1.0,
        )
    except PeerError:
        return False
    finally:
        pool.close()
    return not answer.blank
