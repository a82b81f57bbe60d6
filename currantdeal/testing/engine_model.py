"""Model the time and memory of a model engine, without clock or network.

The stand-in engine, which is a real process, and the simulated engine of the
load experiments share this model, so that a decision measured in simulation
is tested against the same engine behaviour in a system test.

The defaults represent a mid-sized model on one worker: a decode step is bound
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

from currantdeal.policy.placement.prefix_hints import BLOCK_TOKENS


@dataclass(frozen=True, kw_only=True)
class EngineModel:
    """Speed and size of one engine.

    Parameters
    ----------
    step_base_s, step_per_request_s : float
        Fixed time of a decode step and its increase with each request of the
        batch, in seconds.
    prefill_base_s : float
        Fixed time of one prefill, in seconds.
    prefill_tokens_per_s : float
        Rate of prefill, in tokens a second.
    pieces_total, tokens_per_piece : int
        Memory of the engine in pieces, and tokens that fit into a piece.
    kv_bytes_per_token : int
        Size of the KV cache of one token, in bytes.
    link_bytes_per_s : float
        Rate of the transfer link, in bytes a second.
    kv_expiry_s : float
        Time for which a prefill result is kept until it is fetched, in
        seconds.
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    slowdown : float
        Factor on step and prefill times; above 1 the engine is slow.
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
        """Return the duration of a decode step, in seconds.

        ``prefill_tokens`` are prompt tokens computed within the same step.
        """
        decode_s = self.step_base_s + self.step_per_request_s * batch
        shared_s = prefill_tokens / self.prefill_tokens_per_s
        return self.slowdown * (decode_s + shared_s)

    def prefill_s(self, *, tokens, cached_tokens=0):
        """Return the duration of a prefill on an otherwise idle engine."""
        computed = max(0, tokens - cached_tokens)
        computing_s = computed / self.prefill_tokens_per_s
        return self.slowdown * (self.prefill_base_s + computing_s)

    def pieces(self, tokens):
        """Return the number of pieces that the KV cache of tokens needs."""
        return -(-tokens // self.tokens_per_piece)

    def kv_bytes(self, tokens):
        """Return the size of the KV cache of tokens, in bytes."""
        return tokens * self.kv_bytes_per_token

    def transfer_s(self, *, tokens, sharers=1):
        """Return the duration of a transfer if its link is shared evenly."""
        return self.kv_bytes(tokens) * sharers / self.link_bytes_per_s


class PieceMemory:
    """Memory pieces of fixed size that requests hold.

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
        """Number of free pieces."""
        return self._total - self._used

    @property
    def held(self):
        """Number of pieces held, by request id."""
        return dict(self._held)

    def take(self, request_id, pieces):
        """Allocate pieces to a request; return whether enough were free."""
        if pieces > self.free:
            return False
        self._held[request_id] = self._held.get(request_id, 0) + pieces
        self._used += pieces
        return True

    def release(self, request_id):
        """Free all pieces of a request and return their number."""
        pieces = self._held.pop(request_id, 0)
        self._used -= pieces
        return pieces


class PrefixCache:
    """Prompt prefixes that an engine caches, with LRU eviction.

    Parameters
    ----------
    blocks : int
        Capacity, in blocks of ``BLOCK_TOKENS`` tokens.
    """

    def __init__(self, *, blocks):
        """Create an empty cache."""
        self._capacity = blocks
        self._lru_blocks = OrderedDict()

    @property
    def keys(self):
        """Keys of the blocks held, least recently used first."""
        return tuple(self._lru_blocks)

    def match(self, prefix_keys):
        """Return how many leading tokens of a prompt are cached."""
        matched = 0
        for key in prefix_keys:
            if key not in self._lru_blocks:
                break
            matched += 1
        return matched * BLOCK_TOKENS

    def add(self, prefix_keys):
        """Cache a prompt's blocks and evict the least recently used ones."""
        # Later blocks are of no use without earlier ones, so they are marked
        # as less recently used: eviction then shortens a prefix from its end.
        for key in reversed(prefix_keys):
            self._lru_blocks[key] = None
            self._lru_blocks.move_to_end(key)
        while len(self._lru_blocks) > self._capacity:
            self._lru_blocks.popitem(last=False)
