"""Journal and fault switch of the stand-in engine."""

import os
import threading
import time

from currantdeal.testing.engine_messages import (
    EngineEvent,
    EngineFaults,
    Stage,
)

DEATH_STATUS = 9


class Journal:
    """What happened on the engine, oldest first."""

    def __init__(self):
        """Start empty."""
        self._events = []
        self._lock = threading.Lock()

    @property
    def events(self):
        """Everything so far."""
        with self._lock:
            return tuple(self._events)

    def note(self, kind, *, request_id="", tokens=0, fence=0, detail=""):
        """Add an event that happens now."""
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


class FaultSwitch:
    """Holds the faults that are set at present."""

    def __init__(self):
        """Start without faults."""
        self._faults = EngineFaults()

    @property
    def faults(self):
        """Faults that are set."""
        return self._faults

    def set(self, faults):
        """Replace the faults."""
        self._faults = faults

    def maybe_die(self, stage):
        """End the process without a word if a fault says so."""
        if self._faults.die_at is stage and stage is not Stage.NONE:
            os._exit(DEATH_STATUS)
