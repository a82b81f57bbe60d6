"""Rules of a model engine's time and memory, without time or network.

The stand-in engine, which is a real process, and the fake engine of the load
experiments follow the same rules, so that a decision measured over the fake
meets the same engine in a system test.

The figures stand for a mid-sized model on one worker: a decode step is bound
by reading the weights, so it grows slowly with the batch; prompt tokens
computed within a step lengthen it; a prefill of some thousand tokens takes as
long as some tens of decode steps.

Examples
--------
>>> from currantdeal.testing.engine_model import EngineModel
>>> model = EngineModel()
>>> round(model.step_s(batch=8), 4)
0.02
>>> model.pieces(4000)
250
"""

from collections import OrderedDict
from dataclasses import dataclass

from currantdeal.policy.prefixes import BLOCK_TOKENS


@dataclass(frozen=True, kw_only=True)
class EngineModel:
    """Speed and size of one engine.

    Parameters
    ----------
    step_base_s, step_per_request_s : float
        A decode step's fixed time and its growth with each request, seconds.
    prefill_base_s : float
        Fixed time of one prefill, in seconds.
    prefill_tokens_per_s : float
        Rate of prefill, in tokens a second.
    pieces_total, tokens_per_piece : int
        Engine memory and the size of a piece.
    kv_bytes_per_token : int
        Size of the KV cache of one token, in bytes.
    link_bytes_per_s : float
        Rate of the transfer link, in bytes a second.
    kv_expiry_s : float
        How long a prefill result that nobody fetches is kept, in seconds.
    cache_blocks : int
        Prefix blocks that the prefix cache holds.
    slowdown : float
        Factor on all times; above 1 the engine is slow.
    """

    step_base_s: float = 0.012
    step_per_request_s: float = 0.001
    prefill_base_s: float = 0.01
    prefill_tokens_per_s: float = 8_000.0
    pieces_total: int = 2_400
    tokens_per_piece: int = 16
    kv_bytes_per_token: int = 100_000
    link_bytes_per_s: float = 4e9
    kv_expiry_s: float = 0.6
    cache_blocks: int = 128
    slowdown: float = 1.0

    def step_s(self, *, batch, prefill_tokens=0):
        """Return the time of a decode step, in seconds.

        ``prefill_tokens`` are prompt tokens computed within the same step.
        """
        decode_s = self.step_base_s + self.step_per_request_s * batch
        shared_s = prefill_tokens / self.prefill_tokens_per_s
        return self.slowdown * (decode_s + shared_s)

    def prefill_s(self, *, tokens, cached_tokens=0):
        """Return the time of a prefill that has the engine to itself."""
        computed = max(0, tokens - cached_tokens)
        computing_s = computed / self.prefill_tokens_per_s
        return self.slowdown * (self.prefill_base_s + computing_s)

    def pieces(self, tokens):
        """Return the pieces that the KV cache of some tokens takes."""
        return -(-tokens // self.tokens_per_piece)

    def kv_bytes(self, tokens):
        """Return the size of the KV cache of some tokens, in bytes."""
        return tokens * self.kv_bytes_per_token

    def transfer_s(self, *, tokens, sharers=1):
        """Return the time of a transfer that shares its link evenly."""
        return self.kv_bytes(tokens) * sharers / self.link_bytes_per_s


class PieceMemory:
    """Engine memory in fixed-size pieces, by request.

    Examples
    --------
    >>> from currantdeal.testing.engine_model import PieceMemory
    >>> memory = PieceMemory(pieces_total=10)
    >>> memory.take("r1", 8), memory.take("r2", 8), memory.free
    (True, False, 2)
    """

    def __init__(self, *, pieces_total):
        """Start with every piece free."""
        self._total = pieces_total
        self._held = {}
        self._used = 0

    @property
    def free(self):
        """Pieces that nobody holds."""
        return self._total - self._used

    @property
    def held(self):
        """Mapping of request ids to the pieces they hold."""
        return dict(self._held)

    def take(self, request_id, pieces):
        """Return whether the request now holds that many more pieces."""
        if pieces > self.free:
            return False
        self._held[request_id] = self._held.get(request_id, 0) + pieces
        self._used += pieces
        return True

    def release(self, request_id):
        """Free all pieces of a request and return how many they were."""
        pieces = self._held.pop(request_id, 0)
        self._used -= pieces
        return pieces


class PrefixCache:
    """Prompt prefixes that an engine remembers, least recently used first.

    Parameters
    ----------
    blocks : int
        Blocks of ``BLOCK_TOKENS`` tokens it can hold.
    """

    def __init__(self, *, blocks):
        """Start empty."""
        self._blocks = blocks
        self._known = OrderedDict()

    @property
    def keys(self):
        """Keys of the blocks held, least recently used first."""
        return tuple(self._known)

    def match(self, prefix_keys):
        """Return how many leading tokens of a prompt are held."""
        found = 0
        for key in prefix_keys:
            if key not in self._known:
                break
            found += 1
        return found * BLOCK_TOKENS

    def add(self, prefix_keys):
        """Hold a prompt's blocks and forget the least recently used ones."""
        # Later blocks are of no use without earlier ones, so they are made
        # older: eviction then cuts a prefix at its end.
        for key in reversed(prefix_keys):
            self._known[key] = None
            self._known.move_to_end(key)
        while len(self._known) > self._blocks:
            self._known.popitem(last=False)
