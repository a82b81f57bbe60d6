"""Records when engines last sent output to any run of this entry."""

import math

from currantdeal.policy.health.silence_scope import (
    EngineOutput,
    EntryFacts,
    Pause,
)
from currantdeal.registry import Stage

TICK_S = 0.25
"""Interval of the timer that finds out when this process stood still."""

MAX_IDLE = 64
"""Engines without a run whose last output is remembered."""


class _LastPause:
    """The last long pause, remembered for as long as it lasted."""

    def __init__(self):
        """Start without one."""
        self._length_s = 0.0
        self._ended_s = -math.inf

    def record(self, length_s, *, now_s):
        """Record a pause that ends now."""
        pause = self.at(now_s, length_s)
        self._length_s = pause.length_s
        self._ended_s = now_s - pause.ended_s

    def at(self, now_s, length_s=0.0):
        """Return the ``Pause``, if one of some length ends now."""
        known = Pause(length_s=self._length_s, ended_s=now_s - self._ended_s)
        is_forgotten = known.ended_s >= known.length_s
        if length_s > 0.0 and (length_s >= known.length_s or is_forgotten):
            return Pause(length_s=length_s, ended_s=0.0)
        return known


class _Engine:
    """Output of one process of an engine at one stage."""

    def __init__(self, record):
        """Start without runs."""
        self.started_ms = record.started_ms
        self.in_progress = 0
        self._record = record
        self._awaiting = 0
        self._awaited_s = 0.0
        self._output_s = -math.inf
        self._pause = _LastPause()
        self._gap_target_s = 0.0

    def begin(self, gap_target_s):
        """Record the beginning of a run."""
        self.in_progress += 1
        self._gap_target_s = max(self._gap_target_s, gap_target_s)

    def end(self):
        """Record the end of a run."""
        self.in_progress -= 1
        if not self.in_progress:
            self._gap_target_s = 0.0

    def wait(self, now_s):
        """Count a run that awaits output."""
        if not self._awaiting:
            self._awaited_s = now_s
        self._awaiting += 1

    def stop_waiting(self):
        """Count a run that awaits output no longer."""
        self._awaiting -= 1

    def record_output(self, now_s):
        """Record output of any run."""
        if self._awaiting:
            self._pause.record(self._silence_s(now_s), now_s=now_s)
        self._output_s = now_s

    def at(self, now_s):
        """Return the ``EngineOutput``."""
        return EngineOutput(
            upstream=self._record.upstream,
            data_center=self._record.data_center,
            runs=self._awaiting,
            silence_s=self._silence_s(now_s) if self._awaiting else 0.0,
            spoke_s=now_s - self._output_s,
            pause=self._pause.at(now_s),
            gap_target_s=self._gap_target_s,
        )

    def _silence_s(self, now_s):
        return now_s - max(self._output_s, self._awaited_s)


class RunContact:
    """One run, of which output is awaited from its beginning on.

    Parameters
    ----------
    engine : _Engine
        Where it runs.
    clock : callable
        Returns monotonic seconds.
    counts_first : bool
        Whether the wait for the first output counts as silence of the engine.
    on_end : callable
        Called once, at its end.
    """

    def __init__(self, *, engine, clock, counts_first, on_end):
        """Start with a wait for the first output."""
        self._engine = engine
        self._clock = clock
        self._is_counted = counts_first
        self._is_awaiting = False
        self._on_end = on_end
        self.awaits()

    def awaits(self):
        """Record that output is awaited from now on, if it is not yet."""
        if self._is_awaiting or self._on_end is None:
            return
        self._is_awaiting = True
        if self._is_counted:
            self._engine.wait(self._clock())

    def received(self):
        """Record output; no more is awaited before ``awaits``."""
        self._engine.record_output(self._clock())
        self._stop_waiting()
        self._is_counted = True

    def ended(self):
        """Record the end of the run; further calls do nothing."""
        if self._on_end is None:
            return
        self._stop_waiting()
        on_end, self._on_end = self._on_end, None
        on_end()

    def _stop_waiting(self):
        if self._is_awaiting and self._is_counted:
            self._engine.stop_waiting()
        self._is_awaiting = False


class _OwnPauses:
    """Finds out when the process stood still, by a timer that is late.

    It runs only while it is wanted, so that an idle entry is not woken.
    """

    def __init__(self, *, clock, call_later, is_wanted):
        """Start without a timer."""
        self._clock = clock
        self._call_later = call_later
        self._is_wanted = is_wanted
        self._due_s = None
        self._pause = _LastPause()

    def start(self):
        """Start the timer unless it runs."""
        if self._due_s is None:
            self._due_s = self._clock() + TICK_S
            self._call_later(TICK_S, self._tick)

    def at(self, now_s):
        """Return the ``Pause``; the timer itself may not have run since."""
        late_s = 0.0 if self._due_s is None else now_s - self._due_s
        return self._pause.at(now_s, late_s)

    def _tick(self):
        now_s = self._clock()
        self._pause.record(now_s - self._due_s, now_s=now_s)
        self._due_s = None
        if self._is_wanted():
            self.start()


class RunContacts:
    """Output of the engines of one entry, and pauses of its own.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    call_later : callable
        Calls a function after some seconds.
    """

    def __init__(self, *, clock, call_later):
        """Start without runs."""
        self._clock = clock
        self._engines = {Stage.DECODE: {}, Stage.PREFILL: {}}
        self._idle = {}
        self._in_progress = 0
        self._own_pauses = _OwnPauses(
            clock=clock,
            call_later=call_later,
            is_wanted=lambda: self._in_progress > 0,
        )

    @property
    def known(self):
        """Number of engines about which anything is known."""
        return sum(map(len, self._engines.values()))

    def began(self, record, stage, *, gap_target_s=0.0):
        """Return the ``RunContact`` of a run that was sent to an engine.

        Parameters
        ----------
        stage : Stage
            What of the generation the engine runs.
        gap_target_s : float
            Longest timely pause between two events of its route.
        """
        key = (stage, record.upstream)
        engine = self._engine(key, record)
        engine.begin(gap_target_s)
        self._idle.pop(key, None)
        self._in_progress += 1
        self._own_pauses.start()
        return RunContact(
            engine=engine,
            clock=self._clock,
            counts_first=stage is Stage.PREFILL,
            on_end=lambda: self._end(key, engine),
        )

    def facts(self, now_s):
        """Return the ``EntryFacts``."""
        decode, prefill = (
            tuple(e.at(now_s) for e in self._engines[stage].values())
            for stage in (Stage.DECODE, Stage.PREFILL)
        )
        return EntryFacts(
            decode=decode,
            prefill=prefill,
            own_pause=self._own_pauses.at(now_s),
        )

    def _engine(self, key, record):
        """Return what is known of a process, nothing if it is new."""
        stage, upstream = key
        engine = self._engines[stage].get(upstream)
        if engine is None or engine.started_ms < record.started_ms:
            engine = self._engines[stage][upstream] = _Engine(record)
        return engine

    def _end(self, key, engine):
        engine.end()
        self._in_progress -= 1
        stage, upstream = key
        if engine.in_progress or self._engines[stage].get(upstream) != engine:
            return
        self._idle[key] = None
        if len(self._idle) > MAX_IDLE:
            stage, upstream = oldest = next(iter(self._idle))
            del self._idle[oldest], self._engines[stage][upstream]
