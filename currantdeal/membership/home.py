"""One upstream at its home: ledger, phase and what was heard of it.

A home that takes over may not grant at once.  It waits until the former
home can grant no more, asks living entries what they hold, and compares that
with what the engine holds.  Without this the engine's memory would be given
out a second time, or stay held for requests whose entry is gone.
"""

from dataclasses import dataclass, replace
from enum import Enum

from currantdeal.core import FencingNumber, GrantId, InstanceId, RequestId
from currantdeal.membership.home_messages import HomeRefusal
from currantdeal.policy import Ask, Ledger, LedgerLimits, LedgerRefusal
from currantdeal.ports import Grant

CLOSED_RETRY_S = 0.5
MIN_ORPHAN_AGE_S = 0.3
"""Younger memory may belong to a request whose release is on its way."""


class Phase(str, Enum):
    """How far a home has come."""

    WAITING = "waiting"
    RECONCILING = "reconciling"
    OPEN = "open"
    GIVEN = "given"


@dataclass(frozen=True, kw_only=True)
class Orphan:
    """Engine memory that is held for nobody."""

    request_id: RequestId


class UpstreamHome:
    """An upstream whose ledger is kept here.

    Parameters
    ----------
    upstream : Upstream
        As last announced.
    fence : FencingNumber
        Under which this instance became its home.
    instance : InstanceId
        This instance.
    output_gap_s : float
        Longest time between outputs that decoding should keep, in seconds.
    now_s : float
        Monotonic time, in seconds.
    """

    def __init__(self, *, upstream, fence, instance, output_gap_s, now_s):
        """Start with an empty ledger, before reconciliation."""
        self._upstream = upstream
        self._fence = FencingNumber(fence)
        self._instance = InstanceId(instance)
        self._output_gap_s = output_gap_s
        self._phase = Phase.WAITING
        self._closed = False
        self._present = True
        self._heard_s = now_s
        self._load = None
        self._rate = 0.0
        self._granted_s = {}
        self._ledger = self._new_ledger()

    @property
    def upstream(self):
        """The upstream as last announced."""
        return self._upstream

    @property
    def fence(self):
        """Fencing number of this home."""
        return self._fence

    @property
    def phase(self):
        """How far the home has come."""
        return self._phase

    @property
    def load(self):
        """The last load report, or None."""
        return self._load

    @property
    def heard_s(self):
        """Monotonic time of the last renewal."""
        return self._heard_s

    @property
    def grants(self):
        """Grants in force, as the ledger keeps them."""
        return self._ledger.grants

    @property
    def idle(self):
        """True when nothing is granted."""
        return not self._ledger.grants

    def advance(self, phase):
        """Go on to a phase."""
        self._phase = phase

    def close(self, closed):
        """Stop or resume granting, for an order that needs idleness."""
        self._closed = closed

    def follow(self, record, now_s):
        """Take in what the replicated state says of the upstream."""
        returned = record.present and not self._present
        self._present = record.present
        if returned:
            self._heard_s = now_s
        if record.upstream == self._upstream:
            return
        restarted = record.upstream.incarnation != self._upstream.incarnation
        self._upstream = record.upstream
        self._heard_s = now_s
        if restarted:
            # A new process of the engine holds nothing of the former one.
            self._rate = 0.0
            self._granted_s = {}
            self._ledger = self._new_ledger()

    def hear(self, report, now_s):
        """Take in a renewal; return whether it is of this incarnation."""
        if report.incarnation != self._upstream.incarnation:
            return False
        self._heard_s = now_s
        self._load = report
        if report.prefill_tokens_per_s > 0 and not self._rate:
            self._rate = report.prefill_tokens_per_s
            self._rebuild_ledger(now_s)
        self._ledger.hear(running=report.running, step_s=report.step_s)
        return True

    def excuse(self, now_s):
        """Count the upstream as heard now, after a pause of this process."""
        self._heard_s = now_s

    def reserve(self, request, now_s):
        """Return a ``Grant`` or a ``HomeRefusal``."""
        if self._phase is not Phase.OPEN:
            return HomeRefusal(message="the home is changing", moving=True)
        if self._closed:
            return HomeRefusal(
                message="an order waits for running work to finish",
                retry_after_s=CLOSED_RETRY_S,
            )
        given = self._ledger.reserve(_ask_of(request), now_s=now_s)
        if isinstance(given, LedgerRefusal):
            return HomeRefusal(
                message="the upstream is full",
                retry_after_s=given.retry_after_s,
            )
        self._granted_s.setdefault(request.request_id, now_s)
        return Grant(
            grant_id=GrantId(
                f"{self._upstream.upstream_id}/{self._fence}/"
                f"{request.request_id}"
            ),
            request_id=request.request_id,
            upstream_id=self._upstream.upstream_id,
            home=self._instance,
            fence=self._fence,
            start_in_s=given.start_in_s,
        )

    def grow(self, request_id, pieces):
        """Return whether a grant was enlarged."""
        return self._ledger.grow(request_id, pieces=pieces)

    def give_up_victim(self):
        """Release and return the request to cancel so that others go on.

        When every stream on the engine waits for memory none will ever end;
        one would notice by streams that stop together in the middle.
        """
        victim = self._ledger.victim()
        if victim is not None:
            self.release(victim)
        return victim

    def release(self, request_id):
        """Take a grant back."""
        self._granted_s.pop(request_id, None)
        self._ledger.release(request_id)

    def adopt(self, claimed, now_s):
        """Take in what an entry claims to hold."""
        ask = replace(_ask_of(claimed.request), pieces=claimed.pieces)
        if ask.request_id not in self._granted_s:
            self._granted_s[ask.request_id] = now_s
            self._ledger.adopt(ask, now_s=now_s)

    def drop_entry(self, entry):
        """Release all grants of an entry; return their request ids."""
        dropped = self._ledger.drop_entry(entry)
        names = [grant.ask.request_id for grant in dropped]
        for name in names:
            self._granted_s.pop(name, None)
        return names

    def granted_before(self, request_id, oldest_s):
        """Return whether a grant is older than a time."""
        return self._granted_s.get(request_id, oldest_s) < oldest_s

    def orphans(self, held):
        """Return those of the engine's requests that nobody holds."""
        return tuple(
            Orphan(request_id=memory.request_id)
            for memory in held
            if memory.request_id not in self._granted_s
            and memory.age_s >= MIN_ORPHAN_AGE_S
        )

    def _rebuild_ledger(self, now_s):
        grants = self._ledger.grants
        self._ledger = self._new_ledger()
        for grant in grants:
            ask = replace(grant.ask, pieces=grant.pieces)
            self._ledger.adopt(ask, now_s=now_s)

    def _new_ledger(self):
        limits = LedgerLimits(
            pieces_total=self._upstream.pieces_total,
            prefill_tokens_per_s=self._rate,
            link_bytes_per_s=self._upstream.link_bytes_per_s,
            output_gap_s=self._output_gap_s,
        )
        return Ledger(limits=limits)


def _ask_of(request):
    return Ask(
        request_id=request.request_id,
        caller=request.caller,
        entry=request.entry,
        pieces=request.pieces,
        prefill_tokens=request.prefill_tokens,
        kv_bytes=request.kv_bytes,
        hold_s=request.hold_s,
        lead_s=request.lead_s,
    )
