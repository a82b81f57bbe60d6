"""Ledger of the reservations on one upstream, kept by its home instance.

Load pattern: peak load with decode memory nearly full.  Entries see load
reports with a lag, so together they start more prefills than the decode engine
can accept; the results expire within a second and the prefills are wasted.
The ledger is the single place that grants an engine's memory, link time and
prefill time, and it grants decode memory before the prefill starts.

For a decode engine it counts pieces of memory, and grants a reservation only
if they are free now.  It does not count on memory that running streams are
expected to release: output lengths vary too much, and at 1.5 times capacity
granting it in advance wastes a tenth of all prefills without more goodput.
Nor does it keep memory in reserve for streams that outgrow their reservation,
because a reserve of a twentieth or a tenth lowers goodput at capacity.

The number of streams is limited too, so that a batch of many small requests
still meets the target for the time between outputs.

For a prefill engine it keeps the time at which the queue of granted prefills
ends; a grant says how long the new prefill has to wait.  A link is busy until
the last granted transfer ends.  At most a fifth of a second of either is
granted ahead, because decode memory is idle while its prefill waits; further
work waits in the queues of the entries, where it can still be reordered.

Grants belong to an entry.  When an entry's lease expires, all of its grants
are released, and the home cancels their requests on the engine.
"""

from dataclasses import dataclass, replace

from currantdeal.core import CallerId, InstanceId, RequestId
from currantdeal.policy.memory.batch_limit import BatchLimit
from currantdeal.policy.memory.waiters import WaitQueue

MAX_BACKLOG_S = 0.2
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, kw_only=True)
class LedgerLimits:
    """Capacity of an upstream.

    Parameters
    ----------
    pieces_total : int
        Pieces of decode memory.
    prefill_tokens_per_s : float
        Rate of prefill; 0 on an engine that only decodes.
    link_bytes_per_s : float
        Rate of its link; 0 if there is none to share.
    output_gap_s : float
        Target for the time between outputs, in seconds; 0 for no limit.
    max_backlog_s : float
        Prefill time and link time that may be granted ahead, in seconds.
    """

    pieces_total: int = 0
    prefill_tokens_per_s: float = 0.0
    link_bytes_per_s: float = 0.0
    output_gap_s: float = 0.0
    max_backlog_s: float = MAX_BACKLOG_S


@dataclass(frozen=True, kw_only=True)
class LedgerRequest:
    """Resources to reserve for a request.

    Parameters
    ----------
    entry : InstanceId
        The instance that serves the request.
    pieces : int
        Pieces for prompt and expected output.
    prefill_tokens : int
        Prompt tokens to compute, without those expected to be cached.
    kv_bytes : int
        Bytes to transfer over the link.
    hold_s : float
        Seconds for which the memory is expected to be held.
    lead_s : float
        Seconds from the grant until the memory is needed.
    """

    request_id: RequestId
    caller: CallerId
    entry: InstanceId
    pieces: int = 0
    prefill_tokens: int = 0
    kv_bytes: int = 0
    hold_s: float = 1.0
    lead_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class LedgerGrant:
    """A granted reservation.

    Parameters
    ----------
    start_in_s : float
        Seconds until the reserved work may start.
    ends_s : float
        Monotonic time at which the memory is expected to be released.
    """

    request: LedgerRequest
    pieces: int
    start_in_s: float
    ends_s: float


@dataclass(frozen=True, kw_only=True)
class LedgerRefusal:
    """Nothing was reserved; a retry may succeed after ``retry_after_s``."""

    retry_after_s: float


