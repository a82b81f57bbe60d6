"""Schedules the requests to upstreams that limit their rate.

Load pattern: brownout.  An upstream in need names the rate of requests that
it takes from all entries together.  Shares of that rate for each entry would
refuse callers who are spread unevenly, and free use until entries have
exchanged their sums would exceed it.  So one owner assigns a slot to each
request; the slots of an upstream are the inverse of its rate apart.

A caller that is refused gets a slot booked for its return, so that its
retry-after holds.  Only every second slot is booked: new callers, who can
still be served in time, keep the others.

A new owner does not know what the one before granted.  Its slots begin after
the last one that the other can have granted, so that the rate holds over a
change of owners.
"""

import math
from collections import deque
from dataclasses import dataclass

MAX_DELAY_S = 0.5
"""Longest time from a grant until its slot."""

OPEN_S = 0.4
"""Time from an ask in which its grant must be received, or it is lost."""

CATCH_UP_S = 0.5
"""Age up to which a slot that nobody used can still be granted."""

RETURN_GRACE_S = 0.5
"""Lateness up to which a booked slot is kept for its caller."""

SLOTS_PER_BOOKING = 2

MIN_RATE_PER_S = 0.1
"""Lowest rate that is scheduled.

An upstream that got no requests could not state that it takes some again.
"""

MAX_IDLE_S = 60.0
"""Time without asks after which the schedule of an upstream is dropped."""


@dataclass(frozen=True, kw_only=True)
class LimitAsk:
    """An entry asks for a slot at one of several upstreams.

    Parameters
    ----------
    rates_per_s : dict
        Limit of each upstream by its name, in the order of preference.
    caller : bytes
        Equal for all attempts of the same request of a caller.
    wait_s : float
        Longest time until the slot.
    return_s : float
        Longest retry-after that the caller waits for; 0 to book no slot.
    """

    rates_per_s: dict[str, float]
    caller: bytes = b""
    wait_s: float = 0.0
    return_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class LimitGrant:
    """The owner's answer to a ``LimitAsk``.

    Parameters
    ----------
    upstream : str
        Upstream to which the request may be sent; empty if it is refused.
    delay_s : float
        Time until it may be sent.
    retry_after_s : float
        Time until a slot, if it is refused.
    """

    upstream: str = ""
    delay_s: float = 0.0
    retry_after_s: float = 0.0


class LimitOwner:
    """Assigns slots of all upstreams with a limit.

    Earlier owners must have stopped to grant before it is opened.

    Parameters
    ----------
    opened_s : float
        Time at which it is opened.

    Examples
    --------
    >>> owner = LimitOwner(opened_s=0.0)
    >>> ask = LimitAsk(rates_per_s={"u1": 2.0}, caller=b"a", return_s=1.0)
    >>> [owner.admit(ask, now_s=9.0).upstream for _ in range(2)]
    ['u1', '']
    >>> owner.admit(ask, now_s=9.1).retry_after_s
    0.4
    >>> owner.admit(LimitAsk(rates_per_s={"u1": 2.0}), now_s=9.5).upstream
    ''
    >>> owner.admit(ask, now_s=9.5).upstream
    'u1'
    """

    def __init__(self, *, opened_s):
        """Start without schedules."""
        self._first_slot_s = opened_s + MAX_DELAY_S
        self._schedules = {}
        self._swept_s = opened_s

    def admit(self, ask, *, now_s):
        """Return the ``LimitGrant`` for an ask.

        The earliest slot is granted, and of those that are due the one at the
        upstream that is preferred.
        """
        self._drop_idle(now_s)
        schedules = [
            (self._schedule(upstream, rate_per_s, now_s), upstream)
            for upstream, rate_per_s in ask.rates_per_s.items()
        ]
        if not schedules:
            return LimitGrant()
        delays_s = [
            max(0.0, schedule.next_slot_s(ask.caller, now_s) - now_s)
            for schedule, _ in schedules
        ]
        delay_s = min(delays_s)
        if delay_s <= min(ask.wait_s, MAX_DELAY_S):
            schedule, upstream = schedules[delays_s.index(delay_s)]
            schedule.take(ask.caller, now_s)
            return LimitGrant(upstream=upstream, delay_s=delay_s)
        if not ask.return_s:
            return LimitGrant(retry_after_s=delay_s)
        return LimitGrant(retry_after_s=_book(schedules, ask, now_s))

    def _schedule(self, upstream, rate_per_s, now_s):
        schedule = self._schedules.get(upstream)
        if schedule is None:
            schedule = _Schedule(first_slot_s=max(now_s, self._first_slot_s))
            self._schedules[upstream] = schedule
        schedule.update(rate_per_s, now_s)
        return schedule

    def _drop_idle(self, now_s):
        if now_s - self._swept_s < MAX_IDLE_S:
            return
        self._swept_s = now_s
        for upstream, schedule in tuple(self._schedules.items()):
            if now_s - schedule.asked_s > MAX_IDLE_S:
                del self._schedules[upstream]


