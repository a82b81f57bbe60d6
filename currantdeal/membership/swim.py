"""Failure detection and spread of membership, as a pure state machine.

Messages and time go in, messages come out.  Each period one other instance,
in a shuffled order, is pinged; if it does not answer, a few others are asked
to ping it; if still nothing comes it is suspected, and declared dead when it
has not refuted the suspicion in time.  News travels on these messages, so
the cost of an instance does not grow with the number of instances.

Departures from the paper [1]_: dead instances are remembered and pinged now
and then, and everything known is exchanged with a random member, so that the
two sides of a healed partition find each other; a process that was itself
stopped for a while judges nobody by the answers it missed.

References
----------

.. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
   Infection-style Process Group Membership Protocol", DSN 2002.
"""

from dataclasses import replace
from functools import singledispatchmethod

from currantdeal.core import InstanceId
from currantdeal.membership.messages import (
    Ack,
    Exchange,
    Ping,
    PingRequest,
    Send,
)
from currantdeal.membership.probes import ProbeBook
from currantdeal.membership.rumors import RumorQueue
from currantdeal.membership.table import (
    MemberTable,
    is_newer,
    is_reachable,
    next_incarnation,
)
from currantdeal.membership.wire import encode_member
from currantdeal.ports import MemberStatus

RUMOR_BYTES = 480
"""Budget of news on a message; with its sender it stays under 640 bytes."""

EXCHANGE_BYTES = 1100
"""Budget of one part of an exchange, under the usual 1,500 of a packet."""


