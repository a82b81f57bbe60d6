"""Changes and reads the replicated configuration from any instance.

Changes and reads are forwarded to the leader if this instance is not it.
"""

import asyncio
import zlib

import structlog

from currantdeal.control.deployment_state import SetConfig
from currantdeal.control.errors import NotCertainError, NotCommittedError
from currantdeal.node.messages import ConfigAnswer, ReadConfigCall

PROPOSE_TIMEOUT_S = 2.0
"""Timeout of a change; it covers several elections."""

READ_TIMEOUT_S = 0.9
"""Timeout of a read; callers retry elsewhere after one second."""

_log = structlog.get_logger(__name__)


class ConfigAccess:
    """Access to the configuration by way of the leader.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    leader_link : LeaderLink
        Forwards calls to the leader.
    """

    def __init__(self, *, replica, leader_link):
        """Use the replica of this process."""
        self._replica = replica
        self._leader_link = leader_link

    async def propose(self, call):
        """Return whether a ``ProposeConfigCall`` was committed."""
        if self._replica.is_leader:
            return await self.propose_as_leader(call)
        answer = await self._leader_link.call(
            call, timeout_s=PROPOSE_TIMEOUT_S
        )
        return answer is not None and answer.accepted

    async def propose_as_leader(self, call):
        """Return whether the call was committed, without forwarding it."""
        if call.version <= self._replica.state.version:
            # There is nothing to change, but this replica's state may be
            # outdated.  Only a read that a majority confirms may be
            # acknowledged.
            answer = await self.read_as_leader()
            if not answer.certain:
                return False
            if call.version <= answer.version:
                return True
        command = SetConfig(
            version=call.version, packed=zlib.compress(call.raw)
        )
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                await self._replica.propose(command)
        except (NotCommittedError, TimeoutError) as exc:
            _log.info("config-unclear", version=call.version, why=repr(exc))
            return False
        return True

    async def read(self):
        """Return the newest configuration as a ``ConfigAnswer``."""
        if self._replica.is_leader:
            return await self.read_as_leader()
        answer = await self._leader_link.call(
            ReadConfigCall(), timeout_s=READ_TIMEOUT_S
        )
        return answer or ConfigAnswer(certain=False)

    async def read_as_leader(self):
        """Return the newest configuration, without forwarding the read.

        The answer is not certain if this instance is not the leader.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                state = await self._replica.read()
        except (NotCertainError, TimeoutError):
            return ConfigAnswer(certain=False)
        raw = zlib.decompress(state.packed) if state.version else b""
        return ConfigAnswer(certain=True, version=state.version, raw=raw)
