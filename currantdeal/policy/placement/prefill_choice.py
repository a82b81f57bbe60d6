"""Choice between a prefill engine and local prefill at the decode engine.

Load pattern: burst of prompts at a pool with few prefill engines.  Prompts
queue; an unresponsive prefill engine is the extreme case.  A decode engine can
prefill a prompt itself, more slowly and between the tokens of its streams: a
short prompt lengthens one pause of each stream, a long one makes the streams
late.  So decode engines prefill short prompts as soon as prompts queue, and
only long prompts wait in the queue.
"""

from dataclasses import dataclass
from functools import partial

from currantdeal.policy.placement.distance import (
    order_by_leaving,
    split_by_distance,
)
from currantdeal.policy.placement.power_of_choices import (
    order_groups_by_choices,
)

JITTER_S = 0.03
"""Random part of an estimate, so that entries choose different engines."""

SUSPECT_DELAY_S = 0.3
"""Delay added to an engine that several entries could not reach."""

DEFAULT_S_PER_TOKEN = 1 / 30_000
"""Time to prefill a token until one is measured."""

LOCAL_SLOWDOWN = 2.0
"""Factor by which a decode engine prefills more slowly than a prefill one."""

SAVED_TRANSFER_S = 0.1
"""Time of a KV cache transfer, which local prefill saves."""

MAX_PAUSE_SHARE = 0.75
"""Share of the gap target that local prefill may take between two events."""

MAX_QUEUE_SHARE = 0.25
"""Share of the time left that a prompt may wait in a queue."""

TIMEOUT_FACTOR = 2.0
"""Multiple of the expected time after which a prefill engine times out."""

TIMEOUT_MARGIN_S = 0.3
"""Time added to it, for queued prompts that are not in the sums yet."""

MAX_TIMEOUT_S = 1.6
"""Longest timeout of a prefill; the reservation expires after 2 s."""


@dataclass(frozen=True, kw_only=True)
class PromptEstimate:
    """Expected time until a prefill engine has prefilled a prompt.

    Parameters
    ----------
    upstream : str
        Name of the engine.
    expected_s : float
        Seconds until the prompt is prefilled, network delays included.
    """

    upstream: str
    expected_s: float


def estimate_prefill(
    upstreams,
    *,
    tokens,
    backlog,
    distance,
    is_suspect,
    random,
    s_per_token,
    unreported=0.0,
    connect_s=None,
    may_leave=None,
    slowdown=None,
):
    """Return estimates for prefill engines in the order to try them.

    Parameters
    ----------
    upstreams : iterable of str
        Names of the engines.
    tokens : int
        Size of the prompt.
    backlog : callable
        Prompt tokens that an engine has yet to prefill.
    distance : callable
        Seconds that the way to an engine and the KV cache transfer cost.
    is_suspect : callable
        Whether several entries could not reach an engine.
    random : random.Random
        Source of the jitter and of the random groups.
    s_per_token : float or None
        Measured time to prefill a token.
    unreported : float
        Prompts of other entries that are not in the backlogs yet.
    connect_s : callable or None
        Seconds until there is a connection to an engine.
    may_leave : callable or None
        Whether the prompt may be sent to farther engines, see
        ``LeaveGate.may_leave``.
    slowdown : callable or None
        Time that work takes at an engine, as a multiple of the pool's.

    Examples
    --------
    >>> from random import Random
    >>> found = estimate_prefill(
    ...     ["p1", "p2"], tokens=3000, backlog={"p1": 6000, "p2": 0}.get,
    ...     distance=lambda u: 0, is_suspect=lambda u: False,
    ...     random=Random(1), s_per_token=3e-5)
    >>> [estimate.upstream for estimate in found]
    ['p2', 'p1']
    """
    token_s = s_per_token or DEFAULT_S_PER_TOKEN

    def expected_s(upstream):
        prefill_s = (backlog(upstream) + tokens) * token_s
        if slowdown is not None:
            prefill_s *= slowdown(upstream)
        suspect_s = SUSPECT_DELAY_S if is_suspect(upstream) else 0.0
        network_s = distance(upstream)
        if connect_s is not None:
            network_s += connect_s(upstream)
        return prefill_s + network_s + suspect_s

    found = {
        name: PromptEstimate(upstream=name, expected_s=expected_s(name))
        for name in upstreams
    }
    suspects = [name for name in found if is_suspect(name)]
    near, away = split_by_distance(
        [name for name in found if name not in suspects], distance
    )
    leaves = may_leave is None or may_leave(
        [found[name].expected_s for name in near],
        [found[name].expected_s for name in away],
        unit_s=tokens * token_s,
        unreported=unreported,
    )
    order = partial(
        order_groups_by_choices,
        cost=lambda name: found[name].expected_s,
        random=random,
        unreported=unreported,
        jitter=JITTER_S,
        # With near and far engines, each group of choices is one of each.
        min_group_size=1 if near and away and leaves else 2,
    )
    names = order_by_leaving([near], [away], order, may_leave=leaves)
    return [found[name] for name in (*names, *order([suspects]))]


