"""From arrival to start: the decisions of one instance put together.

One scheduler serves one target (a model) at one instance.  The load pattern
is everything at once: a queue that grows, engines that are full, and callers
of different size.  Each of the other modules answers one part of that; this
one fixes the order in which they are asked, so that serving and the load
experiments run the same decisions.

``submit`` admits work or refuses it.  ``poll`` hands out plans for the work
whose turn it is, and gives up on work that can no longer be in time.  The
caller of the scheduler reserves what the plan asks for, decode first, tells
how that went by ``reserved`` or ``blocked``, and polls again.  Blocked work
keeps its turn: it is planned again at once for another engine, before
anything behind it, and when every engine is full ``poll`` returns a ``Wait``,
after which it is to be called again.  At most four plans are out at once,
because more would turn the queue's order into a race between reservations; a
reservation takes one round trip, about 25 ms between regions, so four plans
still start 160 requests a second.
"""

from collections import deque
from dataclasses import dataclass

from currantdeal.core import Role, Upstream, Work
from currantdeal.policy.admission import Admission, Refused, StartRate
from currantdeal.policy.fair_queue import FairQueue, Queued
from currantdeal.policy.ledger import Ask
from currantdeal.policy.lengths import OutputLengths
from currantdeal.policy.load_view import LoadView
from currantdeal.policy.outliers import SlowUpstreams, slow_group
from currantdeal.policy.placement import Choice, Placement
from currantdeal.policy.prefixes import PrefixHints
from currantdeal.policy.weights import EVEN_WEIGHTS

MAX_PLANS = 4
MIN_QUANTILE = 0.7
CAUTIOUS_QUANTILE = 0.2
DEFAULT_STEP_S = 0.02
DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
RATIO_SMOOTHING = 0.1
MAX_RATIO = 4.0
SWEEP_S = 0.05
FULL_RETRY_S = 0.02
FAILED_S = 1.0
USUAL_PREFILL_S = 0.01
INITIAL_RATE = 50.0


