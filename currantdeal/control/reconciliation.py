"""Makes the upstreams known here equal to those that others know.

The rule is that of ``currantdeal.registry.convergence``.
"""

import asyncio

import structlog

from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.record_messages import RecordsCall
from currantdeal.registry import (
    AdoptionWindow,
    DigestComparison,
    UpstreamState,
)

FETCH_TIMEOUT_S = 1.0
"""Timeout of fetching all records of another control instance."""

_log = structlog.get_logger(__name__)


class UpstreamReconciler:
    """Compares the registry of a control instance with those of others.

    Parameters
    ----------
    registry : UpstreamRegistry
        Registry of this instance.
    merge : callable
        Merges a record and publishes the change; returns whether it is one.
    links : callable
        Returns the ``PeerLink`` to an address.
    has_leader : callable
        Returns whether this instance is in contact with the leader.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, registry, merge, links, has_leader, clock):
        """Start as an instance that may lack upstreams."""
        self._registry = registry
        self._merge = merge
        self._links = links
        self._has_leader = has_leader
        self._clock = clock
        self._adoption = AdoptionWindow(now_s=clock())
        self._comparisons = {}
        self._tasks = set()

    @property
    def adopts_upstreams(self):
        """Whether this instance may lack upstreams that others know."""
        return self._adoption.is_open(now_s=self._clock())

    def observe_contact(self):
        """Record whether there is contact with the leader now."""
        if self._has_leader():
            self._adoption.observe_contact(now_s=self._clock())

    def observe_digest(self, sender, digest):
        """Fetch the records of an instance whose digest stays different.

        Parameters
        ----------
        digest : int or None
            None from an instance of an earlier build.
        """
        if digest is None:
            return
        comparison = self._comparisons.setdefault(sender, DigestComparison())
        if comparison.observe(
            self._registry.digest, digest, now_s=self._clock()
        ):
            task = asyncio.ensure_future(self._reconcile(sender))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def merge(self, records):
        """Merge what another process knows; returns the changed records.

        An upstream that only the other knows is lost, unless this instance
        may have missed it.
        """
        adopts = self.adopts_upstreams
        return tuple(
            record
            for record in records
            if (
                adopts
                or record.state is UpstreamState.GONE
                or self._registry.get(record.upstream) is not None
            )
            and self._merge(record)
        )

    async def fetch(self, address, *, upstreams_only=False):
        """Return the records of another instance; None without an answer."""
        call = RecordsCall(upstreams_only=upstreams_only)
        try:
            return await self._links(address).call(
                call, timeout_s=FETCH_TIMEOUT_S
            )
        except PeerUnreachableError:
            return None

    async def _reconcile(self, address):
        found = await self.fetch(address, upstreams_only=True)
        if found is not None:
            changed = self.merge(found.upstreams)
            _log.info(
                "upstreams-compared", other=address, changed=len(changed)
            )
