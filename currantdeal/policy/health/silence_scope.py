"""Decides whether a silence is of one stream, of its engine, or of most.

Load pattern: correlated failure.  When engines stand still together, each of
their streams looks like one of an engine that is gone, and moving all of them
only adds load where nobody answers.  Engines that fall silent at the same
moment share the cause; one that is silent while others speak is left.
"""

import math
from dataclasses import dataclass
from enum import Enum

SILENT_GAPS = 2
"""Gap targets without output after which an engine no longer speaks.

It is less than the silence after which a stream is moved, so that the first
stream that asks finds the other engines of its pause silent, too.
"""

ONSET_GAPS = 2
"""Most gap targets between the onsets of silences with one cause."""

RECOVERY_GAPS = 2
"""Gap targets after the end of a pause that others need to speak again."""

MAX_SPEAKING_SHARE = 0.25
"""Share of engines that speak below which a silence is of most engines.

So few have no memory for the streams of the others.
"""

MIN_SILENT_ENGINES = 3
"""Engines that fall silent together hardly ever without a common cause."""

MAX_HOLD_GAPS = 8
"""Silence, in gap targets, from which weak evidence holds no stream."""

PREFILL_TURNS = 2
"""Silence of prefill engines, as a multiple of the time of a prefill."""


class SilenceScope(str, Enum):
    """Whose silence the silence of a stream is.

    Attributes
    ----------
    STREAM
        Its engine speaks to others, or is not known to be silent.
    ENGINE
        Its engine is silent while others speak, or nothing is known of any.
    COMMON
        Most engines became silent with it, or this process stood still.
    """

    STREAM = "stream"
    ENGINE = "engine"
    COMMON = "common"


@dataclass(frozen=True, kw_only=True)
class Pause:
    """A time without output, or in which a process did nothing.

    Parameters
    ----------
    length_s : float
        Its length.
    ended_s : float
        Seconds since its end.
    """

    length_s: float = 0.0
    ended_s: float = math.inf

    @property
    def onset_s(self):
        """Seconds since its beginning."""
        return self.length_s + self.ended_s


@dataclass(frozen=True, kw_only=True)
class EngineOutput:
    """What an entry has received from one engine, over all its runs.

    Parameters
    ----------
    upstream, data_center : str
        The engine and its location.
    runs : int
        Runs of which output is awaited; at a decode engine only those that
        have begun to send, since the first event follows a prefill.
    silence_s : float
        Seconds for which these runs have awaited the next output of the
        engine, of any run; 0 if none does.
    spoke_s : float
        Seconds since its last output; infinite if there was none.
    pause : Pause
        Its last long silence that output has ended.
    gap_target_s : float
        Longest gap target of the runs in progress.
    """

    upstream: str
    data_center: str
    runs: int
    silence_s: float
    spoke_s: float = math.inf
    pause: Pause = Pause()
    gap_target_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class EntryFacts:
    """What an entry knows of the engines at which it has runs.

    Parameters
    ----------
    decode, prefill : tuple of EngineOutput
        Engines by the stage of these runs.
    own_pause : Pause
        The last long time for which this process stood still.
    """

    decode: tuple = ()
    prefill: tuple = ()
    own_pause: Pause = Pause()


@dataclass(frozen=True, kw_only=True)
class SilentStream:
    """A stream that is silent.

    Parameters
    ----------
    upstream : str
        Its engine.
    silence_s : float
        Seconds since its last event.
    gap_target_s : float
        Longest timely pause between two events of its route.
    """

    upstream: str
    silence_s: float
    gap_target_s: float


class _Relation(Enum):
    """How the silence of an engine compares with another one's."""

    TOGETHER = 1
    SPEAKS = 2
    UNRELATED = 3


