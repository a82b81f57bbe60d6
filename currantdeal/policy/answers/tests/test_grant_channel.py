"""Model of a connection that brings extra answers to requests for grants."""

import random
from dataclasses import dataclass

from currantdeal.policy.answers.grant_channel import (
    SETTLED_AFTER_S,
    GrantChannel,
)

SCHEDULES = 20_000
MAX_REQUESTS = 6
REFUSAL = ""


@dataclass(frozen=True, kw_only=True)
class _Asked:
    """A request for a grant, and when it was sent."""

    size: int
    sent_s: float


class _Upstream:
    """Answers in order, and may repeat earlier answers or grant again."""

    def __init__(self, *, source):
        self._source = source
        self._answers = []
        self.sizes = {}

    def reconnect(self):
        """Start a connection, on which no earlier answer is repeated."""
        self._answers = []

    def answers(self, asked, before):
        """Return names with their requests, that of the own answer last.

        ``before`` is an earlier request that may be granted again, or None.
        """
        own = self._grant(asked) if self._source.random() < 0.5 else REFUSAL
        answers = []
        while self._answers and self._source.random() < 0.4:
            if before is not None and self._source.random() < 0.3:
                answers.append((self._grant(before), before))
            else:
                answers.append((self._source.choice(self._answers), asked))
        answers.append((own, asked))
        self._answers += [name for name, _ in answers]
        return answers

    def _grant(self, asked):
        name = f"h{len(self.sizes)}"
        self.sizes[name] = asked.size
        return name


def _play(source):
    """Return the used grants as names, granted sizes and needed ones."""
    upstream = _Upstream(source=source)
    channel, pending, used = GrantChannel(), [], []
    now_s, before = 0.0, None
    for _ in range(source.randint(2, MAX_REQUESTS)):
        now_s += source.choice((0.0, SETTLED_AFTER_S / 3, 2 * SETTLED_AFTER_S))
        is_overdue = any(_is_settled(asked, now_s) for _, asked in pending)
        if pending and (is_overdue or source.random() < 0.5):
            # An answer arrives on the idle connection, which is closed.
            channel, pending, before = GrantChannel(), [], None
            upstream.reconnect()
        asked = _Asked(size=source.randint(1, 4), sent_s=now_s)
        if not channel.may_carry(asked.size, now_s=now_s):
            continue
        channel.begin(asked.size, now_s=now_s)
        if before is not None and _is_settled(before, now_s):
            before = None
        pending += upstream.answers(asked, before)
        before = asked
        name = _next_answer(channel, pending)
        if name:
            used.append((name, upstream.sizes[name], asked.size))
    return used


def _is_settled(asked, now_s):
    return now_s - asked.sent_s >= SETTLED_AFTER_S


def _next_answer(channel, pending):
    """Take the first answer that is a refusal or a new grant."""
    while pending:
        name, _ = pending.pop(0)
        if not name or channel.take(name):
            return name
    return ""


def test_each_grant_is_used_once_and_large_enough():
    """Guards against memory that two requests use, or that is too little."""
    source = random.Random(7)
    total = 0
    for _ in range(SCHEDULES):
        used = _play(source)
        names = [name for name, _, _ in used]
        assert len(set(names)) == len(names)
        assert all(granted >= needed for _, granted, needed in used)
        total += len(used)
    assert total > SCHEDULES
