"""Implement the ports of a single instance for tests.

There is no replication, membership or disk. Tests use these ports when they
cover something else.
"""

import threading

from currantdeal.core import FencingNumber, GrantId, ReservationError
from currantdeal.policy import (
    Ledger,
    LedgerLimits,
    LedgerRefusal,
    LedgerRequest,
)
from currantdeal.ports import Grant, InstanceProgress
from currantdeal.state import ClusterState, apply_command

FENCE = FencingNumber(1)
DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0


class LocalState:
    """Implements ``ports.StatePort`` by applying commands locally."""

    def __init__(self, *, instance="i1", region="r1"):
        """Create an empty state and a lease of constant remaining time."""
        self._instance = instance
        self._region = region
        self._state = ClusterState()
        self._lock = threading.Lock()
        self.lease_s = 10.0

    def view(self):
        """Return the state."""
        return self._state

    def lease_remaining_s(self):
        """Return ``lease_s``, which tests can set."""
        return self.lease_s

    def propose(self, command, *, timeout_s):
        """Apply the command at once."""
        with self._lock:
            self._state, result = apply_command(
                self._state, command, version=self._state.version + 1
            )
        return result

    def wait_in_force(self, version, *, timeout_s):
        """Return 0, as there is no other instance to wait for."""
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
    """Implements ``ports.HomesPort`` with all ledgers in this process.

    Parameters
    ----------
    state : StatePort
        Source of the upstreams' sizes.
    clock : Clock
        Clock of the ledgers.
    """

    def __init__(self, *, state, clock, instance="i1"):
        """Create homes without reservations."""
        self._state = state
        self._clock = clock
        self._instance = instance
        self._ledgers = {}
        self._loads = {}
        self._lock = threading.Lock()

    @property
    def reserved(self):
        """Ids of the requests that hold a grant, by upstream."""
        with self._lock:
            return {
                name: {grant.request.request_id for grant in ledger.grants}
                for name, ledger in self._ledgers.items()
            }

    def reserve(self, request, *, timeout_s):
        """Return a grant, or raise ``ReservationError``."""
        ledger_request = LedgerRequest(
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
            reservation = ledger.reserve(
                ledger_request, now_s=self._clock.monotonic_s()
            )
        if isinstance(reservation, LedgerRefusal):
            raise ReservationError(
                "full", retry_after_s=reservation.retry_after_s
            )
        return Grant(
            grant_id=GrantId(f"{request.upstream_id}/{request.request_id}"),
            request_id=request.request_id,
            upstream_id=request.upstream_id,
            home=self._instance,
            fence=FENCE,
            start_in_s=reservation.start_in_s,
        )

    def release(self, grant):
        """Release a grant."""
        with self._lock:
            self._ledger(grant.upstream_id).release(grant.request_id)

    def grow(self, grant, *, pieces):
        """Return whether the grant was enlarged."""
        with self._lock:
            return self._ledger(grant.upstream_id).grow(
                grant.request_id, pieces=pieces
            )

    def load(self, upstream_id):
        """Return the last load report, or None."""
        return self._loads.get(upstream_id)

    def report_load(self, report):
        """Store a load report."""
        self._loads[report.upstream_id] = report

    def _ledger(self, upstream_id):
        if upstream_id not in self._ledgers:
            upstream = self._state.view().upstreams[upstream_id].upstream
            self._ledgers[upstream_id] = Ledger(
                limits=LedgerLimits(
                    pieces_total=upstream.pieces_total,
                    prefill_tokens_per_s=DEFAULT_PREFILL_TOKENS_PER_S,
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
        """Return the instance, or nothing while it drains."""
        return () if self.draining else (self._me,)

    def set_ready(self):
        """Do nothing, as the instance is ready from the start."""

    def set_draining(self):
        """Remove the instance from the list of members."""
        self.draining = True

    def set_load(self, load):
        """Ignore the load, which nothing reads."""
