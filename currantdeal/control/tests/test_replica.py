import asyncio
import threading
import zlib

import pytest

from currantdeal.consensus import Replica as Member
from currantdeal.control.errors import NotCertainError, NotCommittedError
from currantdeal.control.tests.builders import a_change, run_group


def _run(tmp_path, work):
    return run_group(tmp_path, work, names="abc")


def test_a_change_is_there_after_all_replicas_were_killed(tmp_path):
    """All control processes are killed right after an acknowledgement.

    The operators would read back an older configuration than the one that
    they were told is in force.
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


def test_the_same_number_with_other_content_changes_nothing(tmp_path):
    """Two operators send different changes under one number.

    Whoever is second must not replace what entries already obey.
    """

    async def work(group):
        await group.propose(a_change(7, b"first"))
        await group.propose(a_change(7, b"second"))
        leader = await group.propose(a_change(6, b"older"))
        return await leader.read()

    state = _run(tmp_path, work)
    assert zlib.decompress(state.packed) == b"first"


def test_a_leader_that_is_cut_off_does_not_answer_reads(tmp_path):
    """The leader is cut off and the others elect a new one.

    The old one still takes itself for the leader for a moment; its answer
    would show a change going away that was acknowledged by the other.
    """

    async def work(group):
        old = await group.propose(a_change(1))
        (name,) = [n for n, r in group.replicas.items() if r is old]
        group.cut_off = {name}
        rest = set(group.names) - {name}
        with pytest.raises(NotCertainError):
            await old.read()
        new = await group.propose(a_change(2), among=rest)
        return await new.read()

    assert _run(tmp_path, work).version == 2


def test_a_change_at_a_leader_that_is_cut_off_stays_unclear(tmp_path):
    async def work(group):
        old = await group.leader()
        (name,) = [n for n, r in group.replicas.items() if r is old]
        group.cut_off = {name}
        with pytest.raises(NotCommittedError):
            await old.propose(a_change(1))

    _run(tmp_path, work)


def test_a_replica_without_its_disk_counts_only_after_it_learned(tmp_path):
    """A machine comes back with an empty disk.

    If it voted before it has learned, a replica that missed a change could
    be elected with its help, and the change would be gone.
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


def test_a_disk_that_stands_still_costs_the_leader_its_place(tmp_path):
    """The leader's disk answers nothing for seconds.

    Changes would wait for it as long; the others go on without it.
    """
    stalled = threading.Event()
    go_on = threading.Event()

    def sync(descriptor):
        if stalled.is_set():
            go_on.wait(10.0)

    async def work(group):
        old = await group.leader()
        (name,) = [n for n, r in group.replicas.items() if r is old]
        old._folder._sync = sync
        stalled.set()
        waiting = asyncio.ensure_future(old.propose(a_change(1)))
        rest = set(group.names) - {name}
        new = await group.propose(a_change(2), among=rest)
        go_on.set()
        await asyncio.gather(waiting, return_exceptions=True)
        return await new.read()

    assert _run(tmp_path, work).version == 2
