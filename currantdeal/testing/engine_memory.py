"""Memory of the stand-in engine: fixed-size pieces and a prefix cache."""

import random
import threading
from collections import deque
from dataclasses import dataclass

from currantdeal.core import prefix_keys
from currantdeal.testing.engine_model import PieceMemory, PrefixCache
from currantdeal.testing.errors import RefusedError


class SharedMemory:
    """Pieces of engine memory by owner; safe to use from any thread.

    Parameters
    ----------
    pieces : int
        Pieces in total.
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
        """Return the pieces that an owner holds."""
        with self._lock:
            return self._memory.held.get(owner, 0)

    def take(self, owner, pieces):
        """Give an owner pieces, or raise ``RefusedError``."""
        if not self.try_take(owner, pieces):
            raise RefusedError(429, "full", f"{self.free} pieces are free")

    def try_take(self, owner, pieces):
        """Return whether an owner got some more pieces."""
        with self._lock:
            return self._memory.take(owner, pieces)

    def release(self, owner):
        """Free whatever an owner holds."""
        with self._lock:
            self._memory.release(owner)


@dataclass(frozen=True, kw_only=True)
class _CacheEvent:
    at_s: float
    key: int
    present: bool


class ReportingCache:
    """Prefix cache whose events reach the load report late, or never.

    What is reported may therefore be wrong in both directions.

    Parameters
    ----------
    blocks : int
        Blocks held at most.
    lag_s : float
        Age at which an event shows, in seconds.
    loss : float
        Share of events that never show.
    seed : int
        Seed of which events get lost.
    """

    def __init__(self, *, blocks, lag_s, loss, seed):
        """Start empty."""
        self._cache = PrefixCache(blocks=blocks)
        self._lag_s = lag_s
        self._loss = loss
        self._random = random.Random(seed)
        self._events = deque()
        self._reported = {}
        self._lock = threading.Lock()

    def use(self, prompt, now_s):
        """Return the leading tokens found, and keep the whole prompt."""
        keys = prefix_keys(prompt)
        with self._lock:
            before = set(self._cache.keys)
            found = self._cache.match(keys)
            self._cache.add(keys)
            after = set(self._cache.keys)
            self._tell(sorted(after - before), True, now_s)
            self._tell(sorted(before - after), False, now_s)
        return found

    def reported(self, now_s):
        """Return the keys that the events so far told of."""
        with self._lock:
            while self._events and self._events[0].at_s <= now_s - self._lag_s:
                event = self._events.popleft()
                if event.present:
                    self._reported[event.key] = None
                else:
                    self._reported.pop(event.key, None)
            return tuple(self._reported)

    def _tell(self, keys, present, now_s):
        for key in keys:
            if self._random.random() >= self._loss:
                event = _CacheEvent(at_s=now_s, key=key, present=present)
                self._events.append(event)
