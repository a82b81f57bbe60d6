"""Graceful shutdown of one instance.

The instance is removed from the list of entries at once.  It serves requests
that still arrive for as long as callers may cache that list, finishes the
requests in flight, hands its homes and its leadership over, and ends.
"""

import threading
import uuid

import structlog

from currantdeal.core import CurrantdealError, StateUnavailableError
from currantdeal.state import Origin, SetDraining

POLL_INTERVAL_S = 0.2
IDLE_WAIT_SLICE_S = 1.0
CLEANUP_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 10.0
CALLS_TIMEOUT_S = 40.0
"""Longest time that a claimed call may run after its caller's deadline."""

PROPOSE_TIMEOUT_S = 2.0
IN_FORCE_TIMEOUT_S = 5.0
"""A little more than two leases, after which every instance has the change."""


_log = structlog.get_logger(__name__)


class Drain:
    """Drains the instance on a stop request, without cutting requests off.

    A stop is requested by ``begin`` or by an operator, whose request is a
    draining flag in the replicated state.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    ports : Ports
        Replicated state, membership and the handovers.
    serving : Serving
        Serving layer whose requests have to finish.
    http : HttpServer
        Server whose listener is closed after that.
    keep_s : float
        Time for which callers may cache the list of entries, in seconds.
    clock : Clock
        Clock for the timestamps of changes.
    """

    def __init__(self, *, instance, ports, serving, http, keep_s, clock):
        """Start without a stop request."""
        self._instance = instance
        self._ports = ports
        self._serving = serving
        self._http = http
        self._keep_s = keep_s
        self._clock = clock
        self._requested = threading.Event()
        self._ended = threading.Event()
        self._stopping = threading.Event()

    @property
    def draining(self):
        """True once the shutdown has begun."""
        return self._requested.is_set()

    def start(self):
        """Wait for a stop request, on two threads."""
        for target in (self._watch, self._drain):
            threading.Thread(target=target, name="drain", daemon=True).start()

    def begin(self):
        """Request the shutdown; return at once."""
        self._requested.set()

    def wait(self):
        """Return once the drain has ended."""
        # Python runs a signal handler in the main thread, which waits here,
        # but the system may deliver the signal to any thread.  Without a
        # timeout this wait would not return for it, and SIGTERM would have
        # no effect until the service manager kills the process.
        while not self._ended.wait(POLL_INTERVAL_S):
            pass

    def stop(self):
        """Stop the threads; ends a drain in progress early."""
        self._stopping.set()

    def _watch(self):
        # The flag of the previous drain is removed before the flag is polled.
        # Otherwise an instance that is started again would drain at once.
        while not self._clear_draining_flag():
            if self._stopping.wait(POLL_INTERVAL_S):
                return
        self._announce_ready()
        while not self._stopping.wait(POLL_INTERVAL_S):
            self._ports.members.set_load(self._serving.in_flight.load)
            if self._instance in self._ports.state.view().draining:
                self.begin()

    def _announce_ready(self):
        while self._ports.state.lease_remaining_s() <= 0:
            if self._stopping.wait(POLL_INTERVAL_S):
                return
        self._ports.members.set_ready()
        if self.draining:
            self._ports.members.set_draining()

    def _clear_draining_flag(self):
        try:
            self._ports.state.propose(
                self._draining_command(draining=False),
                timeout_s=PROPOSE_TIMEOUT_S,
            )
        except StateUnavailableError:
            return False
        return True

    def _draining_command(self, *, draining):
        return SetDraining(
            origin=Origin(
                request_id=f"drain/{uuid.uuid4().hex}",
                actor="drain",
                instance=self._instance,
                wall_s=self._clock.wall_s(),
            ),
            instance=self._instance,
            draining=draining,
        )

    def _drain(self):
        self._requested.wait()
        _log.info("draining", requests=self._serving.in_flight.count)
        self._ports.members.set_draining()
        self._http.end_connections()
        self._set_draining_flag()
        self._stopping.wait(self._keep_s)
        self._finish_requests()
        self._http.stop_accepting()
        # A request that came later would be cut by the end of the process.
        self._http.close_idle()
        self._finish_requests()
        self._serving.calls.wait_idle(timeout_s=CALLS_TIMEOUT_S)
        self._http.wait_quiet(timeout_s=SEND_TIMEOUT_S)
        self._serving.cleaner.wait_idle(timeout_s=CLEANUP_TIMEOUT_S)
        self._hand_over()
        _log.info("drained")
        self._ended.set()

    def _set_draining_flag(self):
        # Other instances list this one as an entry until they have received
        # the change.  If the time for which callers may cache the list were
        # counted from here, callers that received the list last would find
        # the listener closed and their requests reset.
        state = self._ports.state
        try:
            result = state.propose(
                self._draining_command(draining=True),
                timeout_s=PROPOSE_TIMEOUT_S,
            )
            state.wait_in_force(result.version, timeout_s=IN_FORCE_TIMEOUT_S)
        except StateUnavailableError:
            _log.warning("draining flag not confirmed in force everywhere")

    def _finish_requests(self):
        in_flight = self._serving.in_flight
        while not in_flight.wait_idle(timeout_s=IDLE_WAIT_SLICE_S):
            if self._stopping.is_set():
                return

    def _hand_over(self):
        for hand_over in self._ports.hand_over:
            try:
                hand_over()
            except CurrantdealError:
                _log.exception("handover failed; other instances take over")
