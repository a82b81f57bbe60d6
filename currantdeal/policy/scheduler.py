"""From arrival to start: the decisions of one instance put together.

One scheduler serves one target (a model) at one instance.  The load pattern
is everything at once: a queue that grows, engines that are full, and callers
of different size.  Each of the other modules answers one part of that; this
one fixes the order in which they are asked, so that serving and the load
experiments run the same decisions.

``submit`` admits work or refuses it.  ``poll`` hands out plans for the work
whose turn it is, and gives up on work that can no longer be in time.  The
caller of the scheduler reserves what the plan asks for, decode first, tells
how that went by ``reserved`` or ``blocked``, and polls again.

Blocked work keeps its turn.  It is planned for up to three engines; when all
refuse, ``poll`` returns a ``Wait``, after which it is to be called again.
The work then waits for the engine that promised room first: it asks there
every 20 ms, by which it keeps its place at that engine's home, and looks at
one of the others in between.  Each caller has at most four such turns at a
time, so that a hot caller whose work waits for engines delays nobody else's,
and a home that does not answer delays only some of a caller's work.  Sixteen
turns in all bound what an entry asks of homes to some hundred reservations a
second.

Work is started only if its path to the first output, lengthened by 10%, and
by up to 30% for users who weigh waste, still ends before its deadline:
without that margin 1.6% of the prefills were wasted at 1.5 times capacity,
with 20% a tenth of that, for the same goodput.
"""

from collections import Counter

from currantdeal.core import Role
from currantdeal.policy.admission import Admission, Refused, StartRate
from currantdeal.policy.estimates import (
    STEP_S,
    Estimates,
    usual_prefill_s,
)
from currantdeal.policy.fair_queue import FairQueue, Queued
from currantdeal.policy.ledger import Ask
from currantdeal.policy.lengths import OutputLengths
from currantdeal.policy.load_view import LoadView
from currantdeal.policy.outliers import SlowUpstreams, slow_group
from currantdeal.policy.placement import Placement
from currantdeal.policy.plans import GiveUp, Plan, Wait
from currantdeal.policy.prefixes import PrefixHints
from currantdeal.policy.turns import PAUSE_S, Turn
from currantdeal.policy.weights import EVEN_WEIGHTS

