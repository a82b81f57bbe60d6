"""Reservations that an entry holds at the homes of upstreams.

Reservations are not renewed one by one.  The heartbeat of an entry to a home
carries the number of its reservations there and a digest of their request
ids.  The home requests the list only if the digest differs from its ledger,
which happens after a lost release.

A reservation is kept while its home is unreachable.  If the home is dead, the
next home requests the reservations of the entry.  If only the network path is
interrupted, the home cancels the request on the engine, and the entry detects
the end of its stream.  If the entry removed the reservation, the next home
would cancel requests that still run.
"""

import threading
from dataclasses import dataclass, replace

import xxhash

from currantdeal.core import FencingNumber, InstanceId
from currantdeal.membership.home_messages import Claims
from currantdeal.ports import Grant, ReservationRequest


@dataclass(frozen=True, kw_only=True)
class HeldReservation:
    """Reservation that is pending or held.

    Parameters
    ----------
    request : ReservationRequest
        Original request.
    home : InstanceId
        Home that received the request or has taken over the reservation.
    fence : FencingNumber
        Fencing number of the home.
    pieces : int
        Pieces held, including those added after the grant.
    grant : Grant or None
        Grant of the home; None until the home has answered.
    """

    request: ReservationRequest
    home: InstanceId
    fence: FencingNumber
    pieces: int
    grant: Grant | None = None


def digest_of(keys):
    """Return the ``Claims`` of (upstream, request) pairs.

    The result is independent of the order of the pairs.

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


class HeldReservations:
    """Thread-safe table of the reservations of one entry.

    Examples
    --------
    >>> from currantdeal.membership import HeldReservations
    >>> from currantdeal.ports import ReservationRequest
    >>> reservations = HeldReservations()
    >>> request = ReservationRequest(
    ...     request_id="r1", caller="c", entry="i1", upstream_id="d1")
    >>> reservations.record_request(request, home="i2", fence=7)
    >>> [held.request.request_id for held in reservations.of_upstream("d1")]
    ['r1']
    >>> reservations.remove("d1", "r1") is not None
    True
    >>> reservations.of_upstream("d1")
    ()
    """

    def __init__(self):
        """Start without reservations."""
        self._lock = threading.Lock()
        self._held = {}

    def record_request(self, request, *, home, fence):
        """Record a reservation before the request is sent to its home.

        A new home requests the reservations of the reachable entries.  If a
        reservation were recorded only with the grant, one whose answer is in
        transit would be missing from the list, and its request would be
        cancelled.
        """
        key = request.upstream_id, request.request_id
        held = HeldReservation(
            request=request, home=home, fence=fence, pieces=request.pieces
        )
        with self._lock:
            self._held.setdefault(key, held)

    def record_grant(self, grant):
        """Record a grant; return whether its reservation still exists."""
        key = grant.upstream_id, grant.request_id
        with self._lock:
            held = self._held.get(key)
            if held is not None:
                self._held[key] = replace(
                    held, grant=grant, home=grant.home, fence=grant.fence
                )
        return held is not None

    def record_growth(self, grant, *, pieces):
        """Record that pieces were added to a grant."""
        key = grant.upstream_id, grant.request_id
        with self._lock:
            held = self._held.get(key)
            if held is not None:
                self._held[key] = replace(held, pieces=held.pieces + pieces)

    def remove(self, upstream_id, request_id):
        """Remove a reservation and return it, or None if it is unknown."""
        with self._lock:
            return self._held.pop((upstream_id, request_id), None)

    def get(self, upstream_id, request_id):
        """Return a reservation, or None if it is unknown."""
        with self._lock:
            return self._held.get((upstream_id, request_id))

    def of_upstream(self, upstream_id):
        """Return the reservations on one upstream."""
        with self._lock:
            return tuple(
                held
                for (name, _), held in self._held.items()
                if name == upstream_id
            )

    def of_home(self, home):
        """Return the reservations at one home."""
        with self._lock:
            return tuple(
                held for held in self._held.values() if held.home == home
            )

    def homes(self):
        """Return the homes with at least one reservation."""
        with self._lock:
            return {held.home for held in self._held.values()}

    def set_home(self, upstream_id, *, home, fence):
        """Move the reservations on an upstream to a new home; return them.

        Reservations with the same or a later fencing number are not moved,
        but are returned too.
        """
        with self._lock:
            for key, held in self._held.items():
                if key[0] == upstream_id and held.fence < fence:
                    self._held[key] = _with_home(held, home, fence)
        return self.of_upstream(upstream_id)


def _with_home(held, home, fence):
    grant = held.grant
    if grant is not None:
        grant = replace(grant, home=home, fence=fence)
    return replace(held, home=home, fence=fence, grant=grant)
