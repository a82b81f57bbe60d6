"""Describes upstreams that stand still together, and their callers."""

from dataclasses import dataclass
from enum import Enum
from functools import partial

from currantdeal.testing.scripted_upstream import Script
from currantdeal.testing.stalling_caller import Row, StallingCall

EVENTS, GAP_S = 60, 0.05
CALLS_PER_S = 7.0
BUFFER_BYTES = 65_536

FULL_TOKENS = 3_900
"""Memory of one run with all the output that its headers announce."""

ENGINES, PREFILLS = 4, 2
HOME, OTHER = "dc1", "dc2"


class Group(Enum):
    """What stands still together."""

    DECODE = "decode engines"
    PREFILL = "prefill engines"
    ENGINES = "all engines"
    DATA_CENTER = "one data centre"
    ENGINE = "one engine"
    ENTRY = "the entry"
    STREAM = "single streams"


class Beside(Enum):
    """What goes on beside the stalls."""

    REST = "nothing"
    STOP = "a stop"
    RELOAD = "a reload"
    ROLLING = "stops of all entries in turn"
    HELPER = "calls through a helper"
    HELPER_STOP = "a stop of an entry that needs a helper"


@dataclass(frozen=True, kw_only=True)
class CommonStall:
    """One play of common stalls.

    Parameters
    ----------
    group : Group
        What stands still.
    stall_s : float
        For how long.
    beside : Beside
        What goes on beside the stalls.
    holds_calls : bool
        Whether engines then leave the system's own calls unanswered too.
    runs : int
        Streams for which an engine has memory.
    is_full : bool
        Whether all engines refuse reservations during a stall.
    retry_burst : float
        Arrivals beyond the first that the retry budget allows at once.
    prefill_s : float
        Duration of a prefill.
    deadlines_s : tuple of float
        Deadlines that callers name.
    calls_per_s : float
        Calls per second.
    """

    group: Group = Group.DECODE
    stall_s: float = 2.0
    beside: Beside = Beside.REST
    holds_calls: bool = False
    runs: int = 8
    is_full: bool = False
    retry_burst: float = 50.0
    prefill_s: float = 0.05
    deadlines_s: tuple = (14.0,)
    calls_per_s: float = CALLS_PER_S

    @property
    def bounds(self):
        """Changed bounds of the processes."""
        ratio = {} if self.retry_burst else {"RetryBudgetRatio": 0.0}
        return {"RetryBurst": self.retry_burst, **ratio}

    @property
    def engine(self):
        """Changed fields of the engines in the configuration."""
        capacity = self.runs * FULL_TOKENS
        return {"Slots": self.runs, "KvCapacityTokens": capacity}

    @property
    def rows(self):
        """The calls, as ``RowCallers`` sends them."""
        draw = partial(draw_stream, case=self)
        return (Row(draw=draw, per_s=self.calls_per_s),)


def draw_stream(rng, *, case):
    """Draw a stream whose caller reads at once."""
    pauses = case.group is Group.STREAM and rng.random() < 0.5
    return StallingCall(
        row="stream",
        kind=rng.choice(("note", "draft")),
        script=Script(
            prefill_s=case.prefill_s,
            events=EVENTS,
            gap_s=GAP_S,
            pause_s=case.stall_s if pauses else 0.0,
        ),
        buffer_bytes=BUFFER_BYTES,
        deadline_s=rng.choice(case.deadlines_s),
    )


def announcements(*, runs):
    """Return fields of heartbeats by engine, half of them elsewhere."""
    names = [f"d{n}" for n in range(ENGINES)]
    names += [f"p{n}" for n in range(PREFILLS)]
    places = (HOME, OTHER)
    return {
        name: {"Slots": runs, "Zone": places[number % 2]}
        for number, name in enumerate(names)
    }


def members(group):
    """Return the names of the engines of a group."""
    found = announcements(runs=1)
    if group is Group.DATA_CENTER:
        return [n for n, more in found.items() if more["Zone"] == HOME]
    if group is Group.ENGINE:
        return ["d0"]
    stages = {Group.DECODE: "d", Group.PREFILL: "p", Group.ENGINES: "dp"}
    return [name for name in found if name[0] in stages.get(group, "")]
