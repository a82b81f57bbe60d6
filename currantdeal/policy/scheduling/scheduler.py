"""Schedule the requests of one instance, from admission to start.

Load pattern: sustained overload with a growing queue, full engines, and
callers that send very different amounts of work.  One scheduler serves one
target (a model) at one instance.  The other modules of this package each make
one kind of decision; the scheduler fixes the order in which they are applied,
so that the server and the load experiments make the same decisions.

``submit`` admits or refuses work.  ``poll`` returns plans for the work that
is dispatched next, and gives up work that can no longer meet its deadline.
The caller of the scheduler makes the reservations of a plan, decode engine
first, reports the result with ``record_reserved`` or ``record_refusal``, and
polls again.

Refused work stays dispatched.  It is planned for up to three engines; when
all of them refuse, ``poll`` returns a ``Wait``, after which the caller polls
again.  From then on the work waits for the engine that announced free memory
soonest: it requests a reservation there every 20 ms, which keeps its place in
the wait queue of that engine's home, and tries one of the other engines in
between.  Each caller has at most four such dispatches at a time, so that a hot
caller whose work waits for engines does not delay other callers, and a home
that does not respond delays only a part of a caller's work.  The limit of
sixteen dispatches in all bounds the load of one entry on the homes to some
hundred reservations a second.

Work is started only if its predicted time to first output, plus a safety
margin of 10%, or up to 30% for users who give more weight to wasted prefill,
still ends before the deadline.  Without a margin 1.6% of the prefills are
wasted at 1.5 times capacity, with 20% a tenth of that, for the same goodput.
"""

from collections import Counter

from currantdeal.core import Role
from currantdeal.policy.health.outliers import OutlierDetector, peer_group
from currantdeal.policy.load.load_view import LoadView
from currantdeal.policy.memory.ledger import LedgerRequest
from currantdeal.policy.placement.placement import Placement
from currantdeal.policy.placement.prefix_hints import PrefixHints
from currantdeal.policy.scheduling.admission import (
    Admission,
    Refused,
    StartRate,
)
from currantdeal.policy.scheduling.dispatch import RETRY_INTERVAL_S, Dispatch
from currantdeal.policy.scheduling.estimates import (
    DEFAULT_STEP_S,
    Estimates,
    unloaded_prefill_s,
)
from currantdeal.policy.scheduling.fair_queue import FairQueue, Queued
from currantdeal.policy.scheduling.lengths import OutputLengths
from currantdeal.policy.scheduling.plans import GiveUp, Plan, Wait
from currantdeal.policy.scheduling.weights import EVEN_WEIGHTS

MAX_DISPATCHES = 16
MAX_DISPATCHES_PER_CALLER = 4
EXPIRY_CHECK_S = 0.05
FAILURE_COOLDOWN_S = 1.0
INITIAL_START_RATE = 50.0


