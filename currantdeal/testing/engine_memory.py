"""Provide the stand-in engine's memory pieces and its prefix cache."""

import random
import threading
from collections import deque
from dataclasses import dataclass

from currantdeal.core import prefix_keys
from currantdeal.testing.engine_model import PieceMemory, PrefixCache
from currantdeal.testing.errors import RefusedError


class SharedMemory:
    """Thread-safe count of the memory pieces that each owner holds.

    Parameters
    ----------
    pieces : int
        Total number of pieces.
    """

    def __init__(self, *, pieces):
        """Start with every piece free."""
        self._memory = PieceMemory(pieces_total=pieces)
        self._lock = threading.Lock()

    @property
    def free(self):
        """Number of free pieces."""
        with self._lock:
            return self._memory.free

    def held_by(self, owner):
        """Return the number of pieces that an owner holds."""
        with self._lock:
            return self._memory.held.get(owner, 0)

    def allocate(self, owner, pieces):
        """Allocate pieces to an owner, or raise ``RefusedError``."""
        if not self.try_allocate(owner, pieces):
            raise RefusedError(429, "full", f"{self.free} pieces are free")

    def try_allocate(self, owner, pieces):
        """Allocate pieces to an owner; return whether enough were free."""
        with self._lock:
            return self._memory.take(owner, pieces)

    def release(self, owner):
        """Free all pieces of an owner."""
        with self._lock:
            self._memory.release(owner)


@dataclass(frozen=True, kw_only=True)
class _CacheEvent:
    at_s: float
    key: int
    present: bool


class ReportingCache:
    """Prefix cache whose events reach the load report late or are lost.

    The report may therefore list blocks that were evicted and omit blocks that
    are cached.

    Parameters
    ----------
    blocks : int
        Maximum number of blocks held.
    lag_s : float
        Delay until an event appears in the report, in seconds.
    loss : float
        Fraction of events that are lost.
    seed : int
        Seed of the random loss.
    """

    def __init__(self, *, blocks, lag_s, loss, seed):
        """Create an empty cache."""
        self._cache = PrefixCache(blocks=blocks)
        self._lag_s = lag_s
        self._loss = loss
        self._random = random.Random(seed)
        self._events = deque()
        self._reported = {}
        self._lock = threading.Lock()

    def use(self, prompt, now_s):
        """Cache a prompt; return how many leading tokens were cached."""
        keys = prefix_keys(prompt)
        with self._lock:
            before = set(self._cache.keys)
            matched = self._cache.match(keys)
            self._cache.add(keys)
            after = set(self._cache.keys)
            self._queue_events(sorted(after - before), True, now_s)
            self._queue_events(sorted(before - after), False, now_s)
        return matched

    def reported(self, now_s):
        """Return the cached keys according to the events reported so far."""
        with self._lock:
            while self._events and self._events[0].at_s <= now_s - self._lag_s:
                event = self._events.popleft()
                if event.present:
                    self._reported[event.key] = None
                else:
                    self._reported.pop(event.key, None)
            return tuple(self._reported)

    def _queue_events(self, keys, present, now_s):
        for key in keys:
            if self._random.random() >= self._loss:
                event = _CacheEvent(at_s=now_s, key=key, present=present)
                self._events.append(event)
