"""Changing and reading the replicated configuration, from any instance."""

import asyncio
import zlib

import structlog

from currantdeal.control.deployment_state import SetConfig
from currantdeal.control.errors import NotCertainError, NotCommittedError
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import ConfigAnswer, ReadConfigCall

PROPOSE_TIMEOUT_S = 2.0
"""Time for a change to be committed: several elections."""

READ_TIMEOUT_S = 0.9
"""Time for a read; callers wait one second before they ask elsewhere."""

_log = structlog.get_logger(__name__)


class ConfigAccess:
    """Reaches the leader for a change or a read.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    links : callable
        Returns the ``PeerLink`` to an address.
    me : str
        Peer address of this instance.
    """

    def __init__(self, *, replica, links, me):
        """Keep the parts."""
        self._replica = replica
        self._links = links
        self._me = me

    async def propose(self, call):
        """Return whether a ``ProposeConfigCall`` was committed."""
        if self._replica.leads:
            return await self.propose_here(call)
        answer = await self._ask_leader(call, PROPOSE_TIMEOUT_S)
        return answer is not None and answer.accepted

    async def propose_here(self, call):
        """Return the same, if this instance leads."""
        if call.version <= self._replica.state.version:
            # Nothing to change, but the acknowledgement must rest on what a
            # majority holds, not on what this instance once saw.
            answer = await self.read_here()
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
        if self._replica.leads:
            return await self.read_here()
        answer = await self._ask_leader(ReadConfigCall(), READ_TIMEOUT_S)
        return answer or ConfigAnswer(certain=False)

    async def read_here(self):
        """Return the same, if this instance leads."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                state = await self._replica.read()
        except (NotCertainError, TimeoutError):
            return ConfigAnswer(certain=False)
        raw = zlib.decompress(state.packed) if state.version else b""
        return ConfigAnswer(certain=True, version=state.version, raw=raw)

    async def _ask_leader(self, call, timeout_s):
        leader = self._replica.node.leader
        if leader is None or leader == self._me:
            return None
        try:
            return await self._links(leader).call(call, timeout_s=timeout_s)
        except PeerUnreachableError:
            return None
