"""Builds what an entry knows of silent and speaking engines."""

from currantdeal.policy.health.silence_scope import (
    EngineOutput,
    EntryFacts,
    Pause,
    SilentStream,
)

GAP_S = 0.3


def a_stream(silent_gaps=4.0):
    """Return a silent stream of the engine ``d1``."""
    return SilentStream(
        upstream="d1", silence_s=silent_gaps * GAP_S, gap_target_s=GAP_S
    )


def an_engine(upstream, silent_gaps=0.1, *, paused=None, **changes):
    """Return the output of an engine with streams in progress.

    Parameters
    ----------
    paused : tuple or None
        Gap targets of its last pause, and since the end of that.
    """
    spoke_s = silent_gaps * GAP_S
    length_s, ended_s = (g * GAP_S for g in paused or (0.0, float("inf")))
    defaults = {
        "data_center": "dc1",
        "runs": 2,
        "silence_s": spoke_s,
        "spoke_s": spoke_s,
        "pause": Pause(length_s=length_s, ended_s=ended_s),
    }
    return EngineOutput(upstream=upstream, **{**defaults, **changes})


def engines(*silent_gaps, **changes):
    """Return facts of engines ``d1``, ``d2``... by the gaps of silence."""
    return facts(
        *(
            an_engine(f"d{n}", g, **changes)
            for n, g in enumerate(silent_gaps, 1)
        )
    )


def facts(*decode, **more):
    """Return the facts of an entry with some decode engines."""
    return EntryFacts(decode=decode, **more)
