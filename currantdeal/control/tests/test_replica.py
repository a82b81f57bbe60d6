import asyncio
import os
import random
import threading
import time
import zlib

import pytest
from structlog.testing import capture_logs

from currantdeal.adapters.disk import DataFolder
from currantdeal.consensus import (
    MESSAGE_CODEC,
    AppendAnswer,
    AppendRequest,
    Configuration,
    VoteRequest,
)
from currantdeal.consensus import Replica as Member
from currantdeal.control.confirmation import ViewConfirmation
from currantdeal.control.deployment_state import DeploymentState
from currantdeal.control.errors import NotCertainError, NotCommittedError
from currantdeal.control.replica import Replica
from currantdeal.control.tests.builders import FAST, a_change, run_group
from currantdeal.node.organisation_messages import ConfirmCall


def _run(tmp_path, work):
    return run_group(tmp_path, work, names="abc")


def test_a_committed_change_survives_a_kill_of_all_replicas(tmp_path):
    """All control processes are killed right after an acknowledgement.

    If the change were lost, operators would read back an older configuration
    than the acknowledged one.
    """

    async def work(group):
        await group.propose(a_change(7, b"newest"))
        for name in group.names:
            await group.stop(name)
        for name in group.names:
            group.start(name)
        return await (await group.leader()).read()

    state = _run(tmp_path, work)
    assert state.version == 7
    assert zlib.decompress(state.packed) == b"newest"


def test_other_content_under_the_same_version_is_ignored(tmp_path):
    """Two operators send different configurations under one version.

    The second one must not replace the one that entries already use.
    """

    async def work(group):
        await group.propose(a_change(7, b"first"))
        await group.propose(a_change(7, b"second"))
        leader = await group.propose(a_change(6, b"older"))
        return await leader.read()

    state = _run(tmp_path, work)
    assert zlib.decompress(state.packed) == b"first"


def test_a_partitioned_leader_does_not_answer_reads(tmp_path):
    """The leader is partitioned and the others elect a new one.

    The old one remains leader in its own view for a moment.  Its answer would
    lack a change that the new one has acknowledged.
    """

    async def work(group):
        old = await group.propose(a_change(1))
        (name,) = [n for n, r in group.replicas.items() if r is old]
        group.partitioned = {name}
        rest = set(group.names) - {name}
        with pytest.raises(NotCertainError):
            await old.read()
        new = await group.propose(a_change(2), among=rest)
        return await new.read()

    assert _run(tmp_path, work).version == 2


def test_the_outcome_of_a_change_at_a_partitioned_leader_is_unknown(tmp_path):
    async def work(group):
        old = await group.leader()
        (name,) = [n for n, r in group.replicas.items() if r is old]
        group.partitioned = {name}
        with pytest.raises(NotCommittedError):
            await old.propose(a_change(1))

    _run(tmp_path, work)


def test_a_replica_that_lost_its_disk_votes_only_after_catching_up(tmp_path):
    """A machine returns with an empty disk.

    If it voted before it has caught up, a replica that lacks a change could
    be elected with its vote, and the change would be lost.
    """

    async def work(group):
        leader = await group.propose(a_change(3))
        lost = [n for n, r in group.replicas.items() if r is not leader][0]
        await group.stop(lost)
        for path in (tmp_path / lost).iterdir():
            path.unlink()
        back = group.start(lost)
        await asyncio.sleep(0.3)
        blank = back.node.blank
        while lost not in leader.node.configuration.voter_names or (
            back.state.version != 3
        ):
            leader.change(
                lambda node: node.join(
                    Member(instance=lost, address=lost),
                    blank=back.node.blank,
                    now_s=asyncio.get_running_loop().time(),
                )
            )
            await asyncio.sleep(0.05)
        return blank

    assert _run(tmp_path, work) is True