class Swim:
    """Membership of one instance.

    Parameters
    ----------
    me : Member
        This instance.
    seeds : tuple of str
        Peer addresses through which to join.
    timing : SwimTiming
        Intervals.
    rng : random.Random
        Chooses whom to ping and to ask.
    now_s : float
        Monotonic time of the start, in seconds.
    """

    def __init__(self, *, me, seeds, timing, rng, now_s):
        """Start knowing only this instance and the seeds."""
        self._table = MemberTable(me=me)
        self._seeds = tuple(seed for seed in seeds if seed != me.peer_address)
        self._timing = timing
        self._rng = rng
        self._rumors = RumorQueue(
            size_of=lambda member: len(encode_member(member)),
            budget=RUMOR_BYTES,
        )
        self._rumors.add(me)
        self._order = []
        self._probes = ProbeBook(timing=timing)
        self._suspected = {}
        self._ticked_s = now_s
        self._probe_due_s = now_s
        self._rejoin_due_s = now_s
        self._exchange_due_s = now_s

    @property
    def me(self):
        """The record of this instance."""
        return self._table.me

    @property
    def version(self):
        """Number of changes of the membership so far."""
        return self._table.version

    def members(self):
        """Return all known members, sorted by name."""
        return self._table.all()

    def update(self, *, now_s, **changes):
        """Change this instance's own record and spread it."""
        fresh = replace(
            self.me, incarnation=self.me.incarnation + 1, **changes
        )
        if replace(fresh, incarnation=self.me.incarnation) != self.me:
            self._take(fresh, now_s)

    def leave(self, now_s):
        """Return the messages that tell some others of the planned stop."""
        self.update(now_s=now_s, status=MemberStatus.LEFT)
        return tuple(
            self._send(member, Exchange(sender=self.me))
            for member in self._pick(self._timing.helpers)
        )

    def tick(self, now_s):
        """Return the messages that are due."""
        self._forgive_own_pause(now_s)
        self._ticked_s = now_s
        self._expire_suspicions(now_s)
        sends = self._check_probes(now_s)
        if now_s >= self._probe_due_s:
            self._probe_due_s = now_s + self._timing.probe_s
            sends += self._probe_next(now_s)
        if now_s >= self._rejoin_due_s:
            self._rejoin_due_s = now_s + self._timing.rejoin_s
            sends += self._rejoin()
        if now_s >= self._exchange_due_s:
            self._exchange_due_s = now_s + self._exchange_interval_s()
            sends += self._exchange(now_s)
        return sends

    def receive(self, message, now_s):
        """Return the messages that answer one."""
        self._hear(message.sender, now_s)
        for rumor in message.rumors:
            self._hear(rumor, now_s)
        return self._answer(message, now_s)

    @singledispatchmethod
    def _answer(self, message, now_s):
        raise TypeError(f"not a membership message: {message!r}")

    @_answer.register
    def _(self, message: Ping, now_s):
        if message.target != self.me.instance:
            return []
        ack = Ack(
            seq=message.seq,
            sender=self.me,
            subject=self.me.instance,
            rumors=self._news(),
        )
        return [self._send(message.sender, ack)]

    @_answer.register
    def _(self, message: Ack, now_s):
        relay = self._probes.answered(message.seq, message.subject)
        if relay is None:
            return []
        return self._pass_on(relay, message)

    @_answer.register
    def _(self, message: PingRequest, now_s):
        target = self._table.get(message.target)
        if target is None:
            return []
        seq = self._probes.relay(message.sender.instance, message.seq, now_s)
        return [self._ping(target, seq)]

    @_answer.register
    def _(self, message: Exchange, now_s):
        if not message.reply_wanted:
            return []
        return self._parts(message.sender)

    def _pass_on(self, relay, message):
        requester = self._table.get(relay.requester)
        if requester is None:
            return []
        ack = Ack(
            seq=relay.seq,
            sender=self.me,
            subject=message.subject,
            rumors=(message.sender,),
        )
        return [self._send(requester, ack)]

    def _hear(self, news, now_s):
        if news.instance == self.me.instance:
            self._refute(news, now_s)
        else:
            self._take(news, now_s)

    def _refute(self, news, now_s):
        if self.me.status is MemberStatus.LEFT:
            return
        if not is_newer(news, self.me):
            return
        # News of this instance that it did not spread itself: a suspicion,
        # or its former process with a clock ahead of today's.  Left
        # standing, it would have others take this instance for dead.
        incarnation = next_incarnation(self.me, news)
        self._take(replace(self.me, incarnation=incarnation), now_s)

    def _take(self, news, now_s):
        if not self._table.take(news, now_s=now_s):
            return
        self._rumors.add(news)
        if news.status is MemberStatus.SUSPECT:
            self._suspected.setdefault(
                news.instance, now_s + self._timing.suspicion_s
            )
        else:
            self._suspected.pop(news.instance, None)

    def _forgive_own_pause(self, now_s):
        pause_s = now_s - self._ticked_s
        if pause_s <= self._timing.probe_s:
            return
        # This process did not run: answers wait unread in its socket, and
        # without this every probed instance would be suspected at once.
        self._probes.forget()
        self._suspected = {
            name: due_s + pause_s for name, due_s in self._suspected.items()
        }

    def _expire_suspicions(self, now_s):
        for name, due_s in list(self._suspected.items()):
            if now_s >= due_s:
                suspect = self._table.get(name)
                dead = replace(suspect, status=MemberStatus.DEAD)
                self._take(dead, now_s)

    def _check_probes(self, now_s):
        for probe in self._probes.unanswered(now_s):
            self._suspect(probe, now_s)
        return [
            send
            for probe in self._probes.to_ask_others(now_s)
            for send in self._ask_others(probe)
        ]

    def _suspect(self, probe, now_s):
        member = self._table.get(probe.target)
        if (
            member is not None
            and member.status is MemberStatus.ALIVE
            and member.incarnation == probe.incarnation
        ):
            suspect = replace(member, status=MemberStatus.SUSPECT)
            self._take(suspect, now_s)

    def _ask_others(self, probe):
        helpers = self._pick(self._timing.helpers, but=probe.target)
        return [
            self._send(
                helper,
                PingRequest(
                    seq=probe.seq,
                    sender=self.me,
                    target=probe.target,
                    rumors=self._news(),
                ),
            )
            for helper in helpers
        ]

    def _probe_next(self, now_s):
        target = self._next_target()
        if target is None:
            return []
        return [self._ping(target, self._probes.probe(target, now_s))]

    def _next_target(self):
        for _ in range(2):
            while self._order:
                member = self._table.get(self._order.pop())
                if member is not None and is_reachable(member):
                    return member
            self._order = [m.instance for m in self._table.reachable]
            self._rng.shuffle(self._order)
        return None

    def _rejoin(self):
        if not self._table.reachable:
            return [self._hello(seed) for seed in self._seeds]
        gone = self._table.others(lambda found: not is_reachable(found))
        if not gone:
            return []
        member = self._rng.choice(gone)
        return [self._ping(member, self._probes.next_seq(), (member,))]

    def _hello(self, seed):
        hello = Exchange(sender=self.me, reply_wanted=True)
        return Send(instance=InstanceId(""), address=seed, message=hello)

    def _exchange(self, now_s):
        self._table.forget_before(now_s - self._timing.forget_s)
        sends = [
            send
            for member in self._pick(1)
            for send in self._parts(member, reply_wanted=True)
        ]
        known = {member.peer_address for member in self._table.all()}
        unknown = [seed for seed in self._seeds if seed not in known]
        if unknown:
            # A seed of which nothing was ever heard may be in a group of
            # its own that formed while the network was partitioned.
            sends.append(self._hello(self._rng.choice(unknown)))
        return sends

    def _exchange_interval_s(self):
        count = len(self._table.all())
        return max(
            self._timing.exchange_s,
            count * self._timing.exchange_per_member_s,
        )

    def _parts(self, receiver, *, reply_wanted=False):
        parts = [[]]
        left = EXCHANGE_BYTES
        for member in self._table.others(lambda found: True):
            left -= len(encode_member(member))
            if left < 0:
                parts.append([])
                left = EXCHANGE_BYTES - len(encode_member(member))
            parts[-1].append(member)
        return [
            self._send(
                receiver,
                Exchange(
                    sender=self.me,
                    rumors=tuple(part),
                    reply_wanted=reply_wanted and number == 0,
                ),
            )
            for number, part in enumerate(parts)
        ]

    def _pick(self, count, *, but=None):
        live = [m for m in self._table.reachable if m.instance != but]
        return self._rng.sample(live, min(count, len(live)))

    def _ping(self, member, seq, extra=()):
        message = Ping(
            seq=seq,
            sender=self.me,
            target=member.instance,
            rumors=extra + self._news(),
        )
        return self._send(member, message)

    def _send(self, member, message):
        return Send(
            instance=member.instance,
            address=member.peer_address,
            message=message,
        )

    def _news(self):
        return self._rumors.take(group_size=len(self._table.reachable) + 1)
