"""The ledger of one upstream, kept by its home.

The load pattern is a peak at which decode memory is nearly full.  Entries
that each see lagged load send more prefills than the decode engine can take
up; their results expire within a second and the prefill is thrown away.  The
ledger is the one place where an engine's memory, its link and its prefill
time are given out, and it gives decode memory out before the prefill starts.

For a decode engine it keeps pieces of memory, and a reservation is granted
only when they are free now.  Booking ahead on memory that streams are
expected to give back was measured and dropped: output lengths scatter too
much, and at 1.5 times capacity a tenth of all prefills was wasted for no more
goodput.  Nor is memory kept back for streams that grow past what was
expected: keeping a twentieth or a tenth lowered goodput at capacity.

The number of streams is bounded too, so that a batch of many small requests
keeps the target between outputs.

For a prefill engine it keeps the time at which its queue of prefills ends,
and grants with the time until the own one may start.  A link is busy until
the last granted transfer ends.  Only a fifth of a second is granted ahead of
either, because decode memory is idle while its prefill waits; work waits in
the entries' queues instead, where its order can still change.

Grants are kept by entry.  An entry that is silent beyond its lease loses all
of them, and the home cancels their requests on the engine.
"""

from dataclasses import dataclass, replace

from currantdeal.core import CallerId, InstanceId, RequestId
from currantdeal.policy.batch_limit import BatchLimit
from currantdeal.policy.waiters import Waiters

MAX_BACKLOG_S = 0.2
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 1.0
UNKNOWN_WAIT_S = 60.0


@dataclass(frozen=True, kw_only=True)
class LedgerLimits:
    """What an upstream has to give.

    Parameters
    ----------
    pieces_total : int
        Pieces of memory for decoding.
    prefill_tokens_per_s : float
        Rate of prefill; 0 on an engine that only decodes.
    link_bytes_per_s : float
        Rate of its link; 0 when there is none to share.
    output_gap_s : float
        Longest time between outputs, in seconds; 0 for no bound.
    max_backlog_s : float
        Prefill time and link time that may be granted ahead, in seconds.
    """

    pieces_total: int = 0
    prefill_tokens_per_s: float = 0.0
    link_bytes_per_s: float = 0.0
    output_gap_s: float = 0.0
    max_backlog_s: float = MAX_BACKLOG_S