def local_prefill_s(tokens, s_per_token, *, slowdown=1.0):
    """Return the seconds in which a decode engine prefills a prompt.

    Parameters
    ----------
    slowdown : float
        Time that work takes at that engine, as a multiple of its pool's.

    Examples
    --------
    >>> local_prefill_s(3000, 3e-5)
    0.18
    """
    token_s = s_per_token or DEFAULT_S_PER_TOKEN
    return LOCAL_SLOWDOWN * tokens * token_s * slowdown


def prefers_local_prefill(
    best, *, tokens, s_per_token, time_left_s, gap_target_s, slowdown=1.0
):
    """Return whether the decode engine should prefill a prompt itself.

    It should if there is no prefill engine, or if the prompt would wait long
    in the queue of the best one while local prefill is fast enough for the
    prompt's own target and for the pauses of the engine's other streams.

    Parameters
    ----------
    best : PromptEstimate or None
        Estimate of the prefill engine that would be used; None without one.
    tokens : int
        Size of the prompt.
    s_per_token : float or None
        Measured time in which a prefill engine prefills a token.
    time_left_s : float
        Seconds in which the prompt must be prefilled for the first event to
        be in time.
    gap_target_s : float
        Longest pause of the engine's other streams that is in time; 0 if
        there is no target.
    slowdown : float
        As for ``local_prefill_s``.

    Examples
    --------
    >>> queue = PromptEstimate(upstream="p1", expected_s=0.7)
    >>> prefers_local_prefill(queue, tokens=3000, s_per_token=3e-5,
    ...                     time_left_s=0.5, gap_target_s=0.3)
    True
    >>> prefers_local_prefill(queue, tokens=6000, s_per_token=3e-5,
    ...                     time_left_s=0.5, gap_target_s=0.3)
    False
    """
    if best is None:
        return True
    local_s = local_prefill_s(tokens, s_per_token, slowdown=slowdown)
    if local_s > time_left_s + SAVED_TRANSFER_S:
        return False
    if gap_target_s and local_s > MAX_PAUSE_SHARE * gap_target_s:
        return False
    queue_s = best.expected_s - local_s / LOCAL_SLOWDOWN / slowdown
    return queue_s > MAX_QUEUE_SHARE * time_left_s


def prefill_timeout_s(best, *, tokens, s_per_token, time_left_s, slowdown=1.0):
    """Return the timeout of a prefill at a prefill engine, in seconds.

    An unresponsive engine keeps its connections open and sends nothing.
    Waiting for it until the reservation expires makes the first event late,
    but a timeout of an engine that is only busy prefills the prompt twice.  So
    the timeout is short only where the decode engine can then still prefill
    the prompt in time.

    Examples
    --------
    >>> best = PromptEstimate(upstream="p1", expected_s=0.1)
    >>> round(prefill_timeout_s(best, tokens=2000, s_per_token=3e-5,
    ...                         time_left_s=0.7), 2)
    0.5
    >>> prefill_timeout_s(best, tokens=6000, s_per_token=3e-5,
    ...                   time_left_s=0.7)
    1.6
    """
    timeout_s = TIMEOUT_FACTOR * best.expected_s + TIMEOUT_MARGIN_S
    local_s = local_prefill_s(tokens, s_per_token, slowdown=slowdown)
    latest_s = time_left_s + SAVED_TRANSFER_S - local_s
    if timeout_s > latest_s:
        return MAX_TIMEOUT_S
    return timeout_s
