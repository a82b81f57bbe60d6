import asyncio
import time

import pytest

from currantdeal.control.membership import LEAVE_TIMEOUT_S
from currantdeal.control.tests.builders import run_group

TRIO = ("a", "b", "c")


def _run(tmp_path, work):
    return run_group(tmp_path, work, names=TRIO)


async def _until(condition):
    while not condition():
        await asyncio.sleep(0.02)


async def _start_learner(group, name):
    """Start one more instance and wait until it is a learner with state."""
    group.start(name)
    leader = await group.leader()
    while leader.node.configuration.learner_names != (name,):
        await group.memberships[name].join_if_needed()
        await asyncio.sleep(0.05)
    await _until(lambda: not group.replicas[name].node.blank)
    return leader


async def _a_follower(group):
    leader = await group.leader()
    return next(n for n in TRIO if group.replicas[n] is not leader)


async def _leave(group, name, leader):
    """Have an instance leave, with retries in case the machine is slow."""
    while name in leader.node.configuration.voter_names:
        await group.memberships[name].leave()
        await asyncio.sleep(0.02)


def test_a_stopping_voter_is_replaced_before_it_exits(tmp_path):
    """A control instance is stopped while a learner is available.

    If it exited as a voter, the others would not tolerate another failure
    until its silence had been detected.
    """

    async def work(group):
        leader = await _start_learner(group, "d")
        stopping = await _a_follower(group)
        await _leave(group, stopping, leader)
        return stopping, leader.node.configuration

    stopping, configuration = _run(tmp_path, work)
    left = {*TRIO, "d"} - {stopping}
    assert set(configuration.voter_names) == left
    assert configuration.learner_names == ()


@pytest.mark.parametrize("leads", [False, True])
def test_one_of_three_voters_stops_without_waiting(tmp_path, leads):
    """Operators restart one of three control instances.

    It returns a moment later.  Its stop must not be delayed by leave requests
    that cannot be granted without a learner.
    """

    async def work(group):
        leader = await group.leader()
        name = await _a_follower(group)
        if leads:
            name = next(n for n in TRIO if group.replicas[n] is leader)
        began_s = time.monotonic()
        await group.memberships[name].leave()
        return time.monotonic() - began_s, leader.node.configuration

    took_s, configuration = _run(tmp_path, work)
    assert took_s < LEAVE_TIMEOUT_S / 2
    assert configuration.voter_names == TRIO


def test_an_instance_that_left_does_not_rejoin_before_it_exits(tmp_path):
    """Guards against a stopping instance that joins again.

    It would exit a second later and remain in the set as a failed member.
    """

    async def work(group):
        leader = await _start_learner(group, "d")
        stopping = await _a_follower(group)
        await _leave(group, stopping, leader)
        for _ in range(5):
            await group.memberships[stopping].join_if_needed()
            await asyncio.sleep(0.1)
        return stopping, leader.node.configuration

    stopping, configuration = _run(tmp_path, work)
    names = configuration.voter_names + configuration.learner_names
    assert stopping not in names