class Ledger:
    """Reservations of one upstream.

    Parameters
    ----------
    limits : LedgerLimits
        Capacity of the upstream.

    Examples
    --------
    >>> from currantdeal.policy import Ledger, LedgerLimits, LedgerRequest
    >>> ledger = Ledger(limits=LedgerLimits(pieces_total=100))
    >>> request = LedgerRequest(
    ...     request_id="r1", caller="c", entry="i1", pieces=60, hold_s=2.0)
    >>> ledger.reserve(request, now_s=0.0).pieces
    60
    >>> other = LedgerRequest(
    ...     request_id="r2", caller="c", entry="i1", pieces=60)
    >>> ledger.reserve(other, now_s=0.0)
    LedgerRefusal(retry_after_s=1.0)
    """

    def __init__(self, *, limits):
        """Create a ledger without reservations."""
        self._limits = limits
        self._grants = {}
        self._stalled = set()
        self._stream_count = 0
        self._wait_queue = WaitQueue()
        self._batch_limit = BatchLimit(target_s=limits.output_gap_s)
        self._pieces_used = 0
        self._prefill_until_s = 0.0
        self._link_until_s = 0.0

    @property
    def grants(self):
        """The grants in force, oldest first."""
        return tuple(self._grants.values())

    @property
    def pieces_free(self):
        """Pieces of memory that are not reserved."""
        return self._limits.pieces_total - self._pieces_used

    def record_report(self, *, running, step_s):
        """Record the batch size and step time that the engine reported."""
        self._batch_limit.observe(running=running, step_s=step_s)

    def reserve(self, request, *, now_s):
        """Return a ``LedgerGrant`` or a ``LedgerRefusal``.

        A request id that holds a grant gets the same grant again, so that a
        retry after a lost response does not reserve twice.
        """
        existing = self._grants.get(request.request_id)
        if existing is not None:
            return existing
        refusal = self._refusal(request, now_s)
        if refusal is not None:
            self._wait_queue.enqueue(
                request.request_id, request.caller, now_s=now_s
            )
            return refusal
        self._wait_queue.remove(request.request_id)
        self._wait_queue.charge(
            request.caller, self._cost_s(request), now_s=now_s
        )
        backlog_s = self._backlog_s(request, now_s)
        return self._grant(request, now_s, backlog_s)

    def grow(self, request_id, *, pieces):
        """Enlarge a grant; return whether there was memory for it.

        A stream that gets no more memory waits until other streams end.  It
        is not cancelled, because its prefill would be wasted, and no new
        request is granted memory before it.  Call ``victim`` after a refusal.
        """
        grant = self._grants.get(request_id)
        if grant is None:
            return False
        if pieces > self.pieces_free:
            self._stalled.add(request_id)
            return False
        self._stalled.discard(request_id)
        self._pieces_used += pieces
        self._grants[request_id] = replace(grant, pieces=grant.pieces + pieces)
        return True

    def victim(self):
        """Return the request to cancel to end a deadlock, or None.

        When every stream on an engine waits for memory, none of them ever
        ends.  The stream granted last is cancelled then, because it loses the
        least output.
        """
        holders = [
            name for name, grant in self._grants.items() if grant.pieces
        ]
        if holders and self._stalled.issuperset(holders):
            return holders[-1]
        return None

    def release(self, request_id):
        """Release a grant; an unknown request id has no effect.

        Returns
        -------
        LedgerGrant or None
            The grant that was in force, if any.
        """
        grant = self._grants.pop(request_id, None)
        self._stalled.discard(request_id)
        if grant is not None:
            self._pieces_used -= grant.pieces
            self._stream_count -= grant.request.pieces > 0
        return grant

    def release_entry(self, entry):
        """Release and return all grants of an entry whose lease expired."""
        names = [
            name
            for name, grant in self._grants.items()
            if grant.request.entry == entry
        ]
        return tuple(self.release(name) for name in names)

    def restore(self, request, *, now_s):
        """Restore a reservation granted earlier, here or by another home."""
        return self._grant(request, now_s, 0.0)

    def _refusal(self, request, now_s):
        if request.pieces and self._is_full(request.pieces):
            return _refusal_after(self._memory_wait_s(request.pieces, now_s))
        excess_s = self._backlog_s(request, now_s) - self._limits.max_backlog_s
        if excess_s > 0:
            return _refusal_after(excess_s)
        if not self._wait_queue.is_next(
            request.request_id, request.caller, now_s=now_s
        ):
            return _refusal_after(0.0)
        return None

    def _cost_s(self, request):
        total = max(1, self._limits.pieces_total)
        rate = self._limits.prefill_tokens_per_s
        prefill_s = request.prefill_tokens / rate if rate > 0 else 0.0
        return request.hold_s * request.pieces / total + prefill_s

    def _is_full(self, pieces):
        return (
            pieces > self.pieces_free
            or bool(self._stalled)
            or self._stream_count >= self._batch_limit.streams
        )

    def _memory_wait_s(self, pieces, now_s):
        free = self.pieces_free
        for grant in sorted(self._grants.values(), key=_end_time):
            free += grant.pieces
            if free >= pieces:
                return grant.ends_s - now_s
        return MAX_RETRY_AFTER_S

    def _backlog_s(self, request, now_s):
        prefill_s = link_s = 0.0
        if request.prefill_tokens:
            prefill_s = max(0.0, self._prefill_until_s - now_s)
        if request.kv_bytes:
            link_s = max(0.0, self._link_until_s - now_s - request.lead_s)
        return max(prefill_s, link_s)

    def _grant(self, request, now_s, start_in_s):
        self._reserve_prefill_and_link(request, now_s)
        self._pieces_used += request.pieces
        self._stream_count += request.pieces > 0
        grant = LedgerGrant(
            request=request,
            pieces=request.pieces,
            start_in_s=start_in_s,
            ends_s=now_s + start_in_s + request.lead_s + request.hold_s,
        )
        self._grants[request.request_id] = grant
        return grant

    def _reserve_prefill_and_link(self, request, now_s):
        rate = self._limits.prefill_tokens_per_s
        if request.prefill_tokens and rate > 0:
            start_s = max(now_s, self._prefill_until_s)
            self._prefill_until_s = start_s + request.prefill_tokens / rate
        rate = self._limits.link_bytes_per_s
        if request.kv_bytes and rate > 0:
            start_s = max(now_s + request.lead_s, self._link_until_s)
            self._link_until_s = start_s + request.kv_bytes / rate


def _end_time(grant):
    return grant.ends_s


def _refusal_after(retry_after_s):
    bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
    return LedgerRefusal(retry_after_s=bounded_s)
