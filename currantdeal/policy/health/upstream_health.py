"""Outlier detection and load balancing from the outcome of requests.

Load pattern: gray failure.  An upstream fails or delays requests while its
health checks pass.  Only the outcome of requests shows it.

An upstream that is unreachable or times out is ejected for a time that doubles
with each further failure.  One that sends no answers, but bytes that are none,
may pass its health checks; from its second failure in a row on, they do not
readmit it earlier.  Errors that it answers itself only raise its load
for the balancer, since all upstreams of a service answer some.
"""

import math

from currantdeal.policy.health.pace import Pace
from currantdeal.policy.placement.distance import split_by_distance

NEVER_S = -math.inf

BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0

SMOOTHING = 0.2
"""Weight of the newest outcome in the moving average of errors."""

ERROR_WEIGHT = 3.0
"""Load that an error rate of 1 adds, as a multiple of a full upstream."""

MAX_REPORT_AGE_S = 1.0
"""Age up to which a load reported by the upstream is used."""

UNRESPONSIVE_S = 1.0
"""Time for which an upstream that timed out is reported to other entries."""

RECENT_CONTACT_S = 1.0
"""Time after an answer for which an upstream is taken to be reachable."""

DEFAULT_FULL_WAIT_S = 0.2
"""Wait that a full upstream stands for if the target is unknown."""

BUSY_LOAD = 0.5
"""Load from which an upstream is busy; a nearly full one slows down."""


class _UpstreamState:
    def __init__(self):
        self.outstanding = 0
        self.error_rate = 0.0
        self.failures = 0
        self.ejected_until_s = 0.0
        self.held_until_s = 0.0
        self.unresponsive_until_s = NEVER_S
        self.last_answer_s = NEVER_S
        self.contact_s = NEVER_S
        self.reported = 0
        self.reported_s = NEVER_S
        self.pace = Pace()


class UpstreamHealth:
    """Health and load of each upstream, as one entry observes them.

    Examples
    --------
    >>> health = UpstreamHealth()
    >>> health.eject("u1", now_s=0.0)
    0.5
    >>> health.is_ejected("u1", now_s=0.4), health.is_ejected("u1", now_s=0.6)
    (True, False)
    """

    def __init__(self):
        """Start without observations."""
        self._states = {}

    def request_started(self, upstream):
        """Record that a request was sent to an upstream."""
        self._state_of(upstream).outstanding += 1

    def request_ended(self, upstream):
        """Record the end of a request that was sent to an upstream."""
        self._state_of(upstream).outstanding -= 1

    def outstanding(self, upstream):
        """Return the number of this entry's open requests at an upstream."""
        return self._state_of(upstream).outstanding

    def record_answer(self, upstream, *, error, now_s=NEVER_S):
        """Record an answer and readmit the upstream if it was ejected.

        Parameters
        ----------
        error : bool
            Whether the upstream answered with an error.
        now_s : float
            Time of the answer; without it, ``last_answer_s`` stays as it is.
        """
        state = self._state_of(upstream)
        state.last_answer_s = max(state.last_answer_s, now_s)
        state.unresponsive_until_s = NEVER_S
        state.failures = 0
        state.ejected_until_s = state.held_until_s = 0.0
        state.error_rate += SMOOTHING * (float(error) - state.error_rate)

    def record_contact(self, upstream, *, now_s):
        """Record that an upstream has just answered any call."""
        self._state_of(upstream).contact_s = now_s

    def was_reached(self, upstream, *, now_s):
        """Return whether an upstream answered within ``RECENT_CONTACT_S``."""
        return now_s - self._state_of(upstream).contact_s <= RECENT_CONTACT_S

    def contact_age_s(self, upstream, *, now_s):
        """Return the seconds since its last answer; None before the first."""
        contact_s = self._state_of(upstream).contact_s
        return None if contact_s == NEVER_S else round(now_s - contact_s, 3)

    def last_answer_s(self, upstream):
        """Return the time of the last answer recorded with a time."""
        return self._state_of(upstream).last_answer_s

    def eject(self, upstream, *, now_s, grace_s=0.0, is_malformed=False):
        """Eject an upstream that refused a connection or did not answer.

        Returns the time after which to retry it, in seconds.

        Parameters
        ----------
        grace_s : float
            Time beyond that for which it stays ejected unless it answers.
        is_malformed : bool
            Whether it sent bytes that are no answer.
        """
        state = self._state_of(upstream)
        pause_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0**state.failures)
        if is_malformed and state.failures:
            state.held_until_s = now_s + pause_s
        state.failures += 1
        state.ejected_until_s = now_s + pause_s + grace_s
        return pause_s

    def record_timeout(self, upstream, *, now_s):
        """Record a timeout without ejection; the upstream may only be busy."""
        state = self._state_of(upstream)
        state.unresponsive_until_s = now_s + UNRESPONSIVE_S

    def unresponsive(self, *, now_s):
        """Return upstreams that timed out recently and did not answer since.

        Each is listed for ``UNRESPONSIVE_S`` after its last timeout.
        """
        return tuple(
            name
            for name, state in self._states.items()
            if now_s < state.unresponsive_until_s
        )

    def readmit(self, upstream):
        """Readmit an ejected upstream that answers health checks again."""
        state = self._state_of(upstream)
        state.ejected_until_s = state.held_until_s

    def absolve(self, upstream):
        """Readmit an upstream whose failures were those of its link."""
        self._state_of(upstream).failures = 0
        self.readmit(upstream)

    def record_load(self, upstream, requests, *, now_s, pace=None):
        """Record the load that an upstream reported.

        Parameters
        ----------
        requests : int
            Its running and waiting requests.
        pace : float or None
            Time that work takes there now, as a multiple of the usual, if it
            reported that, too.
        """
        state = self._state_of(upstream)
        state.reported = requests
        state.reported_s = now_s
        if pace is not None:
            state.pace.record(pace, now_s=now_s)

    def is_ejected(self, upstream, *, now_s):
        """Return whether an upstream is ejected now."""
        return now_s < self._state_of(upstream).ejected_until_s

    def ejected_until_s(self, upstream):
        """Return the time until which an upstream is ejected."""
        return self._state_of(upstream).ejected_until_s

    def ejected(self, *, now_s):
        """Return the names of the upstreams that are ejected now."""
        return tuple(
            name
            for name, state in self._states.items()
            if now_s < state.ejected_until_s
        )

    def load(self, upstream, slots, *, now_s):
        """Return the estimated share of busy slots plus the error penalty.

        The larger of this entry's open requests and a recent report counts.
        Where work takes longer than usual, they count for more in proportion.
        """
        state = self._state_of(upstream)
        requests = state.outstanding
        if now_s - state.reported_s <= MAX_REPORT_AGE_S:
            requests = max(requests, state.reported)
        pace = state.pace.value(now_s=now_s)
        busy = requests * pace
        return busy / max(1, slots) + ERROR_WEIGHT * state.error_rate

    def pace(self, upstream, *, now_s):
        """Return how long work takes at an upstream; 1 as usual."""
        return self._state_of(upstream).pace.value(now_s=now_s)

    def has_room(self, record, *, now_s):
        """Return whether an upstream is reachable and not busy."""
        if self.is_ejected(record.upstream, now_s=now_s):
            return False
        load = self.load(record.upstream, record.slots, now_s=now_s)
        return load < BUSY_LOAD

    def _state_of(self, upstream):
        return self._states.setdefault(upstream, _UpstreamState())