def test_a_leader_with_a_stalled_disk_is_replaced(tmp_path):
    """The leader's disk stalls for seconds.

    Changes would be blocked as long, so the others elect a new leader.
    """
    stalled = threading.Event()
    resume = threading.Event()

    def sync(descriptor):
        if stalled.is_set():
            resume.wait(10.0)

    async def work(group):
        old = await group.leader()
        (name,) = [n for n, r in group.replicas.items() if r is old]
        old._folder._sync = sync
        stalled.set()
        waiting = asyncio.ensure_future(old.propose(a_change(1)))
        rest = set(group.names) - {name}
        new = await group.propose(a_change(2), among=rest)
        resume.set()
        await asyncio.gather(waiting, return_exceptions=True)
        return await new.read()

    assert _run(tmp_path, work).version == 2


def test_a_leader_without_the_entries_of_earlier_terms_is_not_caught_up(
    tmp_path,
):
    """Guards against the confirmation of a configuration that was replaced.

    A new leader is about to apply what was acknowledged before its election,
    and waits for its disk first.
    """

    async def work(group):
        leader = await group.propose(a_change(1))
        assert leader.is_caught_up_leader
        leader.state = DeploymentState()
        return leader.is_leader, leader.is_caught_up_leader

    assert _run(tmp_path, work) == (True, False)


def test_leader_whose_messages_wait_is_not_silent(tmp_path):
    """Guards against an election because this replica was held up."""
    sent = []
    now_s = 0.0

    async def run():
        nonlocal now_s
        voters = tuple(Member(instance=n, address=n) for n in "abc")
        replica = Replica(
            local_id="a",
            folder=DataFolder(path=tmp_path / "a"),
            node_settings=FAST,
            random=random.Random(1),
            clock=lambda: now_s,
            send=sent.extend,
            on_state=lambda state: None,
        )
        replica.bootstrap(Configuration(voters=voters))
        running = asyncio.ensure_future(replica.run())
        for _ in range(3):
            replica.deliver([MESSAGE_CODEC.encode(_heartbeat(now_s))])
            await asyncio.sleep(0.1)
            now_s += 10.0 * FAST.election_s
        running.cancel()

    asyncio.run(run())
    assert not [m for m in sent if isinstance(m, VoteRequest)]
    assert [m for m in sent if isinstance(m, AppendAnswer)]


def test_leader_held_up_by_its_disk_confirms_no_newest_version(tmp_path):
    """Guards against keys that only a replaced leader does not know."""
    release = threading.Event()

    async def work(group):
        old = await group.leader()
        await old.propose(a_change(1))
        save = old._folder.save
        old._folder.save = lambda writes: release.wait() and save(writes)
        lost = asyncio.ensure_future(old.propose(a_change(2)))
        try:
            others = [r for r in group.replicas.values() if r is not old]
            while not any(r.is_leader for r in others):
                await asyncio.sleep(0.02)
            new = next(r for r in others if r.is_leader)
            await new.propose(a_change(3))
            confirmation = ViewConfirmation(
                replica=old,
                leader_link=None,
                supports=lambda address: True,
                clock=asyncio.get_running_loop().time,
            )
            return await confirmation.answer(ConfirmCall(fresh=True))
        finally:
            release.set()
            lost.cancel()

    answer = _run(tmp_path, work)
    assert answer.version < 3
    assert not answer.fresh


def _heartbeat(now_s):
    return AppendRequest(
        term=1,
        sender="b",
        to="a",
        previous_index=0,
        previous_term=0,
        commit=0,
        sent_s=now_s,
    )


def test_a_slow_disk_write_is_logged(tmp_path):
    """Guards against a replica that takes no part, and no line says why."""

    def sync_slowly(descriptor):
        time.sleep(1.1)
        os.fsync(descriptor)

    async def work(group):
        await group.stop("a")
        group.start("a", sync=sync_slowly)
        while not any(line["event"] == "disk-slow" for line in lines):
            await group.propose(a_change(7))
            await asyncio.sleep(0.05)

    with capture_logs() as lines:
        _run(tmp_path, work)
    (slow, *_) = [line for line in lines if line["event"] == "disk-slow"]
    assert slow["took"] > 1.0
