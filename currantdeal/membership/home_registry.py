"""Homes of this instance, and the entries that hold reservations there.

The state machine does no I/O: it receives messages and the time, and returns
answers and the requests to cancel on engines.  An entry renews all its grants
with one heartbeat.  When its heartbeats stop for longer than the lease, or
when it restarts, its grants are released and its requests cancelled.
"""

from dataclasses import dataclass, replace

from currantdeal.core import InstanceId, RequestId, UpstreamId
from currantdeal.membership.grants import digest_of
from currantdeal.membership.home import Phase, UpstreamHome
from currantdeal.membership.home_messages import (
    HeldKey,
    HomeRefusal,
    SyncAnswer,
)
from currantdeal.membership.load_wire import decode_loads, encode_loads

UNLISTED_GRACE_S = 1.0
"""Age from which a grant that its entry does not list is released.

A younger grant may have been given after the entry wrote its list.
"""


@dataclass(frozen=True, kw_only=True)
class Cancel:
    """Request to cancel on the engine of an upstream."""

    upstream_id: UpstreamId
    request_id: RequestId


@dataclass(frozen=True, kw_only=True)
class UnresponsiveUpstream:
    """Upstream whose renewals timed out."""

    upstream_id: UpstreamId
    incarnation: int


@dataclass(frozen=True, kw_only=True)
class _Entry:
    process: int
    last_heartbeat_s: float
    digest_differed: bool = False


@dataclass(frozen=True, kw_only=True)
class HomeTimeouts:
    """Timeouts of a home, in seconds.

    Parameters
    ----------
    entry_timeout_s : float
        Time without a heartbeat after which the requests of an entry are
        cancelled.
    upstream_timeout_s : float
        Time without a renewal after which an upstream is retired.
    max_pause_s : float
        Time between two checks beyond which this process is assumed to
        have been paused.  It may have missed messages during the pause, so
        all timeouts restart.
    """

    entry_timeout_s: float = 2.0
    upstream_timeout_s: float = 2.5
    max_pause_s: float = 1.0


