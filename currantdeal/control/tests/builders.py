"""Runs control replicas in one process over a simulated network."""

import asyncio
import random
import zlib

from currantdeal.adapters.disk import DataFolder
from currantdeal.consensus import (
    MESSAGE_CODEC,
    Configuration,
    NodeSettings,
)
from currantdeal.consensus import Replica as Member
from currantdeal.control.deployment_state import SetConfig
from currantdeal.control.errors import NotCommittedError
from currantdeal.control.membership import Membership
from currantdeal.control.replica import Replica
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import JoinCall

FAST = NodeSettings(heartbeat_s=0.03, election_s=0.15)
"""Intervals with which an election takes half a second."""

LIMIT_S = 20.0
"""Timeout of everything that a test does with a group."""


def a_change(version, content=b"config"):
    """Return a command that replaces the configuration."""
    return SetConfig(version=version, packed=zlib.compress(content))


class ReplicaGroup:
    """Replicas and the links between them.

    Parameters
    ----------
    folder : pathlib.Path
        Parent of the replicas' data folders.
    names : iterable of str
        Names of the replicas.
    """

    def __init__(self, *, folder, names):
        """Start no replica before ``start``."""
        self._folder = folder
        self.names = tuple(names)
        self.replicas = {}
        self.memberships = {}
        self.partitioned = set()
        self._tasks = {}

    def start(self, name, *, first=False, sync=None):
        """Start a replica with its data folder."""
        loop = asyncio.get_running_loop()
        options = {"sync": sync} if sync else {}
        replica = Replica(
            local_id=name,
            folder=DataFolder(path=self._folder / name, **options),
            node_settings=FAST,
            random=random.Random(name),
            clock=loop.time,
            send=lambda messages: self._deliver(name, messages),
            on_state=lambda state: None,
        )
        if first:
            members = [Member(instance=n, address=n) for n in self.names]
            replica.bootstrap(Configuration(voters=tuple(members)))
        self.replicas[name] = replica
        self.memberships[name] = Membership(
            local_id=name,
            replica=replica,
            links=lambda to: _MembershipLink(group=self, to=to),
            initial_addresses=lambda: self.names,
            clock=loop.time,
        )
        self._tasks[name] = asyncio.ensure_future(replica.run())
        return replica

    def start_all(self):
        """Start the first replica set."""
        for name in self.names:
            self.start(name, first=True)

    async def stop(self, name):
        """Stop a replica abruptly."""
        task = self._tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.replicas.pop(name)._folder.close()

    async def stop_all(self):
        """Stop all running replicas."""
        for name in tuple(self._tasks):
            await self.stop(name)

    async def leader(self, *, among=None, timeout_s=5.0):
        """Wait for a leader and return its replica."""
        async with asyncio.timeout(timeout_s):
            while True:
                for name, replica in self.replicas.items():
                    wanted = among is None or name in among
                    if wanted and replica.is_leader:
                        return replica
                await asyncio.sleep(0.01)

    async def propose(self, command, *, among=None):
        """Commit a command and return the leader that committed it.

        It is retried at the next leader, because a busy machine may cause an
        election meanwhile.
        """
        while True:
            leader = await self.leader(among=among)
            try:
                await leader.propose(command)
            except NotCommittedError:
                continue
            return leader

    def _deliver(self, sender, messages):
        for message in messages:
            replica = self.replicas.get(message.to)
            if replica is None or {sender, message.to} & self.partitioned:
                continue
            replica.deliver([MESSAGE_CODEC.encode(message)])


def run_group(folder, work, *, names):
    """Return the result of a coroutine that uses a running replica set."""

    async def run():
        group = ReplicaGroup(folder=folder, names=names)
        group.start_all()
        try:
            async with asyncio.timeout(LIMIT_S):
                return await work(group)
        finally:
            await group.stop_all()

    return asyncio.run(run())


class _MembershipLink:
    """The link for an instance's join and leave requests to another one."""

    def __init__(self, *, group, to):
        self._group = group
        self._to = to

    async def call(self, call, *, timeout_s):
        if self._to not in self._group.replicas:
            raise PeerUnreachableError(self._to)
        membership = self._group.memberships[self._to]
        if isinstance(call, JoinCall):
            return await membership.on_join(call)
        return membership.on_leave(call)
