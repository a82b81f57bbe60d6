"""Reserving the KV memory of decode engines from many entries.

The load pattern is the usual peak: a decode engine holds eight to ten
prompts of three thousand tokens, a stream lasts seconds, and a dozen entries
share the engines without knowing of each other.  Placed by load reports that
are a second old, three of four requests reach an engine whose memory is
full, after their prompt was read elsewhere.  So memory is reserved at the
engine itself before the prompt is read.

What is reserved is the prompt and the expected output (``OUTPUT_SHARE``).  A
stream grows over its life while others end, so in quiet times the final size
leaves some memory idle and refuses a few callers for nothing.  When memory is
scarce the others do not end fast enough: streams are preempted, each is read
in again from its beginning and misses its pauses, which costs as much as the
stream was worth.  With a share of 0.6, 1.0 and 1.4 of the expected output, a
heavy day lost 83, 36 and 7 streams to preemption and served 0.47, 0.49 and
0.51 of what was owed; a quiet day lost 15, 13 and 6 and served 0.905, 0.888
and 0.873.  A share that followed the refusals an entry sees, from 0.6 to 1.5,
was no better than 1.0 on either.
"""

from dataclasses import dataclass

OUTPUT_SHARE = 1.2
UNKNOWN_OUTPUT_SHARE = 0.35
"""Share of the allowed output that is expected where nothing is known."""

REFUSED_REST_S = 0.15
"""Time after a refusal for which an engine is asked last.

Streams end a few times a second on an engine; asking earlier mostly brings
the same refusal.
"""


@dataclass(frozen=True, kw_only=True)
class GenerationSize:
    """Tokens of one generation."""

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int


def tokens_to_reserve(size, kv_tokens):
    """Return the tokens to reserve for a generation.

    Examples
    --------
    >>> size = GenerationSize(prompt_tokens=3000, max_output_tokens=3060,
    ...                       expected_output_tokens=1000)
    >>> tokens_to_reserve(size, 40_000)
    4200
    """
    expected = size.expected_output_tokens
    if not expected:
        expected = UNKNOWN_OUTPUT_SHARE * size.max_output_tokens
    expected = min(expected, size.max_output_tokens)
    wanted = size.prompt_tokens + round(OUTPUT_SHARE * expected)
    return min(wanted, kv_tokens) if kv_tokens else wanted


class DecodeMemory:
    """What one entry knows of the memory of decode engines.

    Examples
    --------
    >>> from random import Random
    >>> memory = DecodeMemory()
    >>> memory.reserved("d1", 4000)
    >>> memory.order(["d1", "d2"], distance=lambda u: 0, random=Random(1),
    ...              now_s=0.0)
    ['d2', 'd1']
    >>> memory.refused("d2", now_s=0.0)
    >>> memory.order(["d1", "d2"], distance=lambda u: 0, random=Random(1),
    ...              now_s=0.1)
    ['d1', 'd2']
    """

    def __init__(self):
        """Start without knowledge."""
        self._tokens = {}
        self._refused_s = {}

    def reserved(self, upstream, tokens):
        """Note tokens that this entry holds at an engine."""
        self._tokens[upstream] = self._tokens.get(upstream, 0) + tokens

    def released(self, upstream, tokens):
        """Note that this entry holds them no longer."""
        self._tokens[upstream] = self._tokens.get(upstream, 0) - tokens

    def refused(self, upstream, *, now_s):
        """Note that an engine had no room."""
        self._refused_s[upstream] = now_s

    def order(self, upstreams, *, distance, random, now_s):
        """Return engines in the order in which to ask for memory.

        Engines of which nothing tells them apart come in random order.  In
        any fixed order all entries ask the same engine first and fill it to
        the brim while others idle; its streams then grow beyond its memory
        and are preempted.
        """

        def key(upstream):
            since_s = now_s - self._refused_s.get(upstream, -1e9)
            rests = since_s < REFUSED_REST_S
            far = distance(upstream) == 2
            tokens = self._tokens.get(upstream, 0)
            return (rests, tokens, far, random.random())

        return sorted(upstreams, key=key)
