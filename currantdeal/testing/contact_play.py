"""Plays streams of engines that pause, on a clock of its own."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from currantdeal.entry.run_contacts import RunContacts
from currantdeal.policy.health.silence_scope import (
    SilentStream,
    scope_of_silence,
)
from currantdeal.registry import Stage
from currantdeal.registry.tests.builders import an_upstream

GAP_TARGET_S = 0.3
MIN_GAPS = 4
"""Gap targets of silence after which a stream asks whose silence it is."""


class PlayClock:
    """A clock with timers, moved by hand.

    Attributes
    ----------
    now_s : float
        The present time.
    """

    def __init__(self):
        """Start at zero."""
        self.now_s = 0.0
        self._timers = []
        self._numbers = itertools.count()

    @property
    def timers(self):
        """Number of calls that are due later."""
        return len(self._timers)

    def call_later(self, delay_s, action):
        """Call a function once some time has passed."""
        due = (self.now_s + delay_s, next(self._numbers), action)
        heapq.heappush(self._timers, due)

    def move(self, for_s):
        """Let time pass; timers run at their time."""
        until_s = self.now_s + for_s
        while self._timers and self._timers[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._timers)
            action()
        self.now_s = until_s

    def stand_still(self, for_s):
        """Let time pass in which nothing runs, then run what is late."""
        self.now_s += for_s
        while self._timers and self._timers[0][0] <= self.now_s:
            heapq.heappop(self._timers)[2]()


def contacts_of(clock):
    """Return ``RunContacts`` on a ``PlayClock``."""
    return RunContacts(clock=lambda: clock.now_s, call_later=clock.call_later)


@dataclass(frozen=True, kw_only=True)
class Asked:
    """What a stream was told of its silence.

    Parameters
    ----------
    upstream : str
        Its engine.
    at_s : float
        When it asked.
    silence_s : float
        Seconds since its last event.
    scope : SilenceScope
        Whose silence it is.
    """

    upstream: str
    at_s: float
    silence_s: float
    scope: object


@dataclass
class _Stream:
    contact: object
    upstream: str
    due_s: float
    spoke_s: float
    asked_gaps: int = field(default=MIN_GAPS - 1)


class ContactPlay:
    """Streams at some engines, each with an event now and then.

    Parameters
    ----------
    is_silent : callable
        Returns whether an engine, by its name, sends nothing at a time.
    runs : int
        Streams of each engine.
    seed : int
        Seed of the times of events.
    event_s : float
        Mean time between two events of a stream.
    stop_s : tuple of float
        When the entry stands still, and for how long.
    """

    def __init__(
        self,
        *,
        is_silent,
        runs=3,
        seed=1,
        event_s=0.05,
        stop_s=(float("inf"), 0.0),
    ):
        """Start without streams."""
        self.clock = PlayClock()
        self.contacts = contacts_of(self.clock)
        self._is_silent = is_silent
        self._runs = runs
        self._random = random.Random(seed)
        self._event_s = event_s
        self._stop_at_s, self._stop_for_s = stop_s
        self._streams = []

    def play(self, places, until_s, *, step_s=0.01):
        """Return all that streams were told.

        Parameters
        ----------
        places : dict
            Data centres of the engines by their names.
        """
        for name, place in places.items():
            record = an_upstream(upstream=name, data_center=place)
            for _ in range(self._runs):
                self._begin(record)
        asked = []
        while self.clock.now_s < until_s:
            self._move(step_s)
            self._random.shuffle(self._streams)
            for stream in self._streams:
                self._send_if_due(stream)
                asked += self._ask_if_silent(stream)
        return asked

    def _move(self, step_s):
        self.clock.move(step_s)
        if self.clock.now_s >= self._stop_at_s:
            self._stop_at_s = float("inf")
            self.clock.stand_still(self._stop_for_s)

    def _begin(self, record):
        contact = self.contacts.began(
            record, Stage.DECODE, gap_target_s=GAP_TARGET_S
        )
        due_s = self._random.uniform(0.0, self._event_s)
        self._streams.append(_Stream(contact, record.upstream, due_s, 0.0))

    def _send_if_due(self, stream):
        now_s = self.clock.now_s
        if stream.due_s > now_s or self._is_silent(stream.upstream, now_s):
            return
        stream.contact.received()
        stream.contact.awaits()
        stream.spoke_s = now_s
        stream.asked_gaps = MIN_GAPS - 1
        stream.due_s = now_s + self._random.uniform(0.5, 1.5) * self._event_s

    def _ask_if_silent(self, stream):
        now_s = self.clock.now_s
        silence_s = now_s - stream.spoke_s
        if silence_s < (stream.asked_gaps + 1) * GAP_TARGET_S:
            return
        stream.asked_gaps += 1
        silent = SilentStream(
            upstream=stream.upstream,
            silence_s=silence_s,
            gap_target_s=GAP_TARGET_S,
        )
        scope = scope_of_silence(silent, self.contacts.facts(now_s))
        yield Asked(
            upstream=stream.upstream,
            at_s=now_s,
            silence_s=silence_s,
            scope=scope,
        )
