"""Graceful shutdown of one instance.

The instance leaves the list of entries at once, serves whatever still
arrives for as long as callers may keep the list, finishes what it has begun,
hands over what it keeps for others, and ends.
"""

import threading
import uuid

import structlog

from currantdeal.core import CurrantdealError, StateUnavailableError
from currantdeal.state import Origin, SetDraining

LOOK_S = 0.2
IDLE_SLICE_S = 1.0
CLEAN_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 10.0
CALLS_TIMEOUT_S = 40.0
"""Longest time after its caller's deadline that a claimed call may run on."""

PROPOSE_TIMEOUT_S = 2.0
IN_FORCE_TIMEOUT_S = 5.0
"""A little more than two leases, after which everybody has the mark."""


_log = structlog.get_logger(__name__)


class Drain:
    """Watches for the wish to stop, and stops without cutting anything off.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    ports : Ports
        State, members and what to hand over.
    serving : Serving
        What has to finish.
    http : HttpServer
        Listener to close in the end.
    keep_s : float
        How long callers may keep the list of entries, in seconds.
    clock : Clock
        Dates changes.
    """

    def __init__(self, *, instance, ports, serving, http, keep_s, clock):
        """Wish for nothing."""
        self._instance = instance
        self._ports = ports
        self._serving = serving
        self._http = http
        self._keep_s = keep_s
        self._clock = clock
        self._wanted = threading.Event()
        self._ended = threading.Event()
        self._stopping = threading.Event()

    @property
    def draining(self):
        """True once the shutdown has begun."""
        return self._wanted.is_set()

    def start(self):
        """Watch for the wish on threads of its own."""
        for target in (self._watch, self._run):
            threading.Thread(target=target, name="drain", daemon=True).start()

    def begin(self):
        """Wish for the shutdown; returns at once."""
        self._wanted.set()

    def wait(self):
        """Return once nothing is served any more."""
        # Python runs a signal's handler in the main thread, which waits
        # here, but the system may give the signal to any thread.  Waiting
        # without an end, this one would not wake for it, and SIGTERM would
        # do nothing until the service manager kills the process.
        while not self._ended.wait(LOOK_S):
            pass

    def stop(self):
        """Watch no more."""
        self._stopping.set()

    def _watch(self):
        # An instance that was drained and then started again would drain at
        # once; so the mark of the last time is removed before it is heeded.
        while not self._clear_mark():
            if self._stopping.wait(LOOK_S):
                return
        self._become_ready()
        while not self._stopping.wait(LOOK_S):
            self._ports.members.set_load(self._serving.in_flight.load)
            if self._instance in self._ports.state.view().draining:
                self.begin()

    def _become_ready(self):
        while self._ports.state.lease_remaining_s() <= 0:
            if self._stopping.wait(LOOK_S):
                return
        self._ports.members.set_ready()
        if self.draining:
            self._ports.members.set_draining()

    def _clear_mark(self):
        try:
            self._ports.state.propose(
                self._mark(draining=False), timeout_s=PROPOSE_TIMEOUT_S
            )
        except StateUnavailableError:
            return False
        return True

    def _mark(self, *, draining):
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

    def _run(self):
        self._wanted.wait()
        _log.info("draining", requests=self._serving.in_flight.count)
        self._ports.members.set_draining()
        self._http.end_connections()
        self._leave_entries()
        self._stopping.wait(self._keep_s)
        self._finish_requests()
        self._http.stop_accepting()
        self._finish_requests()
        self._serving.calls.wait_idle(timeout_s=CALLS_TIMEOUT_S)
        self._http.wait_quiet(timeout_s=SEND_TIMEOUT_S)
        self._serving.cleaner.wait_idle(timeout_s=CLEAN_TIMEOUT_S)
        self._hand_over()
        _log.info("drained")
        self._ended.set()

    def _leave_entries(self):
        # Others go on telling callers of this instance until they have
        # heard of the stop.  If the time for which such an answer may be
        # kept were counted from here, callers who were told last would find
        # the listener closed and their requests reset.
        state = self._ports.state
        try:
            result = state.propose(
                self._mark(draining=True), timeout_s=PROPOSE_TIMEOUT_S
            )
            state.wait_in_force(result.version, timeout_s=IN_FORCE_TIMEOUT_S)
        except StateUnavailableError:
            _log.warning("the others may not know of the stop yet")

    def _finish_requests(self):
        in_flight = self._serving.in_flight
        while not in_flight.wait_idle(timeout_s=IDLE_SLICE_S):
            if self._stopping.is_set():
                return

    def _hand_over(self):
        for hand_over in self._ports.hand_over:
            try:
                hand_over()
            except CurrantdealError:
                _log.exception("hand-over failed; others will take over")
