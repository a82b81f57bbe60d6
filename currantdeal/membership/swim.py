"""SWIM failure detection and membership dissemination, without I/O.

The state machine receives messages and the time, and returns the messages to
send.  In each period it pings one other member, in a shuffled order.  If the
member does not acknowledge the ping, a few others are requested to ping it;
if no acknowledgement arrives, the member is suspected, and declared dead
unless it refutes the suspicion in time.  Membership updates are piggybacked
on these messages, so the cost per instance does not grow with the number of
instances.

The protocol differs from the paper [1]_ in two ways.  Dead members are kept
and pinged occasionally, and the whole table is exchanged with a random
member, so that the two sides of a healed partition find each other.  A
process that was paused discards its pending pings and extends running
suspicions, because messages missed during the pause do not indicate a
failure.

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
from currantdeal.membership.probes import ProbeTracker
from currantdeal.membership.rumors import RumorQueue
from currantdeal.membership.table import (
    MemberTable,
    is_newer,
    is_reachable,
    next_incarnation,
)
from currantdeal.membership.wire import encode_member
from currantdeal.ports import MemberStatus

RUMOR_BUDGET_BYTES = 480
"""Size limit of the updates on a message.

With the record of its sender, the message stays under 640 bytes.
"""

EXCHANGE_PART_BYTES = 1100
"""Size limit of the updates in one part of an exchange.

