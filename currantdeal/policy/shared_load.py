"""What all entries together hold at each engine.

The load pattern is many entries with few streams each: eighty entries share
thirty engines, and a stream that one of them places is unknown to the
others.  Each then sees nearly empty engines.  Some engines are filled to the
brim while others have room, prompts queue at one prefill engine beside idle
ones, and every entry finds out by itself that an engine has gone dark, at
0.4 to 0.8 s a time.

So entries tell their control instance what they hold, control instances add
that up for each other, and entries get the sums a few times a second.  An
entry corrects them by what it did itself since.  All of this is soft state:
without it an entry falls back on its own counts, and the engine's answer to a
reservation stays the truth.

The sums are a few tenths of a second old, in which a burst places a dozen
streams on twenty engines.  Entries that all chose the emptiest engine would
all choose the same one, so the choice among nearly equal ones is drawn.
"""

from dataclasses import dataclass

LOAD_INTERVAL_S = 0.15
"""Interval at which changed loads are passed on, at each of three steps.

Half of it on average at each step makes a sum a quarter of a second old; a
stream lasts three seconds, so a tenth of the streams are missing in it.
"""

FRESH_S = 1.5
"""Age up to which sums are used: as long as a source may fall silent."""

EXPIRE_S = 2.0
"""Silence after which the part of an entry or control instance is dropped.

Four heartbeats of an entry.  Streams of an entry that died end with its
connections; counting them longer would keep engines empty.
"""

SUSPECT_REPORTS = 2
"""Entries that must have failed to reach an engine before others avoid it.

One may be cut off itself.
"""


@dataclass(frozen=True, kw_only=True)
class PoolLoad:
    """Load of engines.

    Parameters
    ----------
    held : dict
        Tokens held at each engine: of memory at decode engines, of prompts
        to read at prefill engines.
    unreachable : dict
        Number of entries that lately failed to reach an engine.
    """

    held: dict[str, int]
    unreachable: dict[str, int]


class EntryLoad:
    """What one entry holds at engines, and what it knows of the others.

    Examples
    --------
    >>> load = EntryLoad()
    >>> load.began("d1", 4000)
    >>> load.report(unreachable=()).held
    {'d1': 4000}
    >>> sums = PoolLoad(held={"d1": 10_000}, unreachable={})
    >>> load.take(sums, now_s=0.0)
    >>> load.ended("d1", 4000)
    >>> load.tokens("d1", now_s=0.1), load.tokens("d1", now_s=9.0)
    (6000, 0)
    """

    def __init__(self):
        """Hold nothing and know nothing."""
        self._own = {}
        self._reported = {}
        self._others = {}
        self._suspects = frozenset()
        self._taken_s = None

    def began(self, upstream, tokens):
        """Note tokens that this entry holds from now on."""
        self._own[upstream] = self._own.get(upstream, 0) + tokens

    def ended(self, upstream, tokens):
        """Note that this entry holds them no longer."""
        left = self._own.get(upstream, 0) - tokens
        if left > 0:
            self._own[upstream] = left
        else:
            self._own.pop(upstream, None)

    def report(self, *, unreachable):
        """Return what this entry holds, for the others.

        Parameters
        ----------
        unreachable : iterable of str
            Engines that this entry lately failed to reach.
        """
        self._reported = dict(self._own)
        return PoolLoad(
            held=self._reported, unreachable=dict.fromkeys(unreachable, 1)
        )

    def take(self, sums, *, now_s):
        """Take the sums over all entries, this one included."""
        reported = self._reported
        self._others = {
            name: max(0, tokens - reported.get(name, 0))
            for name, tokens in sums.held.items()
        }
        self._suspects = frozenset(
            name
            for name, reports in sums.unreachable.items()
            if reports >= SUSPECT_REPORTS
        )
        self._taken_s = now_s

    def knows_others(self, *, now_s):
        """Return whether the sums are fresh enough to be believed."""
        return self._taken_s is not None and now_s - self._taken_s <= FRESH_S

    def tokens(self, upstream, *, now_s):
        """Return the tokens believed to be held at an engine."""
        own = self._own.get(upstream, 0)
        if not self.knows_others(now_s=now_s):
            return own
        return own + self._others.get(upstream, 0)

    def is_suspect(self, upstream, *, now_s):
        """Return whether several entries failed to reach an engine."""
        return self.knows_others(now_s=now_s) and upstream in self._suspects


class LoadBook:
    """Adds up the loads of entries at one control instance.

    Examples
    --------
    >>> book = LoadBook()
    >>> one = PoolLoad(held={"d1": 3000}, unreachable={"d2": 1})
    >>> book.take_entry("entry-1", one, now_s=0.0)
    >>> book.take_control("10.0.0.2:7440", one, now_s=0.0)
    >>> book.here(now_s=0.1).held, book.total(now_s=0.1).held
    ({'d1': 3000}, {'d1': 6000})
    >>> book.total(now_s=9.0).held
    {}
    """

    def __init__(self):
        """Start empty."""
        self._entries = {}
        self._controls = {}

    def take_entry(self, entry, load, *, now_s):
        """Take the load of an entry that reports here."""
        self._entries[entry] = (now_s, load)

    def drop_entry(self, entry):
        """Forget an entry that reports here no longer."""
        self._entries.pop(entry, None)

    def take_control(self, sender, load, *, now_s):
        """Take the load of all entries that report to another instance."""
        self._controls[sender] = (now_s, load)

    def here(self, *, now_s):
        """Return the sum over the entries that report here."""
        return _sum(_fresh(self._entries, now_s))

    def total(self, *, now_s):
        """Return the sum over all entries."""
        return _sum(
            [
                *_fresh(self._entries, now_s),
                *_fresh(self._controls, now_s),
            ]
        )


def _fresh(parts, now_s):
    for name in tuple(parts):
        if now_s - parts[name][0] > EXPIRE_S:
            del parts[name]
    return [load for _, load in parts.values()]


def _sum(loads):
    held = {}
    unreachable = {}
    for load in loads:
        _add(held, load.held)
        _add(unreachable, load.unreachable)
    return PoolLoad(held=held, unreachable=unreachable)


def _add(sums, more):
    for name, number in more.items():
        sums[name] = sums.get(name, 0) + number
