"""Policy of one instance, shared by the threads that serve its requests.

The modules of ``currantdeal.policy`` know no threads; the actor lets one
request after the other ask them.  Each question takes some microseconds.
"""

from dataclasses import dataclass

import pykka

from currantdeal.core import Upstream
from currantdeal.policy import (
    EVEN_WEIGHTS,
    Choice,
    OutputLengths,
    Placement,
    PrefixHints,
    RetryBudget,
    SlowUpstreams,
)

RESERVED_QUANTILE = 0.5
CAUTIOUS_QUANTILE = 0.4
"""Share of answers that end within what is reserved: half of them, and up to
nine in ten where wasted prefill weighs most."""

USUAL_STEP_S = 0.02
"""Time between outputs of a moderately busy engine, in seconds."""

USUAL_BATCH = 8
USUAL_PREFILL_TOKENS_PER_S = 8_000.0


@dataclass(frozen=True, kw_only=True)
class Need:
    """What a request is expected to take.

    Parameters
    ----------
    output_tokens : int
        Output tokens to reserve memory for.
    cost_s : float
        Engine time, in seconds.
    path_s : float
        Time from the start to the first output, in seconds.
    hold_s : float
        Time for which decode memory is held, in seconds.
    """

    output_tokens: int
    cost_s: float
    path_s: float
    hold_s: float


@dataclass(frozen=True, kw_only=True)
class Speed:
    """How fast an upstream was.

    Parameters
    ----------
    slowness : float
        Time taken over time predicted.
    """

    upstream: Upstream
    slowness: float


class Decisions(pykka.ThreadingActor):
    """Placement, learned lengths and retries.

    Parameters
    ----------
    clock : Clock
        Time of the decisions.
    rng : random.Random
        Chance in them.
    load : callable
        From an upstream id to its last ``LoadReport`` or None.
    weights : policy.UserWeights
        What the user weighs more.
    """

    use_daemon_thread = True

    def __init__(self, *, clock, rng, load, weights=EVEN_WEIGHTS):
        """Start with nothing learned."""
        super().__init__()
        self._clock = clock
        self._load = load
        self._quantile = (
            RESERVED_QUANTILE + CAUTIOUS_QUANTILE * weights.caution
        )
        self._hints = PrefixHints()
        self._slow = SlowUpstreams()
        self._lengths = OutputLengths()
        self._retries = RetryBudget(rng=rng)
        self._placement = Placement(
            rng=rng, hints=self._hints, slow=self._slow
        )
        self._reports = {}

    def need(self, work):
        """Return the ``Need`` of a request, and earn for its retries."""
        self._retries.record_try()
        tokens = self._lengths.expected(
            caller=work.caller,
            kind=work.kind,
            max_output_tokens=work.max_output_tokens,
            quantile=self._quantile,
        )
        prefill_s = work.prompt_tokens / USUAL_PREFILL_TOKENS_PER_S
        decode_s = tokens * USUAL_STEP_S
        return Need(
            output_tokens=tokens,
            cost_s=prefill_s + decode_s / USUAL_BATCH,
            path_s=prefill_s + USUAL_STEP_S,
            hold_s=decode_s,
        )

    def choose(self, work, *, prefills, decodes, pieces) -> Choice | None:
        """Return where a request should go, or None without engines."""
        return self._placement.choose(
            work,
            prefills=prefills,
            decodes=decodes,
            load=self._load_of,
            pieces=pieces,
            now_s=self._clock.monotonic_s(),
        )

    def order_services(self, upstreams):
        """Return services, those that answer fast and are idle first."""
        now_s = self._clock.monotonic_s()

        def burden(upstream):
            report = self._load(upstream.upstream_id)
            waiting = report.running + report.queued if report else 0
            out = self._slow.is_out(
                upstream.roles, upstream.upstream_id, now_s=now_s
            )
            return (out, waiting)

        return sorted(upstreams, key=burden)

    def may_retry(self, work, *, ran, attempts):
        """Return the budget's ``RetryDecision`` on a failed attempt."""
        return self._retries.decide(
            ran=ran,
            idempotent=work.idempotent,
            attempts=attempts,
            time_left_s=work.deadline_s - self._clock.monotonic_s(),
        )

    def learn_prefill(self, upstream, work, *, cached_tokens, slowness):
        """Take in where a prompt was computed, and how fast."""
        now_s = self._clock.monotonic_s()
        if not cached_tokens:
            self._hints.forget(upstream.upstream_id, work.prefix_keys)
        self._hints.learn(upstream.upstream_id, work.prefix_keys, now_s=now_s)
        self.learn_speed(Speed(upstream=upstream, slowness=slowness))

    def learn_output(self, work, tokens):
        """Take in the length of one whole answer."""
        self._lengths.observe(
            caller=work.caller, kind=work.kind, tokens=tokens
        )

    def learn_speed(self, speed):
        """Take in how fast an upstream was."""
        self._slow.observe(
            speed.upstream.roles,
            speed.upstream.upstream_id,
            speed.slowness,
            now_s=self._clock.monotonic_s(),
        )

    def _load_of(self, upstream_id):
        report = self._load(upstream_id)
        if report is not None and report != self._reports.get(upstream_id):
            self._reports[upstream_id] = report
            self._hints.learn(
                upstream_id,
                report.cached_prefixes,
                now_s=self._clock.monotonic_s(),
            )
        return report