The part stays under the usual packet size of 1,500 bytes.
"""


class Swim:
    """SWIM protocol state of one instance.

    Parameters
    ----------
    me : Member
        Record of this instance.
    seeds : tuple of str
        Peer addresses through which this instance joins.
    timing : SwimTiming
        Intervals, timeouts and the fanout of ping requests.
    rng : random.Random
        Source of the probe order and of the sampled members.
    now_s : float
        Monotonic start time, in seconds.
    """

    def __init__(self, *, me, seeds, timing, rng, now_s):
        """Start with this instance as the only member."""
        self._table = MemberTable(me=me)
        self._seeds = tuple(seed for seed in seeds if seed != me.peer_address)
        self._timing = timing
        self._rng = rng
        self._rumors = RumorQueue(
            size_of=lambda member: len(encode_member(member)),
            budget=RUMOR_BUDGET_BYTES,
        )
        self._rumors.add(me)
        self._probe_order = []
        self._probes = ProbeTracker(timing=timing)
        self._suspicion_deadlines = {}
        self._last_tick_s = now_s
        self._probe_due_s = now_s
        self._rejoin_due_s = now_s
        self._exchange_due_s = now_s

    @property
    def me(self):
        """Record of this instance."""
        return self._table.me

    @property
    def version(self):
        """Number of changes to the member table so far."""
        return self._table.version

    def members(self):
        """Return all known members, sorted by name."""
        return self._table.all()

    def update(self, *, now_s, **changes):
        """Change fields of this instance's record and disseminate it."""
        changed = replace(
            self.me, incarnation=self.me.incarnation + 1, **changes
        )
        if replace(changed, incarnation=self.me.incarnation) != self.me:
            self._apply_update(changed, now_s)

    def leave(self, now_s):
        """Return messages that notify some members of a planned stop."""
        self.update(now_s=now_s, status=MemberStatus.LEFT)
        return tuple(
            self._send(member, Exchange(sender=self.me))
            for member in self._sample_reachable(self._timing.fanout)
        )

    def tick(self, now_s):
        """Run due timers and return the messages to send."""
        self._compensate_for_pause(now_s)
        self._last_tick_s = now_s
        self._expire_suspicions(now_s)
        sends = self._check_probes(now_s)
        if now_s >= self._probe_due_s:
            self._probe_due_s = now_s + self._timing.probe_s
            sends += self._probe_next(now_s)
        if now_s >= self._rejoin_due_s:
            self._rejoin_due_s = now_s + self._timing.rejoin_s
            sends += self._rejoin_messages()
        if now_s >= self._exchange_due_s:
            self._exchange_due_s = now_s + self._exchange_interval_s()
            sends += self._exchange_messages(now_s)
        return sends

    def receive(self, message, now_s):
        """Process a received message and return the replies."""
        self._process_update(message.sender, now_s)
        for rumor in message.rumors:
            self._process_update(rumor, now_s)
        return self._handle(message, now_s)

    @singledispatchmethod
    def _handle(self, message, now_s):
        raise TypeError(f"not a membership message: {message!r}")

    @_handle.register
    def _(self, message: Ping, now_s):
        if message.target != self.me.instance:
            return []
        ack = Ack(
            seq=message.seq,
            sender=self.me,
            subject=self.me.instance,
            rumors=self._next_rumors(),
        )
        return [self._send(message.sender, ack)]

    @_handle.register
    def _(self, message: Ack, now_s):
        relay = self._probes.acknowledge(message.seq, message.subject)
        if relay is None:
            return []
        return self._forward_ack(relay, message)

    @_handle.register
    def _(self, message: PingRequest, now_s):
        target = self._table.get(message.target)
        if target is None:
            return []
        seq = self._probes.add_relay(
            message.sender.instance, message.seq, now_s
        )
        return [self._ping(target, seq)]

    @_handle.register
    def _(self, message: Exchange, now_s):
        if not message.reply_wanted:
            return []
        return self._exchange_parts(message.sender)

    def _forward_ack(self, relay, message):
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

    def _process_update(self, update, now_s):
        if update.instance == self.me.instance:
            self._refute(update, now_s)
        else:
            self._apply_update(update, now_s)

    def _refute(self, update, now_s):
        if self.me.status is MemberStatus.LEFT:
            return
        if not is_newer(update, self.me):
            return
        # The update was not sent by this process: it is a suspicion, or it
        # comes from an earlier process whose clock was ahead.  Without a
        # refutation, other members would declare this instance dead.
        incarnation = next_incarnation(self.me, update)
        self._apply_update(replace(self.me, incarnation=incarnation), now_s)

    def _apply_update(self, update, now_s):
        if not self._table.apply(update, now_s=now_s):
            return
        self._rumors.add(update)
        if update.status is MemberStatus.SUSPECT:
            self._suspicion_deadlines.setdefault(
                update.instance, now_s + self._timing.suspicion_s
            )
        else:
            self._suspicion_deadlines.pop(update.instance, None)

    def _compensate_for_pause(self, now_s):
        pause_s = now_s - self._last_tick_s
        if pause_s <= self._timing.probe_s:
            return
        # This process was paused, and acknowledgements may be unread in its
        # socket.  Without this, all probed members would be suspected at
        # once.
        self._probes.clear_probes()
        self._suspicion_deadlines = {
            name: deadline_s + pause_s
            for name, deadline_s in self._suspicion_deadlines.items()
        }

    def _expire_suspicions(self, now_s):
        for name, deadline_s in list(self._suspicion_deadlines.items()):
            if now_s >= deadline_s:
                suspect = self._table.get(name)
                dead = replace(suspect, status=MemberStatus.DEAD)
                self._apply_update(dead, now_s)

    def _check_probes(self, now_s):
        for probe in self._probes.expire(now_s):
            self._suspect(probe, now_s)
        return [
            send
            for probe in self._probes.due_for_indirect(now_s)
            for send in self._indirect_pings(probe)
        ]

    def _suspect(self, probe, now_s):
        member = self._table.get(probe.target)
        if (
            member is not None
            and member.status is MemberStatus.ALIVE
            and member.incarnation == probe.incarnation
        ):
            suspect = replace(member, status=MemberStatus.SUSPECT)
            self._apply_update(suspect, now_s)

    def _indirect_pings(self, probe):
        relays = self._sample_reachable(
            self._timing.fanout, exclude=probe.target
        )
        return [
            self._send(
                member,
                PingRequest(
                    seq=probe.seq,
                    sender=self.me,
                    target=probe.target,
                    rumors=self._next_rumors(),
                ),
            )
            for member in relays
        ]

    def _probe_next(self, now_s):
        target = self._next_target()
        if target is None:
            return []
        return [self._ping(target, self._probes.add_probe(target, now_s))]

    def _next_target(self):
        for _ in range(2):
            while self._probe_order:
                member = self._table.get(self._probe_order.pop())
                if member is not None and is_reachable(member):
                    return member
            self._probe_order = [m.instance for m in self._table.reachable]
            self._rng.shuffle(self._probe_order)
        return None

    def _rejoin_messages(self):
        if not self._table.reachable:
            return [self._join_message(seed) for seed in self._seeds]
        unreachable = self._table.others(lambda m: not is_reachable(m))
        if not unreachable:
            return []
        member = self._rng.choice(unreachable)
        return [self._ping(member, self._probes.next_seq(), (member,))]

    def _join_message(self, seed):
        message = Exchange(sender=self.me, reply_wanted=True)
        return Send(instance=InstanceId(""), address=seed, message=message)

    def _exchange_messages(self, now_s):
        self._table.remove_unreachable_before(
            now_s - self._timing.dead_retention_s
        )
        sends = [
            send
            for member in self._sample_reachable(1)
            for send in self._exchange_parts(member, reply_wanted=True)
        ]
        known = {member.peer_address for member in self._table.all()}
        unknown = [seed for seed in self._seeds if seed not in known]
        if unknown:
            # A seed that is not in the table may belong to a separate group
            # that formed while the network was partitioned.
            sends.append(self._join_message(self._rng.choice(unknown)))
        return sends

    def _exchange_interval_s(self):
        count = len(self._table.all())
        return max(
            self._timing.exchange_s,
            count * self._timing.exchange_per_member_s,
        )

    def _exchange_parts(self, receiver, *, reply_wanted=False):
        parts = [[]]
        remaining = EXCHANGE_PART_BYTES
        for member in self._table.others(lambda m: True):
            remaining -= len(encode_member(member))
            if remaining < 0:
                parts.append([])
                remaining = EXCHANGE_PART_BYTES - len(encode_member(member))
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

    def _sample_reachable(self, count, *, exclude=None):
        candidates = [
            m for m in self._table.reachable if m.instance != exclude
        ]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _ping(self, member, seq, extra=()):
        message = Ping(
            seq=seq,
            sender=self.me,
            target=member.instance,
            rumors=extra + self._next_rumors(),
        )
        return self._send(member, message)

    def _send(self, member, message):
        return Send(
            instance=member.instance,
            address=member.peer_address,
            message=message,
        )

    def _next_rumors(self):
        return self._rumors.next_batch(
            group_size=len(self._table.reachable) + 1
        )