def scope_of_silence(stream, facts):
    """Return the ``SilenceScope`` of a ``SilentStream``.

    Examples
    --------
    >>> silent, speaking = (
    ...     EngineOutput(upstream=name, data_center="dc1", runs=4,
    ...                  silence_s=silence_s, spoke_s=silence_s)
    ...     for name, silence_s in (("d1", 1.2), ("d2", 0.05)))
    >>> stream = SilentStream(upstream="d1", silence_s=1.2, gap_target_s=0.3)
    >>> scope_of_silence(stream, EntryFacts(decode=(silent, speaking))).value
    'engine'
    """
    if _stood_still(stream, facts.own_pause):
        return SilenceScope.COMMON
    gap_s = stream.gap_target_s
    own = next(
        (e for e in facts.decode if e.upstream == stream.upstream), None
    )
    is_speaking = own is not None and own.spoke_s < SILENT_GAPS * gap_s
    if is_speaking and not _recovers(own, gap_s):
        return SilenceScope.STREAM
    if _is_common(stream, own, facts.decode):
        return SilenceScope.COMMON
    if is_speaking or own is None or not own.runs:
        return SilenceScope.STREAM
    return SilenceScope.ENGINE


def are_prefills_silent(facts, *, expected_s):
    """Return whether prefills are pending and no engine has answered any.

    Parameters
    ----------
    expected_s : float
        Time that a prefill usually takes, with its wait.

    Examples
    --------
    >>> pending = EngineOutput(
    ...     upstream="p1", data_center="dc1", runs=3, silence_s=1.0)
    >>> facts = EntryFacts(prefill=(pending,))
    >>> are_prefills_silent(facts, expected_s=0.3)
    True
    >>> are_prefills_silent(facts, expected_s=0.6)
    False
    """
    silent_s = PREFILL_TURNS * expected_s
    waited_s = max((e.silence_s for e in facts.prefill if e.runs), default=0.0)
    spoke_s = min((e.spoke_s for e in facts.prefill), default=math.inf)
    return waited_s > 0.0 and min(waited_s, spoke_s) >= silent_s


def _stood_still(stream, pause):
    """Return whether a silence is that of this process.

    What has arrived meanwhile is read within the next gap targets.  The pause
    has to be a large part of the silence: a process that often stands still
    would hold streams at an engine that is gone.
    """
    gap_s = stream.gap_target_s
    is_recent = pause.ended_s < RECOVERY_GAPS * gap_s
    is_long = pause.length_s >= max(gap_s, stream.silence_s / 2)
    return is_recent and is_long


def _recovers(engine, gap_s):
    """Return whether an engine has only just ended a silence."""
    return (
        engine.pause.length_s >= SILENT_GAPS * gap_s
        and engine.pause.ended_s < RECOVERY_GAPS * gap_s
    )


def _onset_s(engine, gap_s):
    """Return the seconds since an engine became silent; None if unknown."""
    if engine is None:
        return None
    if _recovers(engine, gap_s):
        return engine.pause.onset_s
    return engine.silence_s if engine.runs else None


def _relation(engine, onset_s, gap_s):
    """Compare an engine with a silence that began some seconds ago.

    One that became silent at another time has a cause of its own.  A silence
    of unknown beginning is compared with all.
    """

    def is_with(other_s):
        if onset_s is None:
            return True
        return abs(other_s - onset_s) <= ONSET_GAPS * gap_s

    if _recovers(engine, gap_s) and is_with(engine.pause.onset_s):
        return _Relation.TOGETHER
    if engine.spoke_s < SILENT_GAPS * gap_s:
        return _Relation.SPEAKS
    late_s = SILENT_GAPS * max(gap_s, engine.gap_target_s)
    if engine.silence_s >= late_s and is_with(engine.silence_s):
        return _Relation.TOGETHER
    return _Relation.UNRELATED


def _is_common(stream, own, engines):
    """Return whether most engines became silent with that of a stream.

    They have to be most both in its data centre and in the others, as one
    that is dark as a whole is left for those that speak.
    """
    gap_s = stream.gap_target_s
    onset_s = _onset_s(own, gap_s)
    here, elsewhere = [], []
    for engine in engines:
        relation = _relation(engine, onset_s, gap_s)
        if relation is _Relation.UNRELATED:
            continue
        is_here = own is None or engine.data_center == own.data_center
        (here if is_here else elsewhere).append(relation)
    compared = here + elsewhere
    silent = compared.count(_Relation.TOGETHER)
    if silent < 2 or not all(map(_is_silent_majority, (here, elsewhere))):
        return False
    is_certain = silent == len(compared) and silent >= MIN_SILENT_ENGINES
    return is_certain or stream.silence_s < MAX_HOLD_GAPS * gap_s


def _is_silent_majority(relations):
    speaking = relations.count(_Relation.SPEAKS)
    return not relations or speaking < MAX_SPEAKING_SHARE * len(relations)
