"""Which prefill engine reads a prompt.

The load pattern is a burst of prompts of three thousand tokens: an engine
reads one in a tenth of a second, so two that meet cost one of them that, and
four of them half of the time to the first output.  By own counts alone an
entry of eighty finds all engines idle and takes the one beside the decode
engine, where prompts queue while engines elsewhere have nothing to do.

The engine with the least to read comes first.  What is to be read is known
from all entries; distance counts as the time that it adds.
"""

JITTER_S = 0.03
"""Random share of the estimate, so that entries do not choose alike.

A third of a prompt: less would send the prompts of one interval of the sums
to one engine, more would pass over an idle one.
"""

DISTANCE_S = (0.0, 0.005, 0.06)
"""What a decode engine elsewhere adds: same data centre, region, farther.

Moving a KV cache of 400 MB to another region takes 0.03 s, and two messages
12 ms each.
"""

SPEED_S_PER_TOKEN = 1 / 30_000
"""Time to read a token before any was measured: a usual engine's."""


def order_prefill(
    upstreams, *, backlog, distance, avoided, random, s_per_token
):
    """Return prefill engines in the order in which to try them.

    Parameters
    ----------
    upstreams : iterable of str
        Names of the engines.
    backlog : callable
        Prompt tokens that an engine has yet to read.
    distance : callable
        0 for an engine in the data centre of the decode engine, 1 in its
        region, 2 elsewhere.
    avoided : callable
        Whether an engine is to be tried last.
    random : random.Random
        Source of the jitter.
    s_per_token : float or None
        Measured time to read a token.

    Examples
    --------
    >>> from random import Random
    >>> order_prefill(["p1", "p2"], backlog={"p1": 6000, "p2": 0}.get,
    ...               distance=lambda u: 0, avoided=lambda u: False,
    ...               random=Random(1), s_per_token=3e-5)
    ['p2', 'p1']
    """
    speed = s_per_token or SPEED_S_PER_TOKEN

    def key(upstream):
        wait_s = backlog(upstream) * speed
        far_s = DISTANCE_S[distance(upstream)]
        return (
            avoided(upstream),
            wait_s + far_s + random.uniform(0.0, JITTER_S),
        )

    return sorted(upstreams, key=key)