@dataclass(frozen=True, kw_only=True)
class Ask:
    """What a request wants to reserve.

    Parameters
    ----------
    entry : InstanceId
        The instance that serves the request.
    pieces : int
        Pieces for prompt and expected output.
    prefill_tokens : int
        Prompt tokens to compute, without those expected to be cached.
    kv_bytes : int
        Bytes that the link will carry.
    hold_s : float
        Seconds for which the memory is expected to be held.
    lead_s : float
        Seconds until the memory is needed, were the grant given now.
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
    """What was reserved.

    Parameters
    ----------
    start_in_s : float
        Seconds until the reserved work may start.
    ends_s : float
        Monotonic time at which the memory is expected back.
    """

    ask: Ask
    pieces: int
    start_in_s: float
    ends_s: float


@dataclass(frozen=True, kw_only=True)
class LedgerRefusal:
    """Nothing was reserved; it may work after some seconds."""

    retry_after_s: float


class Ledger:
    """Reservations of one upstream.

    Parameters
    ----------
    limits : LedgerLimits
        What the upstream has.

    Examples
    --------
    >>> from currantdeal.policy import Ask, Ledger, LedgerLimits
    >>> ledger = Ledger(limits=LedgerLimits(pieces_total=100))
    >>> ask = Ask(request_id="r1", caller="c", entry="i1", pieces=60,
    ...           hold_s=2.0)
    >>> ledger.reserve(ask, now_s=0.0).pieces
    60
    >>> other = Ask(request_id="r2", caller="c", entry="i1", pieces=60)
    >>> ledger.reserve(other, now_s=0.0)
    LedgerRefusal(retry_after_s=1.0)
    """

    def __init__(self, *, limits):
        """Start with nothing reserved."""
        self._limits = limits
        self._grants = {}
        self._stalled = set()
        self._streams = 0
        self._waiters = Waiters()
        self._batch = BatchLimit(target_s=limits.output_gap_s)
        self._used = 0
        self._prefill_until_s = 0.0
        self._link_until_s = 0.0

    @property
    def grants(self):
        """The grants in force, in the order in which they were given."""
        return tuple(self._grants.values())

    @property
    def pieces_free(self):
        """Pieces not reserved."""
        return self._limits.pieces_total - self._used

    def hear(self, *, running, step_s):
        """Take in the batch and the step time that the engine reported."""
        self._batch.observe(running=running, step_s=step_s)

    def reserve(self, ask, *, now_s):
        """Return a ``LedgerGrant`` or a ``LedgerRefusal``.

        A repeated request id gets its grant again, so that a resend after a
        lost answer reserves nothing twice.
        """
        known = self._grants.get(ask.request_id)
        if known is not None:
            return known
        refusal = self._refusal(ask, now_s)
        if refusal is not None:
            self._waiters.wait(ask.request_id, ask.caller, now_s=now_s)
            return refusal
        self._waiters.leave(ask.request_id)
        self._waiters.used(ask.caller, self._cost_s(ask), now_s=now_s)
        backlog_s = self._backlog_s(ask, now_s)
        return self._grant(ask, now_s, backlog_s)

    def grow(self, request_id, *, pieces):
        """Return whether a grant was enlarged.

        A stream that gets no more memory waits until others end.  It is not
        thrown away, because its prefill would be lost with it, and nobody
        else is granted memory before it.  Ask ``victim`` after a refusal.
        """
        grant = self._grants.get(request_id)
        if grant is None:
            return False
        if pieces > self.pieces_free:
            self._stalled.add(request_id)
            return False
        self._stalled.discard(request_id)
        self._used += pieces
        self._grants[request_id] = replace(grant, pieces=grant.pieces + pieces)
        return True

    def victim(self):
        """Return the request to cancel so that others can go on, or None.

        When every stream on an engine waits for memory, none will end and
        the engine stands still for good.  The latest one is given up then,
        because the least output is lost with it.
        """
        holders = [
            name for name, grant in self._grants.items() if grant.pieces
        ]
        if holders and self._stalled.issuperset(holders):
            return holders[-1]
        return None

    def release(self, request_id):
        """Take a grant back; unknown ones are fine.

        Returns
        -------
        LedgerGrant or None
            The grant that was in force.
        """
        grant = self._grants.pop(request_id, None)
        self._stalled.discard(request_id)
        if grant is not None:
            self._used -= grant.pieces
            self._streams -= grant.ask.pieces > 0
        return grant

    def drop_entry(self, entry):
        """Release and return all grants of an entry that fell silent."""
        names = [
            name
            for name, grant in self._grants.items()
            if grant.ask.entry == entry
        ]
        return tuple(self.release(name) for name in names)

    def adopt(self, ask, *, now_s):
        """Take in a reservation that another home granted before."""
        return self._grant(ask, now_s, 0.0)

    def _refusal(self, ask, now_s):
        if ask.pieces and self._is_full(ask.pieces):
            return _refused(self._memory_wait_s(ask.pieces, now_s))
        over_s = self._backlog_s(ask, now_s) - self._limits.max_backlog_s
        if over_s > 0:
            return _refused(over_s)
        if not self._waiters.is_next(ask.request_id, ask.caller, now_s=now_s):
            return _refused(0.0)
        return None

    def _cost_s(self, ask):
        total = max(1, self._limits.pieces_total)
        rate = self._limits.prefill_tokens_per_s
        prefill_s = ask.prefill_tokens / rate if rate > 0 else 0.0
        return ask.hold_s * ask.pieces / total + prefill_s

    def _is_full(self, pieces):
        return (
            pieces > self.pieces_free
            or bool(self._stalled)
            or self._streams >= self._batch.streams
        )

    def _memory_wait_s(self, pieces, now_s):
        usable = self.pieces_free
        for grant in sorted(self._grants.values(), key=_end):
            usable += grant.pieces
            if usable >= pieces:
                return grant.ends_s - now_s
        return MAX_RETRY_AFTER_S

    def _backlog_s(self, ask, now_s):
        prefill_s = link_s = 0.0
        if ask.prefill_tokens:
            prefill_s = max(0.0, self._prefill_until_s - now_s)
        if ask.kv_bytes:
            link_s = max(0.0, self._link_until_s - now_s - ask.lead_s)
        return max(prefill_s, link_s)

    def _grant(self, ask, now_s, start_in_s):
        self._book_time(ask, now_s)
        self._used += ask.pieces
        self._streams += ask.pieces > 0
        grant = LedgerGrant(
            ask=ask,
            pieces=ask.pieces,
            start_in_s=start_in_s,
            ends_s=now_s + start_in_s + ask.lead_s + ask.hold_s,
        )
        self._grants[ask.request_id] = grant
        return grant

    def _book_time(self, ask, now_s):
        rate = self._limits.prefill_tokens_per_s
        if ask.prefill_tokens and rate > 0:
            start_s = max(now_s, self._prefill_until_s)
            self._prefill_until_s = start_s + ask.prefill_tokens / rate
        rate = self._limits.link_bytes_per_s
        if ask.kv_bytes and rate > 0:
            start_s = max(now_s + ask.lead_s, self._link_until_s)
            self._link_until_s = start_s + ask.kv_bytes / rate


def _end(grant):
    return grant.ends_s


def _refused(after_s):
    bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, after_s))
    return LedgerRefusal(retry_after_s=bounded_s)
