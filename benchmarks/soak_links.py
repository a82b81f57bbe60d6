"""Soaks entries that are cut from some or all upstreams, in every way.

Besides the promises of every soak it is verified that entries which are cut
from all upstreams serve nearly as well as the others.
"""

import asyncio

from benchmarks.soak_node_faults import NodeFaultInjector
from benchmarks.soak_nodes import NodeSoak
from benchmarks.soak_upstreams import SoakUpstream, echo
from currantdeal.testing.cut_upstream import (
    CutUpstream,
    LinkCut,
    SocketOwners,
)

CONTACT_S = 4.0
COMPARED_S = 5.0
MIN_SERVED = 0.9
FLAPS = 4
FLAP_S = (0.3, 2.0)
"""Shortest and longest time for which a link that comes and goes is cut."""


class UnlinkingSoak(NodeSoak):
    """A soak whose upstreams tell apart which entry connects."""

    def _make_upstreams(self):
        owners = SocketOwners(process_ids=self._entry_ids)
        return [
            SoakUpstream(
                name=upstream.name,
                service=upstream.service,
                stage=upstream.stage,
                standin=CutUpstream(
                    upstream=upstream.name,
                    owners=owners,
                    script=None if upstream.stage else echo,
                ),
                proxied=False,
            )
            for upstream in super()._make_upstreams()
        ]

    def cut(self, entries, how, upstreams):
        """Cut entries from upstreams."""
        ids = [entry.process_id for entry in entries]
        for upstream in upstreams:
            upstream.standin.cut(ids, how)
        return ids

    def heal(self, process_ids):
        """Restore the links of processes."""
        for upstream in self.upstreams:
            upstream.standin.heal(process_ids)

    def draw_entries(self):
        """Return some entries, all but one at most."""
        entries = list(self.cluster.entries)
        count = self.rng.randint(1, len(entries) - 1)
        return self.rng.sample(entries, count)

    def _entry_ids(self):
        return [e.process_id for e in self.cluster.entries if e.is_running]

    async def _stop_entry(self):
        await self._compare_cut()
        await super()._stop_entry()

    async def _compare_cut(self):
        entries = self.draw_entries()
        how = self.rng.choice(list(LinkCut))
        ids = self.cut(entries, how, self.upstreams)
        await asyncio.sleep(CONTACT_S)
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(COMPARED_S)
        ended_s = asyncio.get_running_loop().time()
        self.heal(ids)
        # The last answers; then the links are used again.
        await asyncio.sleep(CONTACT_S)
        names = {entry.settings["instance"] for entry in entries}
        there, elsewhere = (
            [
                attempt.status == 200 and attempt.whole
                for attempt in self.attempts
                if began_s <= attempt.began_s < ended_s
                and (attempt.entry in names) is is_cut
            ]
            for is_cut in (True, False)
        )
        if there and elsewhere:
            shares = [sum(found) / len(found) for found in (there, elsewhere)]
            self.check(
                "entries without links serve",
                shares[0] >= MIN_SERVED * shares[1],
                f"{how.value}: {shares[0]:.3f} of {len(there)} at "
                f"{sorted(names)}, {shares[1]:.3f} of {len(elsewhere)} "
                "elsewhere",
            )


class UnlinkingFaultInjector(NodeFaultInjector):
    """Injects the random faults and cuts of entries from upstreams."""

    def __init__(self, *, soak):
        """Add the cuts to the kinds of faults."""
        super().__init__(soak=soak)
        # A proxy between entry and upstream would hide which entry connects.
        others = (k for k in self._kinds if k != self._disturb_upstream)
        self._kinds = (*others, *(self._cut,) * 4, *(self._flap,) * 2)

    def _cut(self):
        how = self._rng.choice(list(LinkCut))
        ids = self._cut_some(how)
        self._undo_later(lambda: self._soak.heal(ids))
        return f"cut-{how.value}"

    def _flap(self):
        how = self._rng.choice(list(LinkCut))
        self._start_task(self._cut_repeatedly(how))
        return f"flap-{how.value}"

    async def _cut_repeatedly(self, how):
        for _ in range(FLAPS):
            ids = self._cut_some(how)
            await asyncio.sleep(self._rng.uniform(*FLAP_S))
            self._soak.heal(ids)
            await asyncio.sleep(self._rng.uniform(*FLAP_S))

    def _cut_some(self, how):
        upstreams = self._soak.upstreams
        if self._rng.random() < 0.5:
            count = self._rng.randint(1, len(upstreams))
            upstreams = self._rng.sample(upstreams, count)
        return self._soak.cut(self._soak.draw_entries(), how, upstreams)