@dataclass(frozen=True, kw_only=True)
class Pools:
    """Upstreams that the selectors allow for a target, by role.

    The tuples should stay the same objects while nothing changes.
    """

    prefills: tuple[Upstream, ...]
    decodes: tuple[Upstream, ...]


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Work whose turn it is, and what to reserve for it.

    Parameters
    ----------
    decode_ask, prefill_ask : Ask
        Reserved in this order at the homes of the chosen engines.
    output_tokens : int
        Output tokens that the decode memory is meant for.
    """

    work: Work
    output_tokens: int
    choice: Choice
    decode_ask: Ask
    prefill_ask: Ask


@dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Work that waited and can no longer be in time; it did not run."""

    work: Work
    refused: Refused


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Work whose turn it is while every engine is full; poll again later."""

    work: Work
    delay_s: float


class Scheduler:
    """Decides for one target at one instance.

    Parameters
    ----------
    entry : InstanceId
        The instance.
    rng : random.Random
        All chance in the decisions.
    load : callable
        From an upstream id to its last ``LoadReport`` or None.
    pools : callable
        From work to the ``Pools`` that the selectors allow for it.
    weights : UserWeights
        What the user weighs more.
    queue, admission, lengths, hints, slow, placement : optional
        Parts to use in place of the usual ones.

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
        slow=None,
        placement=None,
    ):
        """Build the parts that are not given."""
        self._entry = entry
        self._quantile = MIN_QUANTILE + CAUTIOUS_QUANTILE * weights.caution
        self._queue = queue or FairQueue()
        self._admission = admission or Admission(rng=rng, weights=weights)
        self._lengths = lengths or OutputLengths()
        self._hints = hints or PrefixHints()
        self._slow = slow or SlowUpstreams()
        self._placement = placement or Placement(
            rng=rng, hints=self._hints, slow=self._slow
        )
        self._load = LoadView(source=load)
        self._pools_of = pools
        self._rate = StartRate(initial=INITIAL_RATE)
        self._blocked = deque()
        self._plans = {}
        self._path_ratio = 1.0
        self._next_sweep_s = 0.0

    @property
    def waiting(self):
        """Number of pieces of work that have not been started."""
        return len(self._queue) + len(self._blocked) + len(self._plans)

    @property
    def slow(self):
        """The ``SlowUpstreams`` in use."""
        return self._slow

    def submit(self, work, *, now_s):
        """Return ``Admitted`` or ``Refused`` for new work."""
        cost_s = self._cost_s(work)
        decision = self._admission.decide(
            time_left_s=work.deadline_s - now_s,
            cost_ahead_s=self._ahead_s(work),
            cost_s=cost_s,
            queued_s=self._queue.cost_s,
            rate_per_s=self._rate.per_s,
            path_s=self._path_s(work),
        )
        if not isinstance(decision, Refused):
            self._queue.push(work, cost_s=cost_s)
        return decision

    def poll(self, *, now_s):
        """Return the ``Plan``, ``Wait`` and ``GiveUp`` messages now due."""
        due = list(self._sweep(now_s))
        while len(self._plans) < MAX_PLANS:
            queued = self._next(now_s)
            if queued is None:
                break
            message = self._turn(queued, now_s)
            due.append(message)
            if isinstance(message, Wait):
                break
        return tuple(due)

    def reserved(self, plan, *, now_s):
        """Take in that all of a plan was reserved and its work starts."""
        queued = self._plans.pop(plan.work.request_id, None)
        if queued is None:
            return
        choice = plan.choice
        self._rate.record(
            cost_s=queued.cost_s, now_s=now_s, waiting=self.waiting > 0
        )
        self._load.sent(
            choice.decode.upstream_id,
            pieces=plan.decode_ask.pieces,
            tokens=0,
            now_s=now_s,
        )
        self._load.sent(
            choice.prefill.upstream_id,
            pieces=0,
            tokens=plan.prefill_ask.prefill_tokens,
            now_s=now_s,
        )
        self._hints.learn(
            choice.prefill.upstream_id, plan.work.prefix_keys, now_s=now_s
        )

    def blocked(self, plan, upstream_id, *, retry_after_s, now_s):
        """Take in that a home refused a part of a plan."""
        queued = self._plans.pop(plan.work.request_id, None)
        self._load.refused(upstream_id, until_s=now_s + retry_after_s)
        if queued is not None:
            self._blocked.append((now_s, queued))

    def failed(self, upstream_id, *, now_s):
        """Take in that an upstream gave no answer; it is left out a while.

        A dead engine looks idle until its silence is noticed.  Without this
        a retry would go to it as likely as to a living one.
        """
        self._load.refused(upstream_id, until_s=now_s + FAILED_S)

    def cancel(self, request_id):
        """Forget waiting work whose caller is gone; return if it waited."""
        if self._plans.pop(request_id, None) is not None:
            return True
        kept = [it for it in self._blocked if _id(it[1]) != request_id]
        was_blocked = len(kept) < len(self._blocked)
        self._blocked = deque(kept)
        removed = self._queue.remove_if(lambda q: _id(q) == request_id)
        return was_blocked or bool(removed)

    def prefilled(self, work, upstream_id, *, cached_tokens, taken_s, now_s):
        """Learn from a prefill.

        Parameters
        ----------
        cached_tokens : int
            Leading tokens that the engine did not have to compute.
        taken_s : float
            Time from sending to the result, in seconds.
        """
        if work.prefix_keys and not cached_tokens:
            self._hints.forget(upstream_id, work.prefix_keys)
        self._hints.learn(upstream_id, work.prefix_keys, now_s=now_s)
        computed = max(0, work.prompt_tokens - cached_tokens)
        usual_s = USUAL_PREFILL_S + computed / DEFAULT_PREFILL_TOKENS_PER_S
        group = slow_group(work, Role.PREFILL)
        self._slow.observe(group, upstream_id, taken_s / usual_s, now_s=now_s)

    def first_output(self, work, *, path_s):
        """Learn from the time between start and first output, in seconds."""
        ratio = min(MAX_RATIO, path_s / _ideal_path_s(work))
        self._path_ratio += RATIO_SMOOTHING * (ratio - self._path_ratio)

    def finished(self, work, upstream_id, *, tokens, between_s, now_s):
        """Learn from a whole answer.

        Parameters
        ----------
        upstream_id : UpstreamId
            The decode engine.
        tokens : int
            Output tokens.
        between_s : float
            Mean time between outputs, in seconds; 0 when there were fewer
            than two.
        """
        self._lengths.observe(
            caller=work.caller, kind=work.kind, tokens=tokens
        )
        if between_s > 0:
            group = slow_group(work, Role.DECODE)
            slowness = between_s / DEFAULT_STEP_S
            self._slow.observe(group, upstream_id, slowness, now_s=now_s)

    def _turn(self, queued, now_s):
        work = queued.work
        if self._is_late(work, now_s):
            return self._give_up(work)
        plan = self._plan(work, now_s)
        if plan is None:
            self._blocked.append((now_s + FULL_RETRY_S, queued))
            return Wait(work=work, delay_s=FULL_RETRY_S)
        self._plans[work.request_id] = queued
        return plan

    def _next(self, now_s):
        if not self._blocked:
            return self._queue.pop()
        if self._blocked[0][0] > now_s:
            return None
        return self._blocked.popleft()[1]

    def _sweep(self, now_s):
        if now_s < self._next_sweep_s:
            return ()
        self._next_sweep_s = now_s + SWEEP_S
        late = self._queue.remove_if(
            lambda queued: self._is_late(queued.work, now_s)
        )
        return tuple(self._give_up(queued.work) for queued in late)

    def _is_late(self, work, now_s):
        return now_s + self._path_s(work) > work.deadline_s

    def _give_up(self, work):
        wait_s = self._queue.cost_s / max(self._rate.per_s, 1e-6)
        refused = self._admission.give_up(wait_s=wait_s)
        return GiveUp(work=work, refused=refused)

    def _plan(self, work, now_s):
        pools = self._pools_of(work)
        expected = self._expected(work, self._quantile)
        choice = self._placement.choose(
            work,
            prefills=pools.prefills,
            decodes=pools.decodes,
            load=self._load,
            tokens=work.prompt_tokens + expected,
            now_s=now_s,
        )
        if choice is None or choice.full:
            return None
        return self._asks(work, choice, expected, now_s)

    def _asks(self, work, choice, expected, now_s):
        decode, prefill = choice.decode, choice.prefill
        step_s = self._load.get(decode.upstream_id, now_s=now_s).step_s
        median = self._expected(work, 0.5)
        kv_bytes = work.prompt_tokens * prefill.kv_bytes_per_token
        ask = {
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
            decode_ask=Ask(
                pieces=-(-tokens // decode.tokens_per_piece),
                kv_bytes=kv_bytes,
                hold_s=median * (step_s or DEFAULT_STEP_S),
                **ask,
            ),
            prefill_ask=Ask(
                prefill_tokens=int(work.prompt_tokens - choice.cached_tokens),
                kv_bytes=kv_bytes,
                **ask,
            ),
        )

    def _expected(self, work, quantile):
        return self._lengths.expected(
            caller=work.caller,
            kind=work.kind,
            max_output_tokens=work.max_output_tokens,
            quantile=quantile,
        )

    def _cost_s(self, work):
        prefill_s = work.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_S
        decode_s = self._expected(work, 0.5) * DEFAULT_STEP_S
        return prefill_s + decode_s

    def _ahead_s(self, work):
        blocked_s = sum(queued.cost_s for _, queued in self._blocked)
        return blocked_s + self._queue.cost_ahead_s(work.caller)

    def _path_s(self, work):
        return self._path_ratio * _ideal_path_s(work)


def _ideal_path_s(work):
    prefill_s = work.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_S
    return prefill_s + DEFAULT_STEP_S


def _id(queued: Queued):
    return queued.work.request_id