class HomeRegistry:
    """Homes of this instance.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    output_gap_s : float
        Target for the longest time between two outputs of a stream, in
        seconds.
    timeouts : HomeTimeouts
        Timeouts of entries and upstreams.
    now_s : float
        Monotonic time, in seconds.
    """

    def __init__(self, *, instance, output_gap_s, timeouts, now_s):
        """Start without homes."""
        self._instance = InstanceId(instance)
        self._output_gap_s = output_gap_s
        self._timeouts = timeouts
        self._homes = {}
        self._entries = {}
        self._load_number = 0
        self._load_numbers = {}
        self._last_check_s = now_s

    @property
    def fences(self):
        """Fencing numbers by upstream, without homes being handed over.

        If the other instance does not become the home, this one takes it
        over again under a new fencing number, so that a late commit of the
        handover has no effect.
        """
        return {
            name: home.fence
            for name, home in self._homes.items()
            if home.phase is not Phase.HANDED_OVER
        }

    def homes(self, phase=None):
        """Return the homes, or only those in one phase."""
        return tuple(
            home
            for home in self._homes.values()
            if phase is None or home.phase is phase
        )

    def get(self, upstream_id, fence=None):
        """Return a home, or None if it is elsewhere or its fence differs."""
        home = self._homes.get(upstream_id)
        if home is not None and fence not in (None, home.fence):
            return None
        return home

    def add_home(self, upstream, fence, now_s):
        """Create the home of an upstream on this instance."""
        home = UpstreamHome(
            upstream=upstream,
            fence=fence,
            instance=self._instance,
            output_gap_s=self._output_gap_s,
            now_s=now_s,
        )
        self._homes[upstream.upstream_id] = home
        return home

    def apply_state(self, state, now_s):
        """Apply the replicated state.

        Removes homes that were assigned elsewhere, and updates the records
        of the upstreams.
        """
        for name, home in list(self._homes.items()):
            committed = state.homes.get(name)
            if committed is None or committed.fence != home.fence:
                if committed is None or committed.fence > home.fence:
                    del self._homes[name]
                continue
            home.apply_record(state.upstreams[name], now_s)

    def reserve(self, call, now_s):
        """Return a ``Grant`` or ``HomeRefusal``, and requests to cancel."""
        home = self._homes.get(call.request.upstream_id)
        if home is None:
            return HomeRefusal(message="not the home", moving=True), ()
        if not self._is_current_process(call.request.entry, call.process):
            return HomeRefusal(message="the entry has restarted"), ()
        cancels = self._register_entry(call.request.entry, call.process, now_s)
        return home.reserve(call.request, now_s), cancels

    def grow(self, call):
        """Add pieces to a grant.

        Returns
        -------
        tuple of (bool, tuple of Cancel)
            Whether the pieces were granted, and the requests to cancel.
        """
        home = self._homes.get(call.upstream_id)
        if home is None:
            return False, ()
        if home.grow(call.request_id, call.pieces):
            return True, ()
        victim = home.release_victim()
        if victim is None:
            return False, ()
        return False, (_cancel(call.upstream_id, victim),)

    def restore(self, upstream_id, answer, now_s):
        """Add the reservations that an entry claims to the ledger."""
        home = self._homes.get(upstream_id)
        if home is None:
            return
        if not self._is_current_process(answer.entry, answer.process):
            return
        self._register_entry(answer.entry, answer.process, now_s)
        for claimed in answer.claimed:
            home.restore(claimed, now_s)

    def sync(self, heartbeat, now_s):
        """Return the answer to a heartbeat, and the requests to cancel."""
        cancels = self._record_heartbeat(heartbeat, now_s)
        for key in heartbeat.released:
            home = self._homes.get(key.upstream_id)
            if home is not None:
                home.release(key.request_id)
        for report in decode_loads(heartbeat.reports):
            self.record_report(report, now_s)
        lost = ()
        if heartbeat.held is not None:
            lost = self._lost_reservations(heartbeat)
            cancels += self._release_unlisted(heartbeat, now_s)
        answer = SyncAnswer(
            loads=encode_loads(self._loads_after(heartbeat.loads_after)),
            loads_after=self._load_number,
            list_wanted=self._list_wanted(heartbeat),
            lost=lost,
        )
        return answer, cancels

    def record_report(self, report, now_s):
        """Record the load report with which an upstream renews."""
        home = self._homes.get(report.upstream_id)
        before = home.load if home else None
        if (
            home is None
            or not home.record_report(report, now_s)
            or report == before
        ):
            return
        self._load_number += 1
        self._load_numbers[report.upstream_id] = self._load_number

    def reset_timeouts_if_paused(self, now_s, *, has_lease):
        """Restart all timeouts after a pause or without a lease.

        Parameters
        ----------
        has_lease : bool
            False while this instance holds no lease.  It cannot distinguish
            unreachable entries and upstreams from its own isolation then,
            and cancelling would end requests that still run.
        """
        paused = now_s - self._last_check_s > self._timeouts.max_pause_s
        self._last_check_s = now_s
        if has_lease and not paused:
            return
        for name, entry in self._entries.items():
            self._entries[name] = replace(entry, last_heartbeat_s=now_s)
        for home in self._homes.values():
            home.reset_timeout(now_s)

    def expire_entries(self, now_s):
        """Remove entries that timed out; return the requests to cancel."""
        oldest_s = now_s - self._timeouts.entry_timeout_s
        cancels = ()
        for name, entry in list(self._entries.items()):
            if entry.last_heartbeat_s < oldest_s:
                del self._entries[name]
                cancels += self._release_entry(name)
        return cancels

    def unresponsive_upstreams(self, now_s):
        """Return the upstreams that timed out and have to be retired."""
        oldest_s = now_s - self._timeouts.upstream_timeout_s
        return tuple(
            UnresponsiveUpstream(
                upstream_id=home.upstream.upstream_id,
                incarnation=home.upstream.incarnation,
            )
            for home in self.homes(Phase.OPEN)
            if home.last_renewal_s < oldest_s
        )

    def _record_heartbeat(self, heartbeat, now_s):
        if not self._is_current_process(heartbeat.entry, heartbeat.process):
            return ()
        cancels = self._register_entry(
            heartbeat.entry, heartbeat.process, now_s
        )
        current = self._entries[heartbeat.entry]
        self._entries[heartbeat.entry] = replace(
            current, last_heartbeat_s=now_s
        )
        return cancels

    def _is_current_process(self, entry, process):
        current = self._entries.get(entry)
        return current is None or current.process <= process

    def _register_entry(self, entry, process, now_s):
        current = self._entries.get(entry)
        if current is not None and current.process == process:
            return ()
        self._entries[entry] = _Entry(process=process, last_heartbeat_s=now_s)
        # The entry has restarted, so the callers' connections to its former
        # process no longer exist.
        return self._release_entry(entry) if current is not None else ()

    def _list_wanted(self, heartbeat):
        ledger_digest = digest_of(self._reservation_keys(heartbeat.entry))
        digest_differs = ledger_digest != heartbeat.claims
        current = self._entries.get(heartbeat.entry)
        if current is None:
            return False
        self._entries[heartbeat.entry] = replace(
            current, digest_differed=digest_differs
        )
        # Reservations in transit make the digests differ briefly, so only a
        # second difference in a row counts.
        return digest_differs and current.digest_differed

    def _reservation_keys(self, entry):
        return [
            (home.upstream.upstream_id, grant.request.request_id)
            for home in self._homes.values()
            for grant in home.grants
            if grant.request.entry == entry
        ]

    def _lost_reservations(self, heartbeat):
        in_ledger = set(self._reservation_keys(heartbeat.entry))
        return tuple(
            key
            for key in heartbeat.held
            if (key.upstream_id, key.request_id) not in in_ledger
            and self._is_open(key.upstream_id)
        )

    def _is_open(self, upstream_id):
        home = self._homes.get(upstream_id)
        return home is not None and home.phase is Phase.OPEN

    def _release_unlisted(self, heartbeat, now_s):
        listed = set(heartbeat.held)
        cancels = ()
        for upstream_id, request_id in self._reservation_keys(heartbeat.entry):
            key = HeldKey(upstream_id=upstream_id, request_id=request_id)
            home = self._homes[upstream_id]
            if key not in listed and home.granted_before(
                request_id, now_s - UNLISTED_GRACE_S
            ):
                home.release(request_id)
                cancels += (_cancel(upstream_id, request_id),)
        return cancels

    def _release_entry(self, entry):
        return tuple(
            _cancel(home.upstream.upstream_id, request_id)
            for home in self._homes.values()
            for request_id in home.release_entry(entry)
        )

    def _loads_after(self, number):
        if number > self._load_number:
            # The number comes from the former process of this instance.
            number = 0
        return tuple(
            self._homes[name].load
            for name, changed in self._load_numbers.items()
            if changed > number
            and name in self._homes
            and self._homes[name].load is not None
        )


def _cancel(upstream_id, request_id):
    return Cancel(upstream_id=upstream_id, request_id=request_id)