def order_upstreams(
    records,
    health,
    *,
    distance,
    random,
    now_s,
    is_unreachable=lambda upstream: False,
    full_wait_s=DEFAULT_FULL_WAIT_S,
    may_leave=None,
):
    """Return upstreams in the order in which to try them.

    Ejected upstreams come last instead of being left out: when all upstreams
    of a service are ejected, a failed attempt costs less than a refusal.

    Parameters
    ----------
    records : iterable of UpstreamRecord
        The upstreams of one service that accept requests.
    health : UpstreamHealth
        Health and load of the upstreams.
    distance : callable
        Seconds that the way to the upstream of a record costs.
    is_unreachable : callable
        Whether other entries report an upstream, by its name.  It comes last
        like an ejected one.
    full_wait_s : float
        Wait for a slot that a full upstream stands for; it relates load and
        distance.
    may_leave : callable or None
        Whether farther upstreams may come first, see
        ``LeaveGate.may_leave``.
    """
    by_name = {record.upstream: record for record in records}
    ejected = {
        name
        for name in by_name
        if health.is_ejected(name, now_s=now_s) or is_unreachable(name)
    }
    distances = {n: distance(record) for n, record in by_name.items()}
    costs_s = {
        name: distances[name]
        + full_wait_s * health.load(name, record.slots, now_s=now_s)
        for name, record in by_name.items()
    }
    near, away = split_by_distance(
        [name for name in by_name if name not in ejected], distances.get
    )
    slots = max((record.slots for record in by_name.values()), default=1)
    stays = may_leave is not None and not may_leave(
        [costs_s[name] for name in near],
        [costs_s[name] for name in away],
        # A full upstream of one slot must not keep a request.
        unit_s=full_wait_s / max(2, slots),
        unreported=0.0,
    )

    def key(name):
        return (
            name in ejected,
            stays and name not in near,
            costs_s[name],
            distances[name],
            health.pace(name, now_s=now_s),
            random.random(),
        )

    return [by_name[name] for name in sorted(by_name, key=key)]