MAX_TURNS = 16
MAX_TURNS_PER_CALLER = 4
SWEEP_S = 0.05
FAILED_S = 1.0
INITIAL_RATE = 50.0


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
        # An empty queue is falsy, so "queue or FairQueue()" would drop it and
        # with it the weights of the callers.
        self._queue = FairQueue() if queue is None else queue
        self._admission = admission or Admission(rng=rng, weights=weights)
        self._estimates = Estimates(
            lengths=lengths or OutputLengths(), weights=weights
        )
        self._hints = hints or PrefixHints()
        self._slow = slow or SlowUpstreams()
        self._placement = placement or Placement(
            rng=rng, hints=self._hints, slow=self._slow
        )
        self._load = LoadView(source=load)
        self._pools_of = pools
        self._rate = StartRate(initial=INITIAL_RATE)
        self._turns = {}
        self._failed_until_s = {}
        self._next_sweep_s = 0.0

    @property
    def waiting(self):
        """Number of pieces of work that have not been started."""
        return len(self._queue) + len(self._turns)

    @property
    def slow(self):
        """The ``SlowUpstreams`` in use."""
        return self._slow

    def submit(self, work, *, now_s):
        """Return ``Admitted`` or ``Refused`` for new work."""
        cost_s = self._estimates.cost_s(work)
        decision = self._admission.decide(
            time_left_s=work.deadline_s - now_s,
            cost_ahead_s=self._ahead_s(work),
            cost_s=cost_s,
            queued_s=self._queue.cost_s,
            rate_per_s=self._rate.per_s,
            path_s=self._estimates.path_s(work),
        )
        if not isinstance(decision, Refused):
            self._queue.push(work, cost_s=cost_s)
        return decision

    def poll(self, *, now_s):
        """Return the ``Plan``, ``Wait`` and ``GiveUp`` messages now due."""
        due = list(self._sweep(now_s))
        for turn in list(self._turns.values()):
            if turn.due_s is not None and turn.due_s <= now_s:
                due.append(self._take_turn(turn, now_s))
        while len(self._turns) < MAX_TURNS:
            queued = self._queue.pop(skip=self._busy_callers())
            if queued is None:
                break
            due.append(self._take_turn(Turn(queued=queued), now_s))
        return tuple(due)

    def reserved(self, plan, *, now_s):
        """Take in that all of a plan was reserved and its work starts."""
        turn = self._turns.pop(plan.work.request_id, None)
        if turn is None:
            return
        choice = plan.choice
        self._rate.record(
            cost_s=turn.queued.cost_s, now_s=now_s, waiting=self.waiting > 0
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
        turn = self._turns.get(plan.work.request_id)
        if turn is None:
            return
        turn.due_s = now_s
        if upstream_id == plan.choice.decode.upstream_id:
            turn.refused_by(upstream_id, retry_after_s, now_s)
        else:
            turn.refused_prefill(upstream_id, retry_after_s, now_s)

    def failed(self, upstream_id, *, now_s):
        """Take in that an upstream gave no answer; it is left out a while.

        A dead engine looks idle until its silence is noticed.  Without this
        a retry would go to it as likely as to a living one.
        """
        self._failed_until_s[upstream_id] = now_s + FAILED_S

    def cancel(self, request_id):
        """Forget waiting work whose caller is gone; return if it waited."""
        if self._turns.pop(request_id, None) is not None:
            return True
        return bool(self._queue.remove_if(lambda q: _id(q) == request_id))

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
        usual_s = usual_prefill_s(computed)
        group = slow_group(work, Role.PREFILL)
        self._slow.observe(group, upstream_id, taken_s / usual_s, now_s=now_s)

    def first_output(self, work, *, path_s):
        """Learn from the time between start and first output, in seconds."""
        self._estimates.learn_path(work, path_s)

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
        self._estimates.learn_output(work, tokens)
        if between_s > 0:
            group = slow_group(work, Role.DECODE)
            slowness = between_s / STEP_S
            self._slow.observe(group, upstream_id, slowness, now_s=now_s)

    def _busy_callers(self):
        turns = Counter(
            turn.queued.work.caller for turn in self._turns.values()
        )
        return {
            caller
            for caller, count in turns.items()
            if count >= MAX_TURNS_PER_CALLER
        }

    def _take_turn(self, turn, now_s):
        work = turn.queued.work
        if self._estimates.is_late(work, now_s):
            self._turns.pop(work.request_id, None)
            return self._give_up(work)
        self._turns[work.request_id] = turn
        plan = self._plan(turn, now_s) if turn.asks_left > 0 else None
        if plan is None:
            turn.pause(now_s)
            return Wait(work=work, delay_s=PAUSE_S)
        turn.asks_left -= 1
        turn.due_s = None
        return plan

    def _sweep(self, now_s):
        if now_s < self._next_sweep_s:
            return ()
        self._next_sweep_s = now_s + SWEEP_S
        late = self._queue.remove_if(
            lambda queued: self._estimates.is_late(queued.work, now_s)
        )
        return tuple(self._give_up(queued.work) for queued in late)

    def _give_up(self, work):
        wait_s = self._queue.cost_s / max(self._rate.per_s, 1e-6)
        refused = self._admission.give_up(wait_s=wait_s)
        return GiveUp(work=work, refused=refused)

    def _plan(self, turn, now_s):
        work = turn.queued.work
        pools = self._pools_of(work)
        expected = self._estimates.reserved_tokens(work)
        choice = self._placement.choose(
            work,
            prefills=pools.prefills,
            decodes=pools.decodes,
            load=self._load,
            tokens=work.prompt_tokens + expected,
            now_s=now_s,
            full=turn.full(now_s) | self._failed(now_s),
            wanted=turn.take_wanted(),
        )
        if choice is None:
            return None
        return self._asks(work, choice, expected, now_s)

    def _failed(self, now_s):
        for name, until_s in list(self._failed_until_s.items()):
            if until_s <= now_s:
                del self._failed_until_s[name]
        return self._failed_until_s.keys()

    def _asks(self, work, choice, expected, now_s):
        decode, prefill = choice.decode, choice.prefill
        step_s = self._load.get(decode.upstream_id, now_s=now_s).step_s
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
                hold_s=self._estimates.hold_s(work, step_s),
                **ask,
            ),
            prefill_ask=Ask(
                prefill_tokens=int(work.prompt_tokens - choice.cached_tokens),
                kv_bytes=kv_bytes,
                **ask,
            ),
        )

    def _ahead_s(self, work):
        turns_s = sum(
            turn.queued.cost_s
            for turn in self._turns.values()
            if turn.queued.work.caller == work.caller
        )
        return turns_s + self._queue.cost_ahead_s(work.caller)


def _id(queued: Queued):
    return queued.work.request_id
