"""Home of one upstream: its ledger of reservations, phase and last report.

A new home does not grant reservations at once.  It waits until the former
home can no longer grant, requests from the reachable entries the reservations
they hold, and reconciles these with the memory that the engine holds.
Without this, memory of the engine could be reserved twice, or stay held for
requests whose entry no longer exists.
"""

from dataclasses import dataclass, replace
from enum import Enum

from currantdeal.core import FencingNumber, GrantId, InstanceId, RequestId
from currantdeal.membership.home_messages import HomeRefusal
from currantdeal.policy import (
    Ledger,
    LedgerLimits,
    LedgerRefusal,
    LedgerRequest,
)
from currantdeal.ports import Grant

PAUSED_RETRY_S = 0.5
MIN_ORPHAN_AGE_S = 0.3
"""Age from which engine memory without a reservation is an orphan.

Younger memory may belong to a request whose release is in transit.
"""


class Phase(str, Enum):
    """Phase of a home, from the takeover to the handover."""

    WAITING = "waiting"
    RECONCILING = "reconciling"
    OPEN = "open"
    HANDED_OVER = "given"


@dataclass(frozen=True, kw_only=True)
class Orphan:
    """Engine memory held for a request without a reservation."""

    request_id: RequestId


class UpstreamHome:
    """State of an upstream whose home is this instance.

    Parameters
    ----------
    upstream : Upstream
        Last announcement of the upstream.
    fence : FencingNumber
        Fencing number under which this instance became the home.
    instance : InstanceId
        This instance.
    output_gap_s : float
        Target for the longest time between two outputs of a stream, in
        seconds.
    now_s : float
        Monotonic time, in seconds.
    """

    def __init__(self, *, upstream, fence, instance, output_gap_s, now_s):
        """Start in phase ``WAITING`` with an empty ledger."""
        self._upstream = upstream
        self._fence = FencingNumber(fence)
        self._instance = InstanceId(instance)
        self._output_gap_s = output_gap_s
        self._phase = Phase.WAITING
        self._paused = False
        self._present = True
        self._last_renewal_s = now_s
        self._load = None
        self._prefill_rate = 0.0
        self._granted_s = {}
        self._ledger = self._new_ledger()

    @property
    def upstream(self):
        """Last announcement of the upstream."""
        return self._upstream

    @property
    def fence(self):
        """Fencing number of this home."""
        return self._fence

    @property
    def phase(self):
        """Phase of the home."""
        return self._phase

    @property
    def load(self):
        """Last load report, or None."""
        return self._load

    @property
    def last_renewal_s(self):
        """Monotonic time of the last renewal by the upstream."""
        return self._last_renewal_s

    @property
    def grants(self):
        """Grants in force, as ``LedgerGrant`` objects."""
        return self._ledger.grants

    @property
    def idle(self):
        """Whether no grant is in force."""
        return not self._ledger.grants

    def set_phase(self, phase):
        """Change to a phase."""
        self._phase = phase

    def pause_reservations(self, paused):
        """Pause or resume granting, for an order that needs an idle engine.

        Parameters
        ----------
        paused : bool
            True to refuse reservations, False to grant them again.
        """
        self._paused = paused

    def apply_record(self, record, now_s):
        """Apply the upstream's record in the replicated state."""
        returned = record.present and not self._present
        self._present = record.present
        if returned:
            self._last_renewal_s = now_s
        if record.upstream == self._upstream:
            return
        restarted = record.upstream.incarnation != self._upstream.incarnation
        self._upstream = record.upstream
        self._last_renewal_s = now_s
        if restarted:
            # A restarted engine holds no memory of its former process.
            self._prefill_rate = 0.0
            self._granted_s = {}
            self._ledger = self._new_ledger()

    def record_report(self, report, now_s):
        """Record a renewal; return whether it was accepted.

        A report of another incarnation than the announced one is ignored.
        """
        if report.incarnation != self._upstream.incarnation:
            return False
        self._last_renewal_s = now_s
        self._load = report
        if report.prefill_tokens_per_s > 0 and not self._prefill_rate:
            self._prefill_rate = report.prefill_tokens_per_s
            self._rebuild_ledger(now_s)
        self._ledger.record_report(
            running=report.running, step_s=report.step_s
        )
        return True

    def reset_timeout(self, now_s):
        """Restart the renewal timeout, after a pause of this process."""
        self._last_renewal_s = now_s

    def reserve(self, request, now_s):
        """Return a ``Grant`` or a ``HomeRefusal``."""
        if self._phase is not Phase.OPEN:
            return HomeRefusal(message="the home is changing", moving=True)
        if self._paused:
            return HomeRefusal(
                message="an order waits for running work to finish",
                retry_after_s=PAUSED_RETRY_S,
            )
        outcome = self._ledger.reserve(_ledger_request(request), now_s=now_s)
        if isinstance(outcome, LedgerRefusal):
            return HomeRefusal(
                message="the upstream is full",
                retry_after_s=outcome.retry_after_s,
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
            start_in_s=outcome.start_in_s,
        )

    def grow(self, request_id, pieces):
        """Add pieces to a grant; return whether they were granted."""
        return self._ledger.grow(request_id, pieces=pieces)

    def release_victim(self):
        """Resolve a deadlock: release one request and return its id, or None.

        When every stream on the engine waits for memory, none of them ends
        and all stop producing output.  The returned request has to be
        cancelled on the engine.
        """
        victim = self._ledger.victim()
        if victim is not None:
            self.release(victim)
        return victim

    def release(self, request_id):
        """Release a grant."""
        self._granted_s.pop(request_id, None)
        self._ledger.release(request_id)

    def restore(self, claimed, now_s):
        """Add a reservation that an entry claims to hold to the ledger."""
        request = replace(
            _ledger_request(claimed.request), pieces=claimed.pieces
        )
        if request.request_id not in self._granted_s:
            self._granted_s[request.request_id] = now_s
            self._ledger.restore(request, now_s=now_s)

    def release_entry(self, entry):
        """Release all grants of an entry and return their request ids."""
        released = self._ledger.release_entry(entry)
        names = [grant.request.request_id for grant in released]
        for name in names:
            self._granted_s.pop(name, None)
        return names

    def granted_before(self, request_id, oldest_s):
        """Return whether a grant was given before a time."""
        return self._granted_s.get(request_id, oldest_s) < oldest_s

    def orphans(self, held):
        """Return the memory in ``held`` that has no reservation.

        Parameters
        ----------
        held : iterable of HeldMemory
            Memory that the engine reports as held.
        """
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
            request = replace(grant.request, pieces=grant.pieces)
            self._ledger.restore(request, now_s=now_s)

    def _new_ledger(self):
        limits = LedgerLimits(
            pieces_total=self._upstream.pieces_total,
            prefill_tokens_per_s=self._prefill_rate,
            link_bytes_per_s=self._upstream.link_bytes_per_s,
            output_gap_s=self._output_gap_s,
        )
        return Ledger(limits=limits)


def _ledger_request(request):
    return LedgerRequest(
        request_id=request.request_id,
        caller=request.caller,
        entry=request.entry,
        pieces=request.pieces,
        prefill_tokens=request.prefill_tokens,
        kv_bytes=request.kv_bytes,
        hold_s=request.hold_s,
        lead_s=request.lead_s,
    )
