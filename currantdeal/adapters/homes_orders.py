"""Carrying engine orders out, at the home of the engine."""

from currantdeal.membership import Phase
from currantdeal.state import OrderKind, OrderStatus

RETRY_S = 1.0
PATIENCE_S = 60.0
"""How long running work may delay an order that needs an idle engine."""

NEEDS_IDLE = (OrderKind.SET_ROLES, OrderKind.UNLOAD)
"""Orders under which running work would be cut off."""


class OrderDesk:
    """Orders of the engines whose home is here.

    Parameters
    ----------
    work : HomeWork
        Carries them.
    """

    def __init__(self, *, work):
        """Start without orders."""
        self._work = work
        self._busy = set()
        self._due_s = {}
        self._seen_s = {}
        self._unrecorded = {}

    def carry(self, state, book, now_s):
        """Start what can be started, in the order in which it was issued."""
        started = set()
        for number in sorted(state.orders):
            record = state.orders[number]
            if record.status is not OrderStatus.PENDING:
                self._forget(number)
                continue
            home = book.get(record.upstream_id)
            if home is None or home.phase is not Phase.OPEN:
                continue
            if record.upstream_id not in started:
                started.add(record.upstream_id)
                self._carry_one(home, record, now_s)

    def ended(self, message, book, now_s):
        """Take in how an order ended."""
        number = message.order_id
        self._busy.discard(number)
        self._due_s[number] = now_s + RETRY_S
        if message.status is None:
            return
        if message.recorded:
            self._reopen(book, message.upstream_id)
        else:
            self._unrecorded[number] = message

    def _carry_one(self, home, record, now_s):
        number = record.order_id
        seen_s = self._seen_s.setdefault(number, now_s)
        if number in self._busy or now_s < self._due_s.get(number, 0.0):
            return
        if number in self._unrecorded:
            self._busy.add(number)
            self._work.record_order(self._unrecorded[number])
            return
        if record.order.kind in NEEDS_IDLE:
            home.close(True)
            if not home.idle and now_s < seen_s + PATIENCE_S:
                return
        self._busy.add(number)
        self._work.carry_order(home, record)

    def _reopen(self, book, upstream_id):
        home = book.get(upstream_id)
        if home is not None:
            home.close(False)

    def _forget(self, number):
        self._seen_s.pop(number, None)
        self._due_s.pop(number, None)
        self._unrecorded.pop(number, None)
