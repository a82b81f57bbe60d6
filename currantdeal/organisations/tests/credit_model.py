"""Model of owners and entries that use a quota, without network or time.

Each action of a schedule happens at its time.  Messages are delayed, lost or
delivered after their call has timed out; entries and owners end, and entries
are paused with credit in hand.
"""

from dataclasses import dataclass

from currantdeal.organisations import (
    CreditAsk,
    CreditOwner,
    CreditPool,
    Organisation,
    Quota,
    QuotaMargin,
)

CALL_TIMEOUT_S = 1.0
NAME = "bakery"
MARGIN = QuotaMargin(window_s=8.0, overshoot=0.1, slack=400.0)
QUOTA = Quota(rate_per_s=100.0, burst=100.0)
LIMIT = 1.1 * (100.0 * 8.0 + 100.0) + 400.0


@dataclass(frozen=True, kw_only=True)
class Delay:
    """Times that one call takes, in seconds; None if the message is lost."""

    ask_s: float
    answer_s: float | None


class ModelEntry:
    """An entry with a reserve and at most one call at a time."""

    def __init__(self, name):
        """Start without credit."""
        self.name = name
        self.pool = CreditPool()
        self.paused_until_s = 0.0
        self.waiting = []
        self.calls = 0
        self.is_calling = False


class CreditModel:
    """Runs asks and records when credit was used."""

    def __init__(
        self, *, entries, margin=MARGIN, quota=QUOTA, window_s=MARGIN.window_s
    ):
        """Open the first owner at time 0."""
        self._window_s = window_s
        self.now_s = 0.0
        self.used = []
        self.asked_by = {}
        self.used_by = {}
        self.refused = 0
        self._margin = margin
        self._quota = quota
        self.entries = [ModelEntry(f"e{n}") for n in range(entries)]
        self._pending = []
        self._epoch = 0
        self.owner = None
        self._notice = (0, 0.0, {})
        self.elect(wait_s=0.0)

    def elect(self, *, wait_s):
        """Replace the owner; there is none until ``wait_s`` has passed."""
        self._epoch += 1
        epoch, received_s, grants = self._notice
        inherited = {
            name: tuple((received_s - age_s, units) for age_s, units in found)
            for name, found in grants.items()
            if epoch == self._epoch - 1
        }
        self.owner = CreditOwner(
            epoch=self._epoch,
            margin=self._margin,
            opened_s=self.now_s + wait_s,
            inherited=inherited,
        )
        organisation = Organisation(name=NAME, quota=self._quota)
        self.owner.update((organisation,), now_s=self.now_s)

    def publish(self):
        """Have the owner state its grants to its possible successors."""
        if self.owner.opened_s <= self.now_s:
            grants = self.owner.grants(now_s=self.now_s)
            self._notice = (self._epoch, self.now_s, grants)

    def advance(self, seconds):
        """Let time pass, and deliver what is due."""
        until_s = self.now_s + seconds
        while due := [p for p in self._pending if p[0] <= until_s]:
            first = min(due, key=lambda p: p[0])
            self._pending.remove(first)
            self.now_s = max(self.now_s, first[0])
            first[1]()
        self.now_s = until_s

    def request(
        self, entry, cost, *, delay, keeps=True, held_s=0.0, urgency=None
    ):
        """Send a request; one that is not kept gives its credit back.

        Credit is held for some time before it is used or given back.
        """
        if self.now_s < entry.paused_until_s:
            return
        self.asked_by[urgency] = self.asked_by.get(urgency, 0) + cost
        if entry.pool.take(cost, now_s=self.now_s):
            self._use(cost, urgency)
            return
        entry.waiting.append((cost, keeps, held_s, urgency))
        if not entry.is_calling:
            self._call(entry, delay)

    def restart(self, number):
        """End an entry with all its credit; another takes its place."""
        self.entries[number] = ModelEntry(f"e{number}+{self.now_s}")

    def worst_window(self):
        """Return the largest use in any window."""
        window_s = self._window_s
        return max(
            (
                sum(c for t, c in self.used if s <= t <= s + window_s)
                for s, _ in self.used
            ),
            default=0.0,
        )

    def _call(self, entry, delay):
        entry.calls += 1
        entry.is_calling = True
        waiting, entry.waiting = entry.waiting, []
        needs, keeps, held_s, urgencies = zip(*waiting, strict=True)
        ask = entry.pool.ask(
            NAME,
            needs,
            urgencies=() if None in urgencies else urgencies,
            now_s=self.now_s,
        )
        call = _Call(
            entry=entry,
            number=entry.calls,
            ask=ask,
            keeps=keeps,
            held_s=held_s,
            urgencies=urgencies,
            sent_s=self.now_s,
            delay=delay,
        )
        self._later(delay.ask_s, lambda: self._on_ask(call))
        self._later(CALL_TIMEOUT_S, lambda: self._on_end(call))

    def _later(self, seconds, work):
        self._pending.append((self.now_s + seconds, work))

    def _on_end(self, call):
        """Give up a call that was not answered."""
        if call.entry.calls == call.number:
            call.entry.is_calling = False

    def _on_ask(self, call):
        owner = self.owner
        if owner.opened_s > self.now_s:
            return
        grant = owner.grant(
            call.entry.name,
            call.ask,
            entries=len(self.entries),
            now_s=self.now_s,
        )
        if call.delay.answer_s is not None:
            self._later(
                call.delay.answer_s,
                lambda: self._on_grant(call, grant, owner.epoch),
            )

    def _on_grant(self, call, grant, epoch):
        entry = call.entry
        if entry not in self.entries:
            return
        if self.now_s < entry.paused_until_s:
            # The process reads the answer once it runs again.
            self._later(
                entry.paused_until_s - self.now_s,
                lambda: self._on_grant(call, grant, epoch),
            )
            return
        if not entry.is_calling or entry.calls != call.number:
            return
        entry.is_calling = False
        entry.pool.fill(grant, epoch=epoch, sent_s=call.sent_s)
        is_open = self.now_s < call.sent_s + grant.open_s
        for cost, granted, keeps, held_s, urgency in zip(
            call.ask.needs,
            grant.granted,
            call.keeps,
            call.held_s,
            call.urgencies,
            strict=True,
        ):
            until_s = call.sent_s + grant.open_s
            if not granted:
                self.refused += 1
            elif is_open and keeps and held_s:
                self._later(held_s, self._use_before(until_s, entry, cost))
            elif is_open and keeps:
                self._use(cost, urgency)
            else:
                back = self._give_back(entry, cost, grant.granted_s, epoch)
                self._later(held_s, back)

    def _use(self, cost, urgency):
        self.used.append((self.now_s, cost))
        self.used_by[urgency] = self.used_by.get(urgency, 0) + cost

    def _give_back(self, entry, cost, granted_s, epoch):
        def give_back():
            entry.pool.give_back(cost, granted_s=granted_s, epoch=epoch)

        return give_back

    def _use_before(self, until_s, entry, cost):
        def use():
            if entry in self.entries and self.now_s < until_s:
                self._use(cost, None)

        return use


@dataclass(frozen=True, kw_only=True)
class _Call:
    """One call of an entry to the owner."""

    entry: ModelEntry
    number: int
    ask: CreditAsk
    keeps: tuple
    held_s: tuple
    urgencies: tuple
    sent_s: float
    delay: Delay