def _book(schedules, ask, now_s):
    """Book the earliest slot for a caller, and return the time until it."""
    schedule = min(
        (schedule for schedule, _ in schedules),
        key=lambda s: s.booking_s(ask.caller, now_s),
    )
    after_s = schedule.booking_s(ask.caller, now_s) - now_s
    if after_s <= ask.return_s:
        schedule.book(ask.caller, now_s)
    # Rounded up to a millisecond, but not for an error of the subtraction.
    return math.ceil(round(max(0.0, after_s) * 1e3, 3)) / 1e3


class _Schedule:
    """Slots of one upstream.

    Free slots are assigned in their order.  A booked slot takes the place of
    the free one at its time.
    """

    def __init__(self, *, first_slot_s):
        self.asked_s = first_slot_s
        self._interval_s = math.inf
        self._free_s = first_slot_s
        self._booked_s = {}
        self._last_booked_s = -math.inf
        self._not_yet_passed = deque()

    def update(self, rate_per_s, now_s):
        """Use a rate from now on, and drop bookings that no longer hold."""
        self.asked_s = now_s
        interval_s = 1.0 / max(MIN_RATE_PER_S, rate_per_s)
        if interval_s > self._interval_s:
            # They are closer to each other than the lower rate allows.
            self._drop_bookings()
        self._interval_s = interval_s
        self._free_s = max(self._free_s, now_s - CATCH_UP_S)
        if self._booked_s:
            self._drop_old_bookings(now_s)
        self._pass_booked()

    def next_slot_s(self, caller, now_s):
        """Return the earliest slot that a caller may use."""
        return min(self._usable_booking(caller, now_s)[1], self._free_s)

    def take(self, caller, now_s):
        """Use the slot that ``next_slot_s`` returns."""
        holder, slot_s = self._usable_booking(caller, now_s)
        if slot_s <= self._free_s:
            del self._booked_s[holder]
            return
        self._free_s += self._interval_s
        self._pass_booked()

    def booking_s(self, caller, now_s):
        """Return the slot that is, or would be, booked for a caller."""
        booked_s = self._booked_s.get(caller)
        if booked_s is not None and booked_s > now_s:
            return booked_s
        pause_s = SLOTS_PER_BOOKING * self._interval_s
        return max(self._free_s, self._last_booked_s + pause_s)

    def book(self, caller, now_s):
        """Book the slot that ``booking_s`` returns."""
        slot_s = self.booking_s(caller, now_s)
        if self._booked_s.get(caller) != slot_s:
            self._booked_s[caller] = slot_s
            self._last_booked_s = slot_s
            self._not_yet_passed.append(slot_s)
            self._pass_booked()

    def _drop_bookings(self):
        self._booked_s.clear()
        self._not_yet_passed.clear()
        self._last_booked_s = -math.inf

    def _drop_old_bookings(self, now_s):
        oldest_s = now_s - RETURN_GRACE_S - CATCH_UP_S
        for caller, slot_s in tuple(self._booked_s.items()):
            if slot_s >= oldest_s:
                # Bookings are in the order of their slots.
                return
            del self._booked_s[caller]

    def _usable_booking(self, caller, now_s):
        """Return holder and slot of a booking that a caller may use."""
        if caller in self._booked_s:
            return caller, self._booked_s[caller]
        for holder, slot_s in self._booked_s.items():
            if slot_s < now_s - RETURN_GRACE_S:
                return holder, slot_s
        return None, math.inf

    def _pass_booked(self):
        while (
            self._not_yet_passed
            and self._not_yet_passed[0] < self._free_s + self._interval_s
        ):
            self._not_yet_passed.popleft()
            self._free_s += self._interval_s
