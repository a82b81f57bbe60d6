"""Pings that wait for their answers.

Load pattern: one ping each period, answered within a round trip.  What waits
here is bounded by the time a ping may stay unanswered, whatever the number
of instances.
"""

from dataclasses import dataclass, replace

from currantdeal.core import InstanceId


@dataclass(frozen=True, kw_only=True)
class SwimTiming:
    """Intervals in seconds.

    Parameters
    ----------
    probe_s : float
        Interval between pings; also how long one may stay unanswered.
    suspicion_s : float
        Time that a suspected instance has to refute.
    rejoin_s : float
        Interval between pings of an instance that was declared dead.
    exchange_s : float
        Shortest interval between exchanges of everything known.
    exchange_per_member_s : float
        What each member adds to that interval, so that the bytes a second
        stay the same whatever the number of members.
    forget_s : float
        How long a dead instance is remembered.
    helpers : int
        Instances that are asked to ping one that does not answer.
    """

    probe_s: float = 0.5
    suspicion_s: float = 1.5
    rejoin_s: float = 1.0
    exchange_s: float = 5.0
    exchange_per_member_s: float = 0.2
    forget_s: float = 86_400.0
    helpers: int = 3

    @property
    def direct_s(self):
        """Time after which others are asked to ping."""
        return self.probe_s * 0.4


@dataclass(frozen=True, kw_only=True)
class Probe:
    """A ping of this instance's own.

    Parameters
    ----------
    seq : int
        Number of the ping.
    incarnation : int
        Of the target when it was pinged; one that has refuted a suspicion
        or restarted since then is not judged by this ping.
    ask_others_s, ends_s : float
        Monotonic times at which others are asked, and the target suspected.
    """

    seq: int
    target: InstanceId
    incarnation: int
    ask_others_s: float
    ends_s: float


@dataclass(frozen=True, kw_only=True)
class Relay:
    """A ping sent for another instance, which gets the answer."""

    requester: InstanceId
    seq: int
    ends_s: float


class ProbeBook:
    """Own pings and those sent for others.

    Parameters
    ----------
    timing : SwimTiming
        How long a ping may stay unanswered.
    """

    def __init__(self, *, timing):
        """Start without pings."""
        self._timing = timing
        self._seq = 0
        self._probes = {}
        self._relays = {}

    def next_seq(self):
        """Return a number for a ping."""
        self._seq += 1
        return self._seq

    def probe(self, target, now_s):
        """Note a ping of a member and return its number."""
        seq = self.next_seq()
        self._probes[seq] = Probe(
            seq=seq,
            target=target.instance,
            incarnation=target.incarnation,
            ask_others_s=now_s + self._timing.direct_s,
            ends_s=now_s + 2 * self._timing.probe_s,
        )
        return seq

    def relay(self, requester, requested_seq, now_s):
        """Note a ping for another instance and return its number."""
        seq = self.next_seq()
        self._relays[seq] = Relay(
            requester=requester,
            seq=requested_seq,
            ends_s=now_s + self._timing.probe_s,
        )
        return seq

    def answered(self, seq, subject):
        """Take in an answer; return the relay it belongs to, or None."""
        probe = self._probes.get(seq)
        if probe is not None and probe.target == subject:
            del self._probes[seq]
        return self._relays.pop(seq, None)

    def to_ask_others(self, now_s):
        """Return the probes for which others are to be asked now, once."""
        due = [p for p in self._probes.values() if now_s >= p.ask_others_s]
        for probe in due:
            asked = replace(probe, ask_others_s=float("inf"))
            self._probes[probe.seq] = asked
        return due

    def unanswered(self, now_s):
        """Drop and return the probes that came to nothing."""
        ended = [p for p in self._probes.values() if now_s >= p.ends_s]
        for probe in ended:
            del self._probes[probe.seq]
        self._relays = {
            seq: relay
            for seq, relay in self._relays.items()
            if now_s < relay.ends_s
        }
        return ended

    def forget(self):
        """Drop the own probes, whose answers may wait unread."""
        self._probes = {}
