"""Record the stand-in engine's events and hold its fault settings."""

import os
import threading
import time

from currantdeal.testing.engine_messages import (
    EngineEvent,
    EngineFaults,
    Stage,
)

CRASH_EXIT_STATUS = 9


class Journal:
    """Events of the engine, oldest first."""

    def __init__(self):
        """Create an empty journal."""
        self._events = []
        self._lock = threading.Lock()

    @property
    def events(self):
        """All events so far."""
        with self._lock:
            return tuple(self._events)

    def record(self, kind, *, request_id="", tokens=0, fence=0, detail=""):
        """Append an event with the current time."""
        event = EngineEvent(
            kind=kind,
            wall_s=time.time(),
            request_id=request_id,
            tokens=tokens,
            fence=fence,
            detail=detail,
        )
        with self._lock:
            self._events.append(event)


class FaultInjector:
    """Holds the current fault settings and crashes the process if set."""

    def __init__(self):
        """Start without faults."""
        self._faults = EngineFaults()

    @property
    def faults(self):
        """Current fault settings."""
        return self._faults

    def set(self, faults):
        """Replace the fault settings."""
        self._faults = faults

    def crash_if_set(self, stage):
        """Exit the process at once if ``die_at`` names this stage."""
        if self._faults.die_at is stage and stage is not Stage.NONE:
            os._exit(CRASH_EXIT_STATUS)
