"""Ports of a single instance, without replication, membership or a disk.

They stand in where a test is about something else.
"""

import threading

from currantdeal.core import FencingNumber, GrantId, ReservationError
from currantdeal.policy import Ask, Ledger, LedgerLimits, LedgerRefusal
from currantdeal.ports import Grant, InstanceProgress
from currantdeal.state import ClusterState, apply_command

FENCE = FencingNumber(1)
USUAL_PREFILL_TOKENS_PER_S = 8_000.0


class LocalState:
    """Implements ``ports.StatePort`` with a log of its own."""

    def __init__(self, *, instance="i1", region="r1"):
        """Start with an empty state and a lease that never ends."""
        self._instance = instance
        self._region = region
        self._state = ClusterState()
        self._lock = threading.Lock()
        self.lease_s = 10.0

    def view(self):
        """Return the state."""
        return self._state

    def lease_remaining_s(self):
        """Return what a test has set."""
        return self.lease_s

    def propose(self, command, *, timeout_s):
        """Apply the command at once."""
        with self._lock:
            self._state, result = apply_command(
                self._state, command, version=self._state.version + 1
            )
        return result

    def wait_in_force(self, version, *, timeout_s):
        """Return 0: there is no other instance."""
        return 0.0

    def progress(self):
        """Return the progress of this instance."""
        return (
            InstanceProgress(
                instance=self._instance,
                region=self._region,
                version=self._state.version,
                lease_remaining_s=self.lease_s,
            ),
        )

    def leader(self):
        """Return this instance."""
        return self._instance


class LocalHomes:
    """Implements ``ports.HomesPort`` with all ledgers in one place.

    Parameters
    ----------
    state : StatePort
        Knows the upstreams' sizes.
    clock : Clock
        Time of the ledgers.
    """

    def __init__(self, *, state, clock, instance="i1"):
        """Start with nothing reserved."""
        self._state = state
        self._clock = clock
        self._instance = instance
        self._ledgers = {}
        self._loads = {}
        self._lock = threading.Lock()

    @property
    def reserved(self):
        """Request ids that hold a grant, by upstream."""
        with self._lock:
            return {
                name: {grant.ask.request_id for grant in ledger.grants}
                for name, ledger in self._ledgers.items()
            }

    def reserve(self, request, *, timeout_s):
        """Return a grant, or raise ``ReservationError``."""
        ask = Ask(
            request_id=request.request_id,
            caller=request.caller,
            entry=request.entry,
            pieces=request.pieces,
            prefill_tokens=request.prefill_tokens,
            kv_bytes=request.kv_bytes,
            hold_s=request.hold_s,
            lead_s=request.lead_s,
        )
        with self._lock:
            ledger = self._ledger(request.upstream_id)
            found = ledger.reserve(ask, now_s=self._clock.monotonic_s())
        if isinstance(found, LedgerRefusal):
            raise ReservationError("full", retry_after_s=found.retry_after_s)
        return Grant(
            grant_id=GrantId(f"{request.upstream_id}/{request.request_id}"),
            request_id=request.request_id,
            upstream_id=request.upstream_id,
            home=self._instance,
            fence=FENCE,
            start_in_s=found.start_in_s,
        )

    def release(self, grant):
        """Give a grant back."""
        with self._lock:
            self._ledger(grant.upstream_id).release(grant.request_id)

    def grow(self, grant, *, pieces):
        """Return whether the grant was enlarged."""
        with self._lock:
            return self._ledger(grant.upstream_id).grow(
                grant.request_id, pieces=pieces
            )

    def load(self, upstream_id):
        """Return the last report."""
        return self._loads.get(upstream_id)

    def report_load(self, report):
        """Take a report in."""
        self._loads[report.upstream_id] = report

    def _ledger(self, upstream_id):
        if upstream_id not in self._ledgers:
            upstream = self._state.view().upstreams[upstream_id].upstream
            self._ledgers[upstream_id] = Ledger(
                limits=LedgerLimits(
                    pieces_total=upstream.pieces_total,
                    prefill_tokens_per_s=USUAL_PREFILL_TOKENS_PER_S,
                    link_bytes_per_s=upstream.link_bytes_per_s,
                )
            )
        return self._ledgers[upstream_id]


class LocalMembers:
    """Implements ``ports.MembersPort`` with one instance.

    Parameters
    ----------
    me : Member
        The instance.
    """

    def __init__(self, *, me):
        """Keep the instance."""
        self._me = me
        self.draining = False

    def members(self):
        """Return the instance, unless it drains."""
        return () if self.draining else (self._me,)

    def set_ready(self):
        """Do nothing: it is ready from the start."""

    def set_draining(self):
        """Leave the list."""
        self.draining = True

    def set_load(self, load):
        """Take no interest."""
