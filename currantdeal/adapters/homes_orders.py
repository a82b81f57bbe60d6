"""Executes engine orders at the home of the engine."""

from currantdeal.membership import Phase
from currantdeal.state import OrderKind, OrderStatus

RETRY_S = 1.0
IDLE_WAIT_S = 60.0
"""Longest delay of an order that waits for the engine to become idle."""

NEEDS_IDLE = (OrderKind.SET_ROLES, OrderKind.UNLOAD)
"""Kinds of orders that would interrupt running requests."""


class OrderExecutor:
    """Executes the orders of the engines whose home is this instance.

    Parameters
    ----------
    work : HomeWork
        Sends the orders to engines and records the results.
    """

    def __init__(self, *, work):
        """Start with no orders."""
        self._work = work
        self._running = set()
        self._due_s = {}
        self._first_seen_s = {}
        self._unrecorded = {}

    def start_due(self, state, home_registry, now_s):
        """Start the orders that can run, in order of issue for each engine."""
        started = set()
        for number in sorted(state.orders):
            record = state.orders[number]
            if record.status is not OrderStatus.PENDING:
                self._forget(number)
                continue
            home = home_registry.get(record.upstream_id)
            if home is None or home.phase is not Phase.OPEN:
                continue
            if record.upstream_id not in started:
                started.add(record.upstream_id)
                self._start_one(home, record, now_s)

    def ended(self, message, home_registry, now_s):
        """Process the result of an order."""
        number = message.order_id
        self._running.discard(number)
        self._due_s[number] = now_s + RETRY_S
        if message.status is None:
            return
        if message.recorded:
            self._reopen(home_registry, message.upstream_id)
        else:
            self._unrecorded[number] = message

    def _start_one(self, home, record, now_s):
        number = record.order_id
        first_seen_s = self._first_seen_s.setdefault(number, now_s)
        if number in self._running or now_s < self._due_s.get(number, 0.0):
            return
        if number in self._unrecorded:
            self._running.add(number)
            self._work.record_order(self._unrecorded[number])
            return
        if record.order.kind in NEEDS_IDLE:
            home.pause_reservations(True)
            if not home.idle and now_s < first_seen_s + IDLE_WAIT_S:
                return
        self._running.add(number)
        self._work.execute_order(home, record)

    def _reopen(self, home_registry, upstream_id):
        home = home_registry.get(upstream_id)
        if home is not None:
            home.pause_reservations(False)

    def _forget(self, number):
        self._first_seen_s.pop(number, None)
        self._due_s.pop(number, None)
        self._unrecorded.pop(number, None)
