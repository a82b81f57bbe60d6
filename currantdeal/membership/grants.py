"""What an entry holds at the homes of upstreams.

The entry renews nothing per request.  Its heartbeat to a home carries the
number of its reservations there and a digest over their request ids; the
home asks for the list only when that differs from its ledger, which happens
after a lost release.

A reservation whose home is silent is kept.  If the home is dead, its
successor asks for it; if only the path is cut, the home cancels the request
on the engine, where the entry sees its stream end.  Forgetting it would have
the successor cancel requests that are well.
"""

import threading
from dataclasses import dataclass, replace

import xxhash

from currantdeal.core import FencingNumber, InstanceId
from currantdeal.membership.home_messages import Claims
from currantdeal.ports import Grant, ReservationRequest


@dataclass(frozen=True, kw_only=True)
class HeldGrant:
    """A reservation that is held, or has been asked for.

    Parameters
    ----------
    request : ReservationRequest
        What was asked for.
    home : InstanceId
        The home that was asked or has adopted it.
    fence : FencingNumber
        That home's fencing number.
    pieces : int
        Pieces held, with what it grew by.
    grant : Grant or None
        None until the home has answered.
    """

    request: ReservationRequest
    home: InstanceId
    fence: FencingNumber
    pieces: int
    grant: Grant | None = None


def digest_of(keys):
    """Return the ``Claims`` over (upstream, request) pairs, in any order.

    Examples
    --------
    >>> from currantdeal.membership.grants import digest_of
    >>> digest_of([("u", "a"), ("u", "b")]) == digest_of(
    ...     [("u", "b"), ("u", "a")])
    True
    """
    count = digest = 0
    for upstream_id, request_id in keys:
        count += 1
        key = f"{upstream_id}\0{request_id}".encode()
        digest ^= xxhash.xxh64_intdigest(key)
    return Claims(count=count, digest=digest >> 1)


class GrantBook:
    """Reservations of one entry, shared by the threads that serve callers.

    Examples
    --------
    >>> from currantdeal.membership import GrantBook
    >>> from currantdeal.ports import ReservationRequest
    >>> book = GrantBook()
    >>> ask = ReservationRequest(
    ...     request_id="r1", caller="c", entry="i1", upstream_id="d1")
    >>> book.ask(ask, home="i2", fence=7)
    >>> [held.request.request_id for held in book.of_upstream("d1")]
    ['r1']
    >>> book.end("d1", "r1") is not None
    True
    >>> book.of_upstream("d1")
    ()
    """

    def __init__(self):
        """Start with no reservations."""
        self._lock = threading.Lock()
        self._held = {}

    def ask(self, request, *, home, fence):
        """Note a reservation before it is asked for.

        A home that takes over asks living entries what they hold.  Without
        this note a grant whose answer is still on its way would be missing
        from the list and its request would be cancelled.
        """
        key = request.upstream_id, request.request_id
        held = HeldGrant(
            request=request, home=home, fence=fence, pieces=request.pieces
        )
        with self._lock:
            self._held.setdefault(key, held)

    def granted(self, grant):
        """Note the home's grant; return whether it is still wanted."""
        key = grant.upstream_id, grant.request_id
        with self._lock:
            held = self._held.get(key)
            if held is not None:
                self._held[key] = replace(
                    held, grant=grant, home=grant.home, fence=grant.fence
                )
        return held is not None

    def grown(self, grant, *, pieces):
        """Note that a grant holds more pieces than before."""
        key = grant.upstream_id, grant.request_id
        with self._lock:
            held = self._held.get(key)
            if held is not None:
                self._held[key] = replace(held, pieces=held.pieces + pieces)

    def end(self, upstream_id, request_id):
        """Forget a reservation and return it, or None."""
        with self._lock:
            return self._held.pop((upstream_id, request_id), None)

    def get(self, upstream_id, request_id):
        """Return a reservation, or None when it is not held."""
        with self._lock:
            return self._held.get((upstream_id, request_id))

    def of_upstream(self, upstream_id):
        """Return what is held of one upstream."""
        with self._lock:
            return tuple(
                held
                for (name, _), held in self._held.items()
                if name == upstream_id
            )

    def of_home(self, home):
        """Return what is held at one home."""
        with self._lock:
            return tuple(
                held for held in self._held.values() if held.home == home
            )

    def homes(self):
        """Return the homes at which something is held."""
        with self._lock:
            return {held.home for held in self._held.values()}

    def adopt(self, upstream_id, *, home, fence):
        """Return what is held of an upstream, now under another home."""
        with self._lock:
            for key, held in self._held.items():
                if key[0] == upstream_id and held.fence < fence:
                    self._held[key] = _moved(held, home, fence)
        return self.of_upstream(upstream_id)


def _moved(held, home, fence):
    grant = held.grant
    if grant is not None:
        grant = replace(grant, home=home, fence=fence)
    return replace(held, home=home, fence=fence, grant=grant)
