"""Calls to the leader from any control instance."""

from currantdeal.node.errors import PeerUnreachableError


class LeaderLink:
    """Forwards calls to the current leader.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    links : callable
        Returns the ``PeerLink`` to an address.
    local_id : str
        Peer address of this instance.
    """

    def __init__(self, *, replica, links, local_id):
        """Use the replica and the links of this process."""
        self._replica = replica
        self._links = links
        self._local_id = local_id

    @property
    def address(self):
        """Peer address of the leader; None if it is unknown or local."""
        leader = self._replica.node.leader
        return None if leader == self._local_id else leader

    async def call(self, call, *, timeout_s):
        """Return the leader's answer; None if it is not reached in time."""
        leader = self.address
        if leader is None:
            return None
        try:
            return await self._links(leader).call(call, timeout_s=timeout_s)
        except PeerUnreachableError:
            return None