class Scheduler:
    """Schedules the work of one target at one instance.

    Parameters
    ----------
    entry : InstanceId
        The instance that serves the requests.
    rng : random.Random
        Source of all randomness in the decisions.
    load : callable
        Maps an upstream id to its last ``LoadReport`` or None.
    pools : callable
        Maps work to the ``Pools`` that the selectors allow for it.
    weights : UserWeights
        The user's weights of goodput and wasted prefill.
    queue, admission, lengths, hints, outliers, placement : optional
        Components that replace the default ones.

    Examples
    --------
    >>> from random import Random
    >>> from currantdeal.core import Work, WorkKind
    >>> from currantdeal.policy import Pools, Scheduler
    >>> scheduler = Scheduler(
    ...     entry="i1", rng=Random(1), load=lambda name: None,
    ...     pools=lambda work: Pools(prefills=(), decodes=()))
    >>> work = Work(request_id="r", caller="c", kind=WorkKind.CHAT,
    ...             target="m", region="r1", prompt_tokens=800)
    >>> round(scheduler.submit(work, now_s=0.0).predicted_s, 2)
    0.12
    >>> [message.delay_s for message in scheduler.poll(now_s=0.0)]
    [0.02]
    """

    def __init__(
        self,
        *,
        entry,
        rng,
        load,
        pools,
        weights=EVEN_WEIGHTS,
        queue=None,
        admission=None,
        lengths=None,
        hints=None,
        outliers=None,
        placement=None,
    ):
        """Create the components that are not given."""
        self._entry = entry
        # An empty queue is falsy: "queue or FairQueue()" would replace it,
        # and the weights of the callers would be lost.
        self._queue = FairQueue() if queue is None else queue
        self._admission = admission or Admission(rng=rng, weights=weights)
        self._estimates = Estimates(
            lengths=lengths or OutputLengths(), weights=weights
        )
        self._hints = hints or PrefixHints()
        self._outliers = outliers or OutlierDetector()
        self._placement = placement or Placement(
            rng=rng, hints=self._hints, outliers=self._outliers
        )
        self._load = LoadView(source=load)
        self._pools_of = pools
        self._start_rate = StartRate(initial=INITIAL_START_RATE)
        self._dispatches = {}
        self._failed_until_s = {}
        self._next_expiry_check_s = 0.0

    @property
    def waiting(self):
        """Number of work items that have not been started."""
        return len(self._queue) + len(self._dispatches)

    @property
    def outliers(self):
        """The outlier detector (``OutlierDetector``) in use."""
        return self._outliers

    def submit(self, work, *, now_s):
        """Return ``Admitted`` or ``Refused`` for new work."""
        cost_s = self._estimates.cost_s(work)
        decision = self._admission.decide(
            time_left_s=work.deadline_s - now_s,
            cost_ahead_s=self._cost_ahead_s(work),
            cost_s=cost_s,
            queued_s=self._queue.cost_s,
            rate_per_s=self._start_rate.per_s,
            first_output_s=self._estimates.first_output_s(work),
        )
        if not isinstance(decision, Refused):
            self._queue.push(work, cost_s=cost_s)
        return decision

    def poll(self, *, now_s):
        """Return the ``Plan``, ``Wait`` and ``GiveUp`` messages now due."""
        due = list(self._expire_queued(now_s))
        for dispatch in list(self._dispatches.values()):
            if dispatch.due_s is not None and dispatch.due_s <= now_s:
                due.append(self._dispatch(dispatch, now_s))
        while len(self._dispatches) < MAX_DISPATCHES:
            queued = self._queue.pop(skip=self._callers_at_limit())
            if queued is None:
                break
            due.append(self._dispatch(Dispatch(queued=queued), now_s))
        return tuple(due)

    def record_reserved(self, plan, *, now_s):
        """Record that all of a plan was reserved and its work starts."""
        dispatch = self._dispatches.pop(plan.work.request_id, None)
        if dispatch is None:
            return
        choice = plan.choice
        self._start_rate.record(
            cost_s=dispatch.queued.cost_s,
            now_s=now_s,
            waiting=self.waiting > 0,
        )
        self._load.record_reservation(
            choice.decode.upstream_id,
            pieces=plan.decode_request.pieces,
            tokens=0,
            now_s=now_s,
        )
        self._load.record_reservation(
            choice.prefill.upstream_id,
            pieces=0,
            tokens=plan.prefill_request.prefill_tokens,
            now_s=now_s,
        )
        self._hints.record(
            choice.prefill.upstream_id, plan.work.prefix_keys, now_s=now_s
        )

    def record_refusal(self, plan, upstream_id, *, retry_after_s, now_s):
        """Record that a home refused one of a plan's reservations."""
        dispatch = self._dispatches.get(plan.work.request_id)
        if dispatch is None:
            return
        dispatch.due_s = now_s
        if upstream_id == plan.choice.decode.upstream_id:
            dispatch.record_decode_refusal(upstream_id, retry_after_s, now_s)
        else:
            dispatch.record_prefill_refusal(upstream_id, retry_after_s, now_s)

    def record_failure(self, upstream_id, *, now_s):
        """Record that an upstream did not respond; exclude it for a time.

        A dead engine looks idle until its missing reports are noticed.
        Without the exclusion, a retry would choose it as often as a healthy
        engine.
        """
        self._failed_until_s[upstream_id] = now_s + FAILURE_COOLDOWN_S

    def cancel(self, request_id):
        """Remove work whose caller disconnected; return whether it waited."""
        if self._dispatches.pop(request_id, None) is not None:
            return True
        return bool(self._queue.remove_if(lambda q: _id(q) == request_id))

    def record_prefill(
        self, work, upstream_id, *, cached_tokens, duration_s, now_s
    ):
        """Record the result and duration of a prefill.

        Parameters
        ----------
        cached_tokens : int
            Leading tokens that the engine had cached.
        duration_s : float
            Time from sending the request to its result, in seconds.
        """
        if work.prefix_keys and not cached_tokens:
            self._hints.forget(upstream_id, work.prefix_keys)
        self._hints.record(upstream_id, work.prefix_keys, now_s=now_s)
        computed = max(0, work.prompt_tokens - cached_tokens)
        unloaded_s = unloaded_prefill_s(computed)
        group = peer_group(work, Role.PREFILL)
        self._outliers.observe(
            group, upstream_id, duration_s / unloaded_s, now_s=now_s
        )

    def record_first_output(self, work, *, first_output_s):
        """Record the time between start and first output, in seconds."""
        self._estimates.observe_first_output(work, first_output_s)

    def record_output(self, work, upstream_id, *, tokens, output_gap_s, now_s):
        """Record the length and speed of a complete answer.

        Parameters
        ----------
        upstream_id : UpstreamId
            The decode engine.
        tokens : int
            Output tokens.
        output_gap_s : float
            Mean time between outputs, in seconds; 0 with fewer than two
            outputs.
        """
        self._estimates.observe_output(work, tokens)
        if output_gap_s > 0:
            group = peer_group(work, Role.DECODE)
            slowness = output_gap_s / DEFAULT_STEP_S
            self._outliers.observe(group, upstream_id, slowness, now_s=now_s)

    def _callers_at_limit(self):
        dispatches = Counter(
            dispatch.queued.work.caller
            for dispatch in self._dispatches.values()
        )
        return {
            caller
            for caller, count in dispatches.items()
            if count >= MAX_DISPATCHES_PER_CALLER
        }

    def _dispatch(self, dispatch, now_s):
        work = dispatch.queued.work
        if self._estimates.would_miss_deadline(work, now_s):
            self._dispatches.pop(work.request_id, None)
            return self._give_up(work)
        self._dispatches[work.request_id] = dispatch
        plan = (
            self._plan(dispatch, now_s) if dispatch.attempts_left > 0 else None
        )
        if plan is None:
            dispatch.pause(now_s)
            return Wait(work=work, delay_s=RETRY_INTERVAL_S)
        dispatch.attempts_left -= 1
        dispatch.due_s = None
        return plan

    def _expire_queued(self, now_s):
        if now_s < self._next_expiry_check_s:
            return ()
        self._next_expiry_check_s = now_s + EXPIRY_CHECK_S
        expired = self._queue.remove_if(
            lambda queued: self._estimates.would_miss_deadline(
                queued.work, now_s
            )
        )
        return tuple(self._give_up(queued.work) for queued in expired)

    def _give_up(self, work):
        wait_s = self._queue.cost_s / max(self._start_rate.per_s, 1e-6)
        refused = self._admission.refuse_expired(wait_s=wait_s)
        return GiveUp(work=work, refused=refused)

    def _plan(self, dispatch, now_s):
        work = dispatch.queued.work
        pools = self._pools_of(work)
        expected = self._estimates.reserved_tokens(work)
        choice = self._placement.choose(
            work,
            prefills=pools.prefills,
            decodes=pools.decodes,
            load=self._load,
            tokens=work.prompt_tokens + expected,
            now_s=now_s,
            excluded=dispatch.recently_refused(now_s)
            | self._failed_upstreams(now_s),
            preferred=dispatch.take_preferred(),
        )
        if choice is None:
            return None
        return self._build_plan(work, choice, expected, now_s)

    def _failed_upstreams(self, now_s):
        for name, until_s in list(self._failed_until_s.items()):
            if until_s <= now_s:
                del self._failed_until_s[name]
        return self._failed_until_s.keys()

    def _build_plan(self, work, choice, expected, now_s):
        decode, prefill = choice.decode, choice.prefill
        step_s = self._load.get(decode.upstream_id, now_s=now_s).step_s
        kv_bytes = work.prompt_tokens * prefill.kv_bytes_per_token
        common = {
            "request_id": work.request_id,
            "caller": work.caller,
            "entry": self._entry,
            "lead_s": choice.prefill_s + choice.transfer_s,
        }
        tokens = work.prompt_tokens + expected
        return Plan(
            work=work,
            output_tokens=expected,
            choice=choice,
            decode_request=LedgerRequest(
                pieces=-(-tokens // decode.tokens_per_piece),
                kv_bytes=kv_bytes,
                hold_s=self._estimates.hold_s(work, step_s),
                **common,
            ),
            prefill_request=LedgerRequest(
                prefill_tokens=int(work.prompt_tokens - choice.cached_tokens),
                kv_bytes=kv_bytes,
                **common,
            ),
        )

    def _cost_ahead_s(self, work):
        dispatched_s = sum(
            dispatch.queued.cost_s
            for dispatch in self._dispatches.values()
            if dispatch.queued.work.caller == work.caller
        )
        return dispatched_s + self._queue.cost_ahead_s(work.caller)


def _id(queued: Queued):
    return queued.work.request_id
